package queue

import (
	"errors"
	"fmt"
	"slices"
	"time"

	"jackdawhinge/common/targets"
)

const (
	// maxQueueLength is the maximum number of requests in one upstream's queue, which
	// bounds its memory.
	maxQueueLength = 4096
	// rateWindow is the window over which the drain rate is averaged.
	rateWindow = 2 * time.Second
	// minRateSamples is the minimum number of completed requests before the drain rate is used.
	minRateSamples = 8
)

// ErrTooLate means that a request cannot begin in time; it has not been admitted.
var ErrTooLate = errors.New("cannot begin in time")

// A LateError is an ErrTooLate with the expected wait, after which there may be room.
type LateError struct {
	Wait time.Duration
}

// Error returns the message of ErrTooLate with the expected wait.
func (e *LateError) Error() string {
	return fmt.Sprintf("%v: about %s of work waits before it", ErrTooLate, e.Wait.Round(time.Millisecond))
}

// Unwrap returns ErrTooLate.
func (e *LateError) Unwrap() error {
	return ErrTooLate
}

// ErrFull means that the queue is full; the request has not been admitted.
var ErrFull = errors.New("queue is full")

// A Ticket describes a request to the queue: its scheduling attributes and its cost in tokens.
type Ticket struct {
	Workspace string
	Class     string
	Urgency   targets.Urgency
	Share     float64
	Cost      int64
	Returning bool
	// BeginDeadline is the deadline for admitting the request; it is refused if that cannot be met.
	BeginDeadline time.Time
}

const (
	// lingerDivisor limits a returning chat's wait for the upstream that has its prefix cached
	// to a third of its remaining time.
	lingerDivisor = 3
	// maxLinger limits that wait for classes with targets of hours.
	maxLinger = 5 * time.Second
)

// LingerDeadline returns the time until which a returning chat waits for the upstream that has
// its prefix cached before it is moved.
func (t Ticket) LingerDeadline(now time.Time) time.Time {
	return now.Add(min(t.BeginDeadline.Sub(now)/lingerDivisor, maxLinger))
}

// A Waiter is a ticket that has been enqueued.
type Waiter struct {
	Ticket
	ready    chan struct{}
	admitted bool
}

// Admitted reports whether the waiter has been admitted.
func (w *Waiter) Admitted() bool {
	return w.admitted
}

// A LoadCounter counts the upstream's load and checks requests against its load bound;
// costs are in tokens.
type LoadCounter interface {
	Fits(cost int64, urgency targets.Urgency) bool
	Start(cost int64)
	Finish(cost int64)
}

// A Scheduler schedules the requests that wait for one upstream and counts those in
// progress. It takes the time as an argument and is not safe for concurrent use.
type Scheduler struct {
	limit           *Limit
	counter         LoadCounter
	onAdmit         func(*Waiter)
	inUseTokens     int64
	classes         map[string]*classQueue
	waitingRequests int
	waitingTokens   int64
	drainRate       rate
}

// classQueue holds one class's waiting requests by workspace, and counts its requests in progress.
type classQueue struct {
	name          string
	share         float64
	urgency       targets.Urgency
	inUseTokens   int64
	waitingTokens int64
	workspaces    map[string]*workspaceQueue
}

// workspaceQueue holds one workspace's waiting requests; servedTokens counts those
// admitted, for fair queueing.
type workspaceQueue struct {
	servedTokens   int64
	returningChats []*Waiter
	newChats       []*Waiter
}

// Waiting returns the number of waiting requests and their tokens.
func (s *Scheduler) Waiting() (requests int, tokens int64) {
	return s.waitingRequests, s.waitingTokens
}

// NewScheduler returns an empty scheduler for the counter's upstream; onAdmit is called with
// each admitted waiter.
func NewScheduler(limit *Limit, counter LoadCounter, onAdmit func(*Waiter)) *Scheduler {
	return &Scheduler{limit: limit, counter: counter, onAdmit: onAdmit, classes: map[string]*classQueue{}}
}

