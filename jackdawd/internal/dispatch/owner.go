package dispatch

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"time"

	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/trace"

	"jackdawhinge/common/peers"
	"jackdawhinge/common/targets"
	"jackdawhinge/jackdawd/internal/delivery"
	"jackdawhinge/jackdawd/internal/queue"
	"jackdawhinge/jackdawd/internal/routing"
	"jackdawhinge/jackdawd/internal/work"
)

const (
	// unknownCapacity is the capacity, in tokens, of upstreams for which the host list gives none.
	unknownCapacity    = 1 << 40
	overloadRetryAfter = 2 * time.Second
	maxRetryAfter      = time.Minute
)

// An Observer records whether calls from this host to another host or upstream succeed.
type Observer interface {
	Observe(name string, ok bool)
}

// An Owner queues requests for the upstreams that this host owns and sends them on.
type Owner struct {
	currentView   func() *routing.View
	balancer      *routing.Balancer
	outputLengths *queue.LengthEstimator
	client        *delivery.Client
	observer      Observer
	tracer        trace.Tracer
	mu            sync.Mutex
	queues        map[uint64]*upstreamQueue
}

// upstreamQueue is one upstream's queue with its adaptive limit.
type upstreamQueue struct {
	queue *queue.Queue
	limit *queue.Limit
}

// NewOwner returns an owner that counts upstream loads in the balancer.
func NewOwner(currentView func() *routing.View, balancer *routing.Balancer, client *delivery.Client, observer Observer) *Owner {
	return &Owner{
		currentView:   currentView,
		balancer:      balancer,
		outputLengths: queue.NewLengthEstimator(0),
		client:        client,
		observer:      observer,
		tracer:        otel.Tracer("jackdawd/dispatch"),
		queues:        map[uint64]*upstreamQueue{},
	}
}

// loadCounter counts one upstream's load in the owner's balancer; it implements queue.LoadCounter.
type loadCounter struct {
	owner    *Owner
	model    string
	upstream *routing.Upstream
}

// Fits reports whether a request of that cost, in tokens, stays within the upstream's load bound.
func (c loadCounter) Fits(cost int64, urgency targets.Urgency) bool {
	pool, ok := c.owner.currentView().Pool(c.model)
	return !ok || c.owner.balancer.Fits(time.Now(), pool, c.upstream, cost, urgency)
}

// Start adds the cost, in tokens, to the upstream's load.
func (c loadCounter) Start(cost int64) { c.owner.balancer.Start(c.upstream, cost) }

// Finish subtracts the cost, in tokens, from the upstream's load.
func (c loadCounter) Finish(cost int64) { c.owner.balancer.Finish(c.upstream, cost) }

// Wake makes every queue check again whether its next request fits.
func (o *Owner) Wake() {
	o.mu.Lock()
	queues := make([]*upstreamQueue, 0, len(o.queues))
	for _, q := range o.queues {
		queues = append(queues, q)
	}
	o.mu.Unlock()
	for _, q := range queues {
		q.queue.Wake()
	}
}

// Depth returns an upstream's queued requests, their tokens and the limit in tokens.
func (o *Owner) Depth(u *routing.Upstream) (requests int, tokens, limit int64) {
	o.mu.Lock()
	q, ok := o.queues[u.Hash()]
	o.mu.Unlock()
	if !ok {
		return 0, 0, u.Capacity()
	}
	requests, tokens = q.queue.Waiting()
	return requests, tokens, q.limit.Tokens()
}

// A Move redirects an item to the upstream To, if set; SourceLoad is the load of the one it
// is moved from.
type Move struct {
	To         string              `json:"to"`
	SourceLoad *peers.UpstreamLoad `json:"seen,omitempty"`
}

// Serve streams the named upstream's response to the sink, or returns the move to
// another upstream. The error is a *work.Refusal.
func (o *Owner) Serve(ctx context.Context, item *work.Item, upstreamName string, moveCount int, sink delivery.Sink) (Move, error) {
	beginDeadline := time.Now().Add(item.RemainingTarget)
	visited := visitedRows(item)
	o.balancer.Merge(time.Now(), visited)
	pool, ok := o.currentView().Pool(item.Model)
	if !ok {
		return Move{}, work.NewRefusal(http.StatusNotFound, work.UnknownModel, "there is no model %q", item.Model)
	}
	u, ok := pool.Find(upstreamName)
	if !ok {
		return moveToFirstChoice(pool, item.Chat)
	}
	candidate := routing.Candidate{
		Chat: item.Chat, Upstream: u, Cost: o.estimateCost(item, pool), Returning: item.IsReturningChat(), Urgency: item.Urgency, MoveCount: moveCount, VisitedRows: visited,
	}
	q := o.queueFor(u, item.Model)
	move, release, err := o.admit(ctx, pool, candidate, q, o.newTicket(item, candidate.Cost, beginDeadline))
	if err != nil {
		return Move{}, refusalForQueueError(err, item)
	}
	if move.To != "" {
		return move, nil
	}
	defer release()
	if !o.stillServes(item.Model, u) {
		// The upstream left while the item waited; a leaving upstream gets no new work.
		return moveToFirstChoice(pool, item.Chat)
	}
	return Move{}, o.deliver(ctx, item, u, q.limit, sink)
}

