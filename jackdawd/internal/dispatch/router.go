package dispatch

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"github.com/sirupsen/logrus"
	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/trace"

	"jackdawhinge/common/peers"
	"jackdawhinge/common/upstream"
	"jackdawhinge/jackdawd/internal/delivery"
	"jackdawhinge/jackdawd/internal/routing"
	"jackdawhinge/jackdawd/internal/work"
)

// maxAttempts bounds how often one item is sent to an owner, moves included.
const maxAttempts = 6

// A Peer forwards an item to another entry host, the owner of the named upstream.
type Peer interface {
	Serve(ctx context.Context, host routing.EntryHost, item *work.Item, upstreamName string, moveCount int, sink delivery.Sink) (Move, error)
}

// A Meter counts retries.
type Meter interface {
	RecordRetry(code work.Code)
}

// A Router sends callers' items to the owners of their upstreams, and retries failed ones.
type Router struct {
	currentView func() *routing.View
	owner       *Owner
	peer        Peer
	budget      *RetryBudget
	client      *delivery.Client
	observer    Observer
	meter       Meter
	tracer      trace.Tracer
}

// NewRouter returns a router; owner serves the upstreams that this host owns, peer reaches
// the others.
func NewRouter(currentView func() *routing.View, owner *Owner, peer Peer, client *delivery.Client, observer Observer, meter Meter) *Router {
	return &Router{
		currentView: currentView, owner: owner, peer: peer, budget: NewRetryBudget(), client: client, observer: observer, meter: meter,
		tracer: otel.Tracer("jackdawd/dispatch"),
	}
}

// route is the state of routing one item.
type route struct {
	*Router
	item     *work.Item
	sink     delivery.Sink
	progress delivery.Progress
	pool     *routing.Pool
	// upstreamName is the upstream to try next; moveCount counts the moves so far, and a retry on
	// another upstream sets it to 1.
	upstreamName    string
	moveCount       int
	visited         []peers.UpstreamLoad
	failedUpstreams []string
	excludedOwners  []string
	beginDeadline   time.Time
	// mayHaveRun is true once an upstream may have executed the item.
	mayHaveRun bool
}

// Route streams an item's response to the sink; the error is a *work.Refusal, or the last
// owner error once the attempts are used up.
func (r *Router) Route(ctx context.Context, item *work.Item, sink delivery.Sink) error {
	ctx, span := r.tracer.Start(ctx, "route", trace.WithAttributes(attribute.String("model", item.Model), attribute.String("class", item.Class)))
	defer span.End()
	pool, ok := r.currentView().Pool(item.Model)
	if !ok {
		return work.NewRefusal(http.StatusNotFound, work.UnknownModel, "there is no model %q", item.Model)
	}
	r.budget.Deposit()
	rt := &route{
		Router: r, item: item, sink: sink, pool: pool,
		progress: delivery.Progress{RequestID: item.ID}, beginDeadline: time.Now().Add(item.RemainingTarget),
	}
	if !rt.selectUpstream() {
		return work.NewRefusal(http.StatusServiceUnavailable, work.NoUpstream, "no upstream serves %q", item.Model).WithRetryAfter(overloadRetryAfter)
	}
	err := rt.run(ctx)
	if ctx.Err() != nil && err != nil {
		rt.cancelOn(rt.upstreamName)
	}
	return rt.withOverallOutcome(err)
}

// withOverallOutcome returns the error with an outcome that holds for all attempts together:
// a last attempt that was not run proves nothing about an earlier one that timed out.
func (rt *route) withOverallOutcome(err error) error {
	var refusal *work.Refusal
	if !errors.As(err, &refusal) || refusal.Outcome != work.NotRun || !rt.mayHaveRun {
		return err
	}
	uncertain := *refusal
	uncertain.Outcome = work.Unknown
	return &uncertain
}

// selectUpstream sets upstreamName to the chat's best candidate that has not failed, and
// reports whether there is one.
func (rt *route) selectUpstream() bool {
	candidates := append(rt.pool.Rank(rt.item.Chat), rt.pool.Upstreams()...)
	for _, u := range candidates {
		if !contains(rt.failedUpstreams, u.Name()) {
			rt.upstreamName = u.Name()
			return true
		}
	}
	return false
}