// Enqueue enqueues a ticket, which may be admitted before it returns; errors are ErrFull and
// *LateError.
func (s *Scheduler) Enqueue(now time.Time, t Ticket) (*Waiter, error) {
	w := &Waiter{Ticket: t, ready: make(chan struct{})}
	c := s.classFor(t)
	if s.waitingRequests >= maxQueueLength {
		return nil, ErrFull
	}
	if wait := s.expectedWait(now, t); s.waitingRequests > 0 && t.BeginDeadline.Sub(now) < wait {
		return nil, &LateError{Wait: wait}
	}
	c.add(w)
	s.waitingRequests++
	s.waitingTokens += t.Cost
	s.AdmitReady()
	return w, nil
}

// Remove removes a waiter and reports whether it was still waiting.
func (s *Scheduler) Remove(w *Waiter) bool {
	if w.admitted {
		return false
	}
	c := s.classFor(w.Ticket)
	c.remove(w)
	s.waitingRequests--
	s.waitingTokens -= w.Cost
	return true
}

// Release frees the room of an admitted ticket whose request has ended.
func (s *Scheduler) Release(now time.Time, t Ticket) {
	s.inUseTokens -= t.Cost
	s.counter.Finish(t.Cost)
	s.classFor(t).inUseTokens -= t.Cost
	s.drainRate.add(now, t.Cost)
	s.AdmitReady()
}

// AdmitReady admits requests in order while there is room for the next.
func (s *Scheduler) AdmitReady() {
	for s.waitingRequests > 0 {
		c := s.nextClass()
		w := c.head()
		if !s.hasRoom(w) {
			return
		}
		c.remove(w)
		s.waitingRequests--
		s.waitingTokens -= w.Cost
		c.charge(w)
		s.inUseTokens += w.Cost
		s.counter.Start(w.Cost)
		w.admitted = true
		s.onAdmit(w)
	}
}

func (s *Scheduler) hasRoom(w *Waiter) bool {
	if s.inUseTokens == 0 {
		// A request larger than the limit runs alone, or it would never run.
		return true
	}
	room := s.limit.Tokens()
	if w.Urgency == targets.Urgent && !s.overShare(s.classFor(w.Ticket)) {
		// A limit that was just lowered may be below the tokens in progress. Urgent
		// requests within their share would then be refused until the rest has drained.
		room = s.limit.Capacity()
	}
	return s.inUseTokens+w.Cost <= room && s.counter.Fits(w.Cost, w.Urgency)
}

// nextClass returns the class to admit from: classes below their share come first, then
// the more urgent, then the one whose next request has the earliest deadline.
func (s *Scheduler) nextClass() *classQueue {
	var best *classQueue
	for _, c := range s.classes {
		if c.empty() {
			continue
		}
		if best == nil || s.precedes(c, best) {
			best = c
		}
	}
	return best
}

func (s *Scheduler) precedes(a, b *classQueue) bool {
	if x, y := s.overShare(a), s.overShare(b); x != y {
		return !x
	}
	if x, y := a.urgency.Rank(), b.urgency.Rank(); x != y {
		return x < y
	}
	return a.head().BeginDeadline.Before(b.head().BeginDeadline)
}

func (s *Scheduler) overShare(c *classQueue) bool {
	return float64(c.inUseTokens) >= c.share*float64(s.limit.Tokens())
}

// expectedWait returns how long a ticket would wait behind the requests ahead of it, or 0
// if unknown.
func (s *Scheduler) expectedWait(now time.Time, t Ticket) time.Duration {
	perSecond, ok := s.drainRate.perSecond(now)
	if !ok {
		return 0
	}
	aheadTokens := t.Cost
	for _, c := range s.classes {
		if c.urgency.Rank() <= t.Urgency.Rank() {
			aheadTokens += c.waitingTokens
		}
	}
	// A class gets its share of the drain rate even behind more urgent requests.
	shareSeconds := float64(s.classFor(t).waitingTokens+t.Cost) / max(t.Share*perSecond, 1)
	totalSeconds := float64(aheadTokens) / max(perSecond, 1)
	return time.Duration(min(shareSeconds, totalSeconds) * float64(time.Second))
}