// visitedRows returns the loads of the upstreams that the item was moved away from.
// They are exact and recent: in a surge they show a rising mean before exchanged rows do.
func visitedRows(item *work.Item) []routing.LoadRow {
	rows := make([]routing.LoadRow, len(item.VisitedRows))
	for i, r := range item.VisitedRows {
		rows[i] = routing.LoadRow(r)
	}
	return rows
}

// admit waits until the candidate's upstream has room, or returns a move.
func (o *Owner) admit(ctx context.Context, pool *routing.Pool, candidate routing.Candidate, q *upstreamQueue, ticket queue.Ticket) (Move, func(), error) {
	placement, to := o.balancer.Place(time.Now(), pool, candidate)
	if placement == routing.Moved {
		return o.moveTo(candidate, to), nil, nil
	}
	release, err := o.acquire(ctx, q, ticket, placement)
	if placement != routing.Linger || !errors.Is(err, queue.ErrTooLate) {
		return Move{}, release, err
	}
	if placement, to = o.balancer.Move(time.Now(), pool, candidate); placement == routing.Moved {
		return o.moveTo(candidate, to), nil, nil
	}
	release, err = o.acquire(ctx, q, ticket, placement)
	return Move{}, release, err
}

func (o *Owner) moveTo(candidate routing.Candidate, to *routing.Upstream) Move {
	load := peers.UpstreamLoad(o.balancer.Row(candidate.Upstream))
	return Move{To: to.Name(), SourceLoad: &load}
}

// acquire waits for room in the queue; with placement Linger it waits only part of the
// remaining time.
func (o *Owner) acquire(ctx context.Context, q *upstreamQueue, ticket queue.Ticket, placement routing.Placement) (release func(), err error) {
	if placement == routing.Linger {
		ticket.BeginDeadline = ticket.LingerDeadline(time.Now())
	}
	return q.queue.Acquire(ctx, ticket)
}

// stillServes reports whether the current view still has the upstream in the model's pool.
func (o *Owner) stillServes(model string, u *routing.Upstream) bool {
	pool, ok := o.currentView().Pool(model)
	if !ok {
		return false
	}
	_, ok = pool.Find(u.Name())
	return ok
}

// moveToFirstChoice moves a chat to its first choice in this host's list, for a sender with
// another list.
func moveToFirstChoice(pool *routing.Pool, chat uint64) (Move, error) {
	ranked := pool.Rank(chat)
	if len(ranked) == 0 {
		return Move{}, work.NewRefusal(http.StatusServiceUnavailable, work.NoUpstream, "no upstream serves %q", pool.Model()).WithRetryAfter(overloadRetryAfter)
	}
	return Move{To: ranked[0].Name()}, nil
}

func refusalForQueueError(err error, item *work.Item) error {
	var late *queue.LateError
	if errors.As(err, &late) {
		// Retry-After is the expected wait, within bounds: the measured drain rate
		// does not predict more than a minute ahead.
		retryAfter := min(max(late.Wait, overloadRetryAfter), maxRetryAfter)
		return work.NewRefusal(http.StatusServiceUnavailable, work.Overloaded, "class %q: %v", item.Class, err).WithRetryAfter(retryAfter)
	}
	if errors.Is(err, queue.ErrTooLate) || errors.Is(err, queue.ErrFull) {
		return work.NewRefusal(http.StatusServiceUnavailable, work.Overloaded, "class %q: %v", item.Class, err).WithRetryAfter(overloadRetryAfter)
	}
	return work.NewRefusal(http.StatusServiceUnavailable, work.Cancelled, "the caller left: %v", err)
}

func (o *Owner) estimateCost(item *work.Item, pool *routing.Pool) int64 {
	if pool.Kind() == targets.Service {
		return 1
	}
	return item.PromptTokens() + o.outputLengths.Estimate(item.Class, item.MaxTokens)
}

func (o *Owner) newTicket(item *work.Item, cost int64, beginDeadline time.Time) queue.Ticket {
	return queue.Ticket{
		Workspace:     item.Workspace,
		Class:         item.Class,
		Urgency:       item.Urgency,
		Share:         o.currentView().Document().Classes[item.Class].Share,
		Cost:          cost,
		Returning:     item.IsReturningChat(),
		BeginDeadline: beginDeadline,
	}
}

func (o *Owner) queueFor(u *routing.Upstream, model string) *upstreamQueue {
	o.mu.Lock()
	defer o.mu.Unlock()
	q, ok := o.queues[u.Hash()]
	if !ok {
		capacity := u.Capacity()
		if capacity == 0 {
			capacity = unknownCapacity
		}
		limit := queue.NewLimit(capacity)
		q = &upstreamQueue{limit: limit, queue: queue.New(limit, loadCounter{owner: o, model: model, upstream: u})}
		o.queues[u.Hash()] = q
	}
	return q
}