func contains(names []string, name string) bool {
	for _, n := range names {
		if n == name {
			return true
		}
	}
	return false
}

func (rt *route) run(ctx context.Context) error {
	var lastErr error
	for range maxAttempts {
		move, err := rt.tryOwner(ctx)
		if move.To != "" {
			rt.followMove(move)
			continue
		}
		if err == nil {
			return nil
		}
		lastErr = err
		retry, err := rt.handleFailure(ctx, err)
		if !retry {
			return err
		}
	}
	if lastErr == nil {
		// Every owner moved the item, so no upstream has received it.
		return work.NewRefusal(http.StatusServiceUnavailable, work.Overloaded, "every upstream tried is full").WithRetryAfter(overloadRetryAfter)
	}
	return lastErr
}

// errOwnerUnreachable means that the item was not accepted by the owner and has not run.
var errOwnerUnreachable = errors.New("owner cannot be reached")

// errOwnerConnectionLost means that the connection broke after the owner may have sent the item on.
var errOwnerConnectionLost = errors.New("owner broke off")

// followMove makes the move's upstream the next one to try.
func (rt *route) followMove(move Move) {
	rt.upstreamName = move.To
	rt.moveCount++
	if move.SourceLoad != nil {
		rt.visited = append(rt.visited, *move.SourceLoad)
	}
}

func (rt *route) tryOwner(ctx context.Context) (Move, error) {
	item := *rt.item
	item.RemainingTarget = time.Until(rt.beginDeadline)
	u, ok := rt.pool.Find(rt.upstreamName)
	if !ok {
		// One host's list is newer; if it is this one, Gone tells the owner that the
		// upstream has left.
		rt.visited = append(rt.visited, peers.UpstreamLoad{Upstream: routing.NameHash(rt.upstreamName), Gone: true})
		u, ok = rt.refreshUpstream()
	}
	if !ok {
		return Move{}, work.NewRefusal(http.StatusServiceUnavailable, work.NoUpstream, "upstream %s has left", rt.upstreamName).WithRetryAfter(overloadRetryAfter)
	}
	item.VisitedRows = rt.visited
	view := rt.currentView()
	host, ok := view.Owner(u.Hash(), rt.excludedOwners...)
	if !ok || host.Name() == view.Self() {
		return rt.owner.Serve(ctx, &item, u.Name(), rt.moveCount, rt.forwardFrame)
	}
	move, err := rt.peer.Serve(ctx, host, &item, u.Name(), rt.moveCount, rt.forwardFrame)
	if err != nil && (ctx.Err() != nil || errors.Is(err, delivery.ErrSinkClosed)) {
		// The caller cancelled, which looks like a broken connection. If it counted as the
		// owner's failure, three cancelled requests would make a healthy owner avoided.
		return Move{}, work.NewUncertainRefusal(work.Cancelled, "the caller left")
	}
	var refusal *work.Refusal
	if errors.As(err, &refusal) && refusal.Code == work.Stopping {
		rt.excludedOwners = append(rt.excludedOwners, host.Name())
		return Move{}, errOwnerUnreachable
	}
	if delivery.IsDialError(err) {
		rt.observer.Observe(host.Name(), false)
		rt.excludedOwners = append(rt.excludedOwners, host.Name())
		return Move{}, errOwnerUnreachable
	}
	if err != nil && !errors.As(err, &refusal) {
		rt.observer.Observe(host.Name(), false)
		rt.excludedOwners = append(rt.excludedOwners, host.Name())
		return Move{}, fmt.Errorf("%w: %w", errOwnerConnectionLost, err)
	}
	rt.observer.Observe(host.Name(), true)
	return move, err
}

func (rt *route) refreshUpstream() (*routing.Upstream, bool) {
	pool, ok := rt.currentView().Pool(rt.item.Model)
	if !ok {
		return nil, false
	}
	rt.pool = pool
	if u, ok := pool.Find(rt.upstreamName); ok {
		return u, true
	}
	if !rt.selectUpstream() {
		return nil, false
	}
	return pool.Find(rt.upstreamName)
}

