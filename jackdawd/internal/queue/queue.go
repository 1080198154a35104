package queue

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"jackdawhinge/common/targets"
)

const (
	// maxWaiting bounds the requests that one upstream's queue holds in memory.
	maxWaiting = 4096
	// rateWindow is how long the drain rate is averaged over.
	rateWindow = 2 * time.Second
	// minRateSample is the least that must have drained before the rate is trusted.
	minRateSample = 8
)

// ErrTooLate says that a request cannot begin in time; it has not been passed on.
var ErrTooLate = errors.New("cannot begin in time")

// ErrFull says that the queue is full; the request has not been passed on.
var ErrFull = errors.New("queue is full")

// A Ticket is a request's place in a queue.
type Ticket struct {
	Workspace string
	Class     string
	Urgency   targets.Urgency
	Share     float64
	Cost      int64
	Returning bool
	// BeginBy is when the request must have been passed on; it is refused where that cannot be met.
	BeginBy time.Time
}

// waiter is a ticket that waits.
type waiter struct {
	Ticket
	ready    chan struct{}
	released bool
}

// A Counter counts the upstream's load and knows whether more stays inside the load multiple.
type Counter interface {
	Fits(cost int64) bool
	Start(cost int64)
	Finish(cost int64)
}

// A Queue is the requests that wait for one upstream and the count of those it works on.
type Queue struct {
	mu      sync.Mutex
	limit   *Limit
	counter Counter
	inUse   int64
	classes map[string]*class
	waiting int
	queued  int64
	drain   rate
}

// class is the requests of one class: those in progress, and those waiting by workspace.
type class struct {
	name       string
	share      float64
	urgency    targets.Urgency
	inUse      int64
	workspaces map[string]*workspace
}

// workspace is the waiting requests of one workspace; served orders workspaces by tokens passed on.
type workspace struct {
	served    int64
	returning []*waiter
	fresh     []*waiter
}

// New returns an empty queue before the upstream that the counter counts.
func New(limit *Limit, counter Counter) *Queue {
	return &Queue{limit: limit, counter: counter, classes: map[string]*class{}}
}

// Acquire waits for room for the ticket and returns a function that gives the
// room back; an error means that the request has not been passed on.
func (q *Queue) Acquire(ctx context.Context, t Ticket) (release func(), err error) {
	w, err := q.enter(t)
	if err != nil {
		return nil, err
	}
	late := time.NewTimer(time.Until(t.BeginBy))
	defer late.Stop()
	select {
	case <-w.ready:
		return func() { q.release(t) }, nil
	case <-late.C:
		err = ErrTooLate
	case <-ctx.Done():
		err = ctx.Err()
	}
	if !q.leave(w) {
		// It was passed on at the same moment; give the room back.
		q.release(t)
	}
	return nil, err
}

// Waiting returns how many requests wait and their tokens.
func (q *Queue) Waiting() (requests int, tokens int64) {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.waiting, q.queued
}

// InUse returns the tokens of the requests passed on.
func (q *Queue) InUse() int64 {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.inUse
}

// Wake passes on what has come to fit, after the mean load or the limit has changed.
func (q *Queue) Wake() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.passOn()
}

func (q *Queue) enter(t Ticket) (*waiter, error) {
	q.mu.Lock()
	defer q.mu.Unlock()
	w := &waiter{Ticket: t, ready: make(chan struct{})}
	c := q.class(t)
	if q.waiting >= maxWaiting {
		return nil, ErrFull
	}
	if q.waiting > 0 && time.Until(t.BeginBy) < q.expectedWait(t) {
		return nil, ErrTooLate
	}
	c.add(w)
	q.waiting++
	q.queued += t.Cost
	q.passOn()
	return w, nil
}

// leave takes a waiter out and reports whether it was still waiting.
func (q *Queue) leave(w *waiter) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	if w.released {
		return false
	}
	c := q.class(w.Ticket)
	c.remove(w)
	q.waiting--
	q.queued -= w.Cost
	return true
}

func (q *Queue) release(t Ticket) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.inUse -= t.Cost
	q.counter.Finish(t.Cost)
	q.class(t).inUse -= t.Cost
	q.drain.add(time.Now(), t.Cost)
	q.passOn()
}

// passOn lets requests go, in order, as long as there is room for the next.
func (q *Queue) passOn() {
	for q.waiting > 0 {
		c := q.next()
		w := c.head()
		if !q.hasRoom(w.Cost) {
			return
		}
		c.remove(w)
		q.waiting--
		q.queued -= w.Cost
		c.serve(w)
		q.inUse += w.Cost
		q.counter.Start(w.Cost)
		w.released = true
		close(w.ready)
	}
}

func (q *Queue) hasRoom(cost int64) bool {
	if q.inUse == 0 {
		// A request larger than the limit must run some time: alone.
		return true
	}
	return q.inUse+cost <= q.limit.Tokens() && q.counter.Fits(cost)
}