func (s *Scheduler) classFor(t Ticket) *classQueue {
	c, ok := s.classes[t.Class]
	if !ok {
		c = &classQueue{name: t.Class, workspaces: map[string]*workspaceQueue{}}
		s.classes[t.Class] = c
	}
	c.share, c.urgency = t.Share, t.Urgency
	return c
}

func (c *classQueue) add(w *Waiter) {
	ws, ok := c.workspaces[w.Workspace]
	if !ok {
		// A workspace that has been idle starts level with the least served one, so that
		// it gets no credit for the idle time.
		ws = &workspaceQueue{servedTokens: c.leastServed()}
		c.workspaces[w.Workspace] = ws
	}
	c.waitingTokens += w.Cost
	if w.Returning {
		ws.returningChats = append(ws.returningChats, w)
		return
	}
	ws.newChats = append(ws.newChats, w)
}

func (c *classQueue) remove(w *Waiter) {
	c.waitingTokens -= w.Cost
	ws := c.workspaces[w.Workspace]
	isSame := func(x *Waiter) bool { return x == w }
	ws.returningChats = slices.DeleteFunc(ws.returningChats, isSame)
	ws.newChats = slices.DeleteFunc(ws.newChats, isSame)
}

// charge adds an admitted request to its workspace's served tokens, and resets all once
// nothing waits.
func (c *classQueue) charge(w *Waiter) {
	c.inUseTokens += w.Cost
	ws := c.workspaces[w.Workspace]
	ws.servedTokens += w.Cost
	if c.empty() {
		clear(c.workspaces)
	}
}

func (c *classQueue) empty() bool {
	for _, ws := range c.workspaces {
		if ws.head() != nil {
			return false
		}
	}
	return true
}

// head returns the next request of the least served workspace, by name among equals.
func (c *classQueue) head() *Waiter {
	var best *workspaceQueue
	var bestName string
	for name, ws := range c.workspaces {
		if ws.head() == nil {
			continue
		}
		if best == nil || ws.servedTokens < best.servedTokens || (ws.servedTokens == best.servedTokens && name < bestName) {
			best, bestName = ws, name
		}
	}
	return best.head()
}

func (c *classQueue) leastServed() int64 {
	least := int64(-1)
	for _, ws := range c.workspaces {
		if ws.head() != nil && (least < 0 || ws.servedTokens < least) {
			least = ws.servedTokens
		}
	}
	return max(least, 0)
}

// head returns the workspace's next request, or nil; returning chats come before new ones.
func (ws *workspaceQueue) head() *Waiter {
	if len(ws.returningChats) > 0 {
		return ws.returningChats[0]
	}
	if len(ws.newChats) > 0 {
		return ws.newChats[0]
	}
	return nil
}

// rate measures tokens per second over the current and the previous window.
type rate struct {
	windowStart  time.Time
	tokens       int64
	samples      int
	previousRate float64
}

func (r *rate) add(now time.Time, tokens int64) {
	if r.windowStart.IsZero() {
		r.windowStart = now
	}
	if age := now.Sub(r.windowStart); age > rateWindow {
		r.previousRate = float64(r.tokens) / age.Seconds()
		r.windowStart, r.tokens = now, 0
	}
	r.tokens += tokens
	r.samples++
}

// perSecond returns the rate, or false while there are too few samples.
func (r *rate) perSecond(now time.Time) (float64, bool) {
	if r.samples < minRateSamples {
		return 0, false
	}
	current := float64(r.tokens) / max(now.Sub(r.windowStart).Seconds(), rateWindow.Seconds()/2)
	return max(current, r.previousRate), true
}