// forwardFrame sends a frame to the caller and records the progress.
func (rt *route) forwardFrame(f upstream.Frame) error {
	if err := rt.sink(f); err != nil {
		return err
	}
	rt.progress.NextPosition = f.Position + 1
	rt.progress.Finished = f.Finish != ""
	return nil
}

// handleFailure decides whether and where a failed item is retried; finalErr is the error
// to return if it is not.
func (rt *route) handleFailure(ctx context.Context, err error) (retry bool, finalErr error) {
	if errors.Is(err, errOwnerUnreachable) {
		return true, nil
	}
	if rt.progress.Finished {
		return false, nil
	}
	var refusal *work.Refusal
	if !errors.As(err, &refusal) {
		refusal = work.NewUncertainRefusal(work.UpstreamFailed, "the answer broke off: %v", err)
	}
	rt.mayHaveRun = rt.mayHaveRun || refusal.Outcome != work.NotRun
	if ctx.Err() != nil {
		return false, refusal
	}
	if rt.progress.NextPosition > 0 {
		return false, rt.resume(ctx, refusal)
	}
	if errors.Is(err, errOwnerConnectionLost) {
		return rt.handleOwnerLost(ctx, refusal)
	}
	if !rt.retryable(refusal) || !rt.budget.TryWithdraw() {
		return false, refusal
	}
	if refusal.Outcome != work.NotRun {
		// A hanging upstream that recovers should not go on with abandoned work.
		go rt.cancelOn(rt.upstreamName)
	}
	rt.meter.RecordRetry(refusal.Code)
	rt.failedUpstreams = append(rt.failedUpstreams, rt.upstreamName)
	// Without the Gone row, an owner that remembers the chat at the failed upstream
	// would keep moving it there until the attempts are used up.
	rt.visited = append(rt.visited, peers.UpstreamLoad{Upstream: routing.NameHash(rt.upstreamName), Gone: true})
	rt.moveCount = 1
	// The target is already missed, but a late response is better than none.
	rt.beginDeadline = time.Now().Add(rt.item.RemainingTarget)
	logrus.WithFields(logrus.Fields{"request": rt.item.ID, "upstream": rt.upstreamName, "code": refusal.Code}).Info("dispatch: Retrying on another upstream.")
	return rt.selectUpstream(), refusal
}

// handleOwnerLost handles a connection to an owner that broke before the first frame.
// Engines deduplicate by request ID: retrying an idempotent item joins the running
// generation, and resuming never starts a new one.
func (rt *route) handleOwnerLost(ctx context.Context, refusal *work.Refusal) (retry bool, finalErr error) {
	if rt.item.Idempotent {
		return rt.budget.TryWithdraw(), refusal
	}
	if rt.item.Service != nil {
		return false, refusal
	}
	return false, rt.resume(ctx, refusal)
}

// retryable reports whether the item can safely be run again.
func (rt *route) retryable(refusal *work.Refusal) bool {
	switch refusal.Code {
	case work.NoUpstream:
		return refusal.Outcome == work.NotRun
	case work.UpstreamFailed:
		return refusal.Outcome == work.NotRun || rt.item.Idempotent
	default:
		return false
	}
}

// resume fetches the rest of a partly delivered response directly from the upstream
// that generates it. Another upstream would generate a different text, which cannot
// be appended to the part already sent.
func (rt *route) resume(ctx context.Context, refusal *work.Refusal) error {
	u, ok := rt.pool.Find(rt.upstreamName)
	if !ok || rt.item.Service != nil || !rt.budget.TryWithdraw() {
		return refusal
	}
	return rt.owner.Resume(ctx, u, &rt.progress, rt.sink)
}

// cancelOn cancels the item on an upstream, as nobody waits for the response.
func (rt *route) cancelOn(upstreamName string) {
	u, ok := rt.pool.Find(upstreamName)
	if !ok || rt.item.Service != nil {
		return
	}
	if err := rt.client.Cancel(u.Address(), rt.item.ID); err != nil {
		logrus.WithError(err).WithField("request", rt.item.ID).Warn("dispatch: Cancelling the request on the upstream failed.")
	}
}