// next returns the class whose turn it is: classes below their share go before
// those above it, then the more urgent, then the one whose next request is due first.
func (q *Queue) next() *class {
	var best *class
	for _, c := range q.classes {
		if c.empty() {
			continue
		}
		if best == nil || q.before(c, best) {
			best = c
		}
	}
	return best
}

func (q *Queue) before(a, b *class) bool {
	if x, y := q.overShare(a), q.overShare(b); x != y {
		return !x
	}
	if x, y := a.urgency.Rank(), b.urgency.Rank(); x != y {
		return x < y
	}
	return a.head().BeginBy.Before(b.head().BeginBy)
}

func (q *Queue) overShare(c *class) bool {
	return float64(c.inUse) >= c.share*float64(q.limit.Tokens())
}

// expectedWait returns how long a ticket would wait behind the requests that go before it.
func (q *Queue) expectedWait(t Ticket) time.Duration {
	perSecond, ok := q.drain.perSecond(time.Now())
	if !ok {
		return 0
	}
	ahead := t.Cost
	for _, c := range q.classes {
		if c.urgency.Rank() <= t.Urgency.Rank() {
			ahead += c.queued()
		}
	}
	// A class is owed its share of the drain even behind more urgent work.
	own := float64(q.class(t).queued()+t.Cost) / max(t.Share*perSecond, 1)
	all := float64(ahead) / max(perSecond, 1)
	return time.Duration(min(own, all) * float64(time.Second))
}

func (q *Queue) class(t Ticket) *class {
	c, ok := q.classes[t.Class]
	if !ok {
		c = &class{name: t.Class, workspaces: map[string]*workspace{}}
		q.classes[t.Class] = c
	}
	c.share, c.urgency = t.Share, t.Urgency
	return c
}

func (c *class) add(w *waiter) {
	s, ok := c.workspaces[w.Workspace]
	if !ok {
		// A workspace that comes back starts level with the least served one:
		// it gets no credit for the time it was away.
		s = &workspace{served: c.leastServed()}
		c.workspaces[w.Workspace] = s
	}
	if w.Returning {
		s.returning = append(s.returning, w)
		return
	}
	s.fresh = append(s.fresh, w)
}

func (c *class) remove(w *waiter) {
	s := c.workspaces[w.Workspace]
	same := func(x *waiter) bool { return x == w }
	s.returning = slices.DeleteFunc(s.returning, same)
	s.fresh = slices.DeleteFunc(s.fresh, same)
}

// serve charges a workspace for a request and forgets workspaces that wait for nothing and are level.
func (c *class) serve(w *waiter) {
	c.inUse += w.Cost
	s := c.workspaces[w.Workspace]
	s.served += w.Cost
	if c.empty() {
		clear(c.workspaces)
	}
}

func (c *class) empty() bool {
	for _, s := range c.workspaces {
		if s.head() != nil {
			return false
		}
	}
	return true
}

// head returns the next request of the least served workspace.
func (c *class) head() *waiter {
	var best *workspace
	var bestName string
	for name, s := range c.workspaces {
		if s.head() == nil {
			continue
		}
		if best == nil || s.served < best.served || (s.served == best.served && name < bestName) {
			best, bestName = s, name
		}
	}
	return best.head()
}

func (c *class) leastServed() int64 {
	least := int64(-1)
	for _, s := range c.workspaces {
		if s.head() != nil && (least < 0 || s.served < least) {
			least = s.served
		}
	}
	return max(least, 0)
}

func (c *class) queued() int64 {
	sum := int64(0)
	for _, s := range c.workspaces {
		for _, w := range s.returning {
			sum += w.Cost
		}
		for _, w := range s.fresh {
			sum += w.Cost
		}
	}
	return sum
}

// head returns the workspace's next request: returning chats go before new ones.
func (s *workspace) head() *waiter {
	if len(s.returning) > 0 {
		return s.returning[0]
	}
	if len(s.fresh) > 0 {
		return s.fresh[0]
	}
	return nil
}

// rate measures tokens per second over the last window or two.
type rate struct {
	since    time.Time
	sum      int64
	samples  int
	previous float64
}

func (r *rate) add(now time.Time, n int64) {
	if r.since.IsZero() {
		r.since = now
	}
	if age := now.Sub(r.since); age > rateWindow {
		r.previous = float64(r.sum) / age.Seconds()
		r.since, r.sum = now, 0
	}
	r.sum += n
	r.samples++
}

// perSecond returns the rate, or false while too little has drained to tell.
func (r *rate) perSecond(now time.Time) (float64, bool) {
	if r.samples < minRateSample {
		return 0, false
	}
	current := float64(r.sum) / max(now.Sub(r.since).Seconds(), rateWindow.Seconds()/2)
	return max(current, r.previous), true
}
