package queue

import (
	"errors"
	"fmt"
	"slices"
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

// A LateError is ErrTooLate with the wait that is expected; after it there may be room.
type LateError struct {
	Wait time.Duration
}

// Error returns the wait.
func (e *LateError) Error() string {
	return fmt.Sprintf("%v: about %s of work waits before it", ErrTooLate, e.Wait.Round(time.Millisecond))
}

// Unwrap returns ErrTooLate.
func (e *LateError) Unwrap() error {
	return ErrTooLate
}

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

const (
	// lingerShare is the part of its remaining time that a returning chat waits for its warm upstream: a third.
	lingerShare = 3
	// maxLinger bounds that wait for classes that have hours.
	maxLinger = 5 * time.Second
)

// LingerUntil returns until when a returning chat waits for its warm upstream before it is moved to a cold one.
func (t Ticket) LingerUntil(now time.Time) time.Time {
	return now.Add(min(t.BeginBy.Sub(now)/lingerShare, maxLinger))
}

// A Waiter is a ticket in a line.
type Waiter struct {
	Ticket
	ready    chan struct{}
	released bool
}

// Released reports whether the waiter has been passed on.
func (w *Waiter) Released() bool {
	return w.released
}

// A Counter counts the upstream's load and knows whether more stays inside the load multiple.
type Counter interface {
	Fits(cost int64, urgency targets.Urgency) bool
	Start(cost int64)
	Finish(cost int64)
}

// A Line is the requests that wait for one upstream and the count of those it
// works on. It takes the time as an argument and is not safe for concurrent use.
type Line struct {
	limit   *Limit
	counter Counter
	pass    func(*Waiter)
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
	queued     int64
	workspaces map[string]*workspace
}

// workspace is the waiting requests of one workspace; served orders workspaces by tokens passed on.
type workspace struct {
	served    int64
	returning []*Waiter
	fresh     []*Waiter
}

// Waiting returns how many requests wait and their tokens.
func (l *Line) Waiting() (requests int, tokens int64) {
	return l.waiting, l.queued
}

// NewLine returns an empty line before the upstream that the counter counts; pass is called with each waiter that is passed on.
func NewLine(limit *Limit, counter Counter, pass func(*Waiter)) *Line {
	return &Line{limit: limit, counter: counter, pass: pass, classes: map[string]*class{}}
}

// Enter adds a ticket; it may be passed on before Enter returns.
func (l *Line) Enter(now time.Time, t Ticket) (*Waiter, error) {
	w := &Waiter{Ticket: t, ready: make(chan struct{})}
	c := l.class(t)
	if l.waiting >= maxWaiting {
		return nil, ErrFull
	}
	if wait := l.expectedWait(now, t); l.waiting > 0 && t.BeginBy.Sub(now) < wait {
		return nil, &LateError{Wait: wait}
	}
	c.add(w)
	l.waiting++
	l.queued += t.Cost
	l.PassOn()
	return w, nil
}

// Leave takes a waiter out and reports whether it was still waiting.
func (l *Line) Leave(w *Waiter) bool {
	if w.released {
		return false
	}
	c := l.class(w.Ticket)
	c.remove(w)
	l.waiting--
	l.queued -= w.Cost
	return true
}

// Release gives back the room of a ticket that was passed on.
func (l *Line) Release(now time.Time, t Ticket) {
	l.inUse -= t.Cost
	l.counter.Finish(t.Cost)
	l.class(t).inUse -= t.Cost
	l.drain.add(now, t.Cost)
	l.PassOn()
}

// PassOn lets requests go, in order, as long as there is room for the next.
func (l *Line) PassOn() {
	for l.waiting > 0 {
		c := l.next()
		w := c.head()
		if !l.hasRoom(w) {
			return
		}
		c.remove(w)
		l.waiting--
		l.queued -= w.Cost
		c.serve(w)
		l.inUse += w.Cost
		l.counter.Start(w.Cost)
		w.released = true
		l.pass(w)
	}
}

func (l *Line) hasRoom(w *Waiter) bool {
	if l.inUse == 0 {
		// A request larger than the limit must run some time: alone.
		return true
	}
	room := l.limit.Tokens()
	if w.Urgency == targets.Urgent && !l.overShare(l.class(w.Ticket)) {
		// A limit that has just been lowered is below what is in progress; urgent
		// work within its share would be refused until the rest has drained.
		room = l.limit.Capacity()
	}
	return l.inUse+w.Cost <= room && l.counter.Fits(w.Cost, w.Urgency)
}

// next returns the class whose turn it is: classes below their share go before
// those above it, then the more urgent, then the one whose next request is due first.
func (l *Line) next() *class {
	var best *class
	for _, c := range l.classes {
		if c.empty() {
			continue
		}
		if best == nil || l.before(c, best) {
			best = c
		}
	}
	return best
}

func (l *Line) before(a, b *class) bool {
	if x, y := l.overShare(a), l.overShare(b); x != y {
		return !x
	}
	if x, y := a.urgency.Rank(), b.urgency.Rank(); x != y {
		return x < y
	}
	return a.head().BeginBy.Before(b.head().BeginBy)
}

func (l *Line) overShare(c *class) bool {
	return float64(c.inUse) >= c.share*float64(l.limit.Tokens())
}

// expectedWait returns how long a ticket would wait behind the requests that go before it.
func (l *Line) expectedWait(now time.Time, t Ticket) time.Duration {
	perSecond, ok := l.drain.perSecond(now)
	if !ok {
		return 0
	}
	ahead := t.Cost
	for _, c := range l.classes {
		if c.urgency.Rank() <= t.Urgency.Rank() {
			ahead += c.queued
		}
	}
	// A class is owed its share of the drain even behind more urgent work.
	own := float64(l.class(t).queued+t.Cost) / max(t.Share*perSecond, 1)
	all := float64(ahead) / max(perSecond, 1)
	return time.Duration(min(own, all) * float64(time.Second))
}

func (l *Line) class(t Ticket) *class {
	c, ok := l.classes[t.Class]
	if !ok {
		c = &class{name: t.Class, workspaces: map[string]*workspace{}}
		l.classes[t.Class] = c
	}
	c.share, c.urgency = t.Share, t.Urgency
	return c
}

func (c *class) add(w *Waiter) {
	s, ok := c.workspaces[w.Workspace]
	if !ok {
		// A workspace that comes back starts level with the least served one:
		// it gets no credit for the time it was away.
		s = &workspace{served: c.leastServed()}
		c.workspaces[w.Workspace] = s
	}
	c.queued += w.Cost
	if w.Returning {
		s.returning = append(s.returning, w)
		return
	}
	s.fresh = append(s.fresh, w)
}

func (c *class) remove(w *Waiter) {
	c.queued -= w.Cost
	s := c.workspaces[w.Workspace]
	same := func(x *Waiter) bool { return x == w }
	s.returning = slices.DeleteFunc(s.returning, same)
	s.fresh = slices.DeleteFunc(s.fresh, same)
}

// serve charges a workspace for a request and forgets workspaces that wait for nothing and are level.
func (c *class) serve(w *Waiter) {
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
func (c *class) head() *Waiter {
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

// head returns the workspace's next request: returning chats go before new ones.
func (s *workspace) head() *Waiter {
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
