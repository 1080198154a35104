package admission

import (
	"maps"
	"math"
	"slices"
	"sync"
	"time"

	"jackdawhinge/common/traffic"
	"jackdawhinge/jackdawd/internal/placement"
)

const (
	// ranks is how many ranks of urgency there are.
	ranks = 10
	// meanWeight is the weight of the newest answer in the mean times: the last 20 answers
	// make up two thirds.
	meanWeight = 0.05
	// firstService is expected of a pool without answers so far, about the time of a short answer.
	firstService = 500 * time.Millisecond
	// leastServiceShare is the part of its time at an upstream that a request is taken to
	// have had a place at least, however long it was expected to wait.
	leastServiceShare = 0.2
	// waitsLifetime is how long what requests had to wait tells of those that wait now.
	waitsLifetime = time.Second
	// leastWaits is added to what requests had to wait, so that one that waited for some
	// milliseconds says nothing.
	leastWaits = 20 * time.Millisecond
	// leastShare is the part of the places of this host's requests that each class may
	// take, whatever more urgent ones ask for, so that none starves.
	leastShare = 0.1
	// refusedFor is how long after a refusal less urgent requests are refused as well: about
	// the time between two refusals at a host that sees few requests of an overload.
	refusedFor = 300 * time.Millisecond
	// overloadGap is how long after the last refusal an overload is over.
	overloadGap = time.Second
	// calmDelay is the expected delay up to which an answer shows how soon one begins that need not wait.
	calmDelay = 20 * time.Millisecond
)

// A Controller estimates at one host how long requests would wait at each upstream.
type Controller struct {
	mu      sync.Mutex
	pools   map[string]*pool
	classes map[string]*class
	// waiting holds this host's requests at each upstream that have not begun.
	waiting map[traffic.Start]map[*Run]struct{}
	// refused holds what was refused lately for each upstream.
	refused map[traffic.Start]*refusals
}

// pool is what is known of the upstreams of one pool.
type pool struct {
	// service is the mean time for which a request keeps a place.
	service time.Duration
	// waits adds up by rank how long this host's requests had to wait, of late.
	waits   [ranks]float64
	waitsAt time.Time
	demand  demand
	// running counts this host's requests at the upstreams, runningOf those of each class.
	running   int
	runningOf map[string]int
	// overloadedAt is when requests began to be refused, refusedAt when one was refused last.
	overloadedAt time.Time
	refusedAt    time.Time
}

// refusals is when a request of each rank was refused last for an upstream.
type refusals [ranks]time.Time

// class is what is known of the requests of one route.
type class struct {
	// begins is the mean time after which an answer begins that need not wait.
	begins time.Duration
	// longest is the longest time that a caller would wait.
	longest time.Duration
}

// A Request is what the controller must know of a request.
type Request struct {
	Pool  string
	Class string
	// Workspace is whom it comes from.
	Workspace string
	// Rank is its urgency; 0 is the most urgent.
	Rank int
	// Target is how soon an answer should begin.
	Target time.Duration
}

// A Run is a request at an upstream.
type Run struct {
	controller *Controller
	request    Request
	at         traffic.Start
	sent       time.Time
	expected   time.Duration
	begins     time.Duration
	begun      bool
}

// NewController returns a controller that has seen nothing.
func NewController() *Controller {
	return &Controller{pools: map[string]*pool{}, classes: map[string]*class{}, waiting: map[traffic.Start]map[*Run]struct{}{}, refused: map[traffic.Start]*refusals{}}
}

// Send takes in that a request goes to an upstream where it is expected to wait for a time.
func (c *Controller) Send(now time.Time, r Request, at traffic.Start, expected time.Duration) *Run {
	r.Rank = min(max(r.Rank, 0), ranks-1)
	run := &Run{controller: c, request: r, at: at, sent: now, expected: expected}
	c.mu.Lock()
	defer c.mu.Unlock()
	p := c.pool(r.Pool)
	p.running++
	p.runningOf[r.Class]++
	if c.waiting[at] == nil {
		c.waiting[at] = map[*Run]struct{}{}
	}
	c.waiting[at][run] = struct{}{}
	return run
}

// Began takes in that the answer has begun.
func (r *Run) Began(now time.Time) {
	c := r.controller
	c.mu.Lock()
	defer c.mu.Unlock()
	r.begins = now.Sub(r.sent)
	c.leave(now, r)
	if r.expected <= calmDelay {
		mean(&c.class(r.request.Class).begins, r.begins)
	}
}

// Ended takes in that the request has left the upstream, with a whole answer or without.
func (r *Run) Ended(now time.Time, whole bool) {
	c := r.controller
	c.mu.Lock()
	defer c.mu.Unlock()
	c.leave(now, r)
	p := c.pool(r.request.Pool)
	p.running--
	p.runningOf[r.request.Class]--
	if whole {
		took := now.Sub(r.sent)
		mean(&p.service, max(took-r.expected, time.Duration(leastServiceShare*float64(took))))
	}
}

// leave counts a request that has begun or gone as waiting no longer; the lock must be held.
func (c *Controller) leave(now time.Time, r *Run) {
	if r.begun {
		return
	}
	r.begun = true
	c.pool(r.request.Pool).waited(now, r.request.Rank, now.Sub(r.sent)-c.class(r.request.Class).begins)
	delete(c.waiting[r.at], r)
	if len(c.waiting[r.at]) == 0 {
		delete(c.waiting, r.at)
	}
}

// Begins returns how soon an answer of a class begins that need not wait.
func (c *Controller) Begins(class string) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.class(class).begins
}

// Refused takes in that a request was refused for lack of room at an upstream.
func (c *Controller) Refused(now time.Time, r Request, at traffic.Start) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.pool(r.Pool).overloaded(now)
	if c.refused[at] == nil {
		c.forgetRefusals(now)
		c.refused[at] = &refusals{}
	}
	c.refused[at][min(max(r.Rank, 0), ranks-1)] = now
}

// RefusedSurge takes in that a request of a workspace that surges was refused; others may
// find room where it did not, less urgent ones included.
func (c *Controller) RefusedSurge(now time.Time, pool string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.pool(pool).overloaded(now)
}

// overloaded notes that there is an overload.
func (p *pool) overloaded(now time.Time) {
	if now.Sub(p.refusedAt) > overloadGap {
		p.overloadedAt = now
	}
	p.refusedAt = now
}

// Arrived takes in that a request has come.
func (c *Controller) Arrived(now time.Time, r Request) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.pool(r.Pool).demand.add(now, r.Workspace)
}

// Precedence says how a request stands to the others of its pool.
type Precedence string

// The precedences.
const (
	// Usual requests are admitted if they can begin in time.
	Usual Precedence = "usual"
	// Surging requests are of a workspace that asks for many times its usual.
	Surging Precedence = "surging"
	// Owed requests are of a class that has less than its least share, and go first.
	Owed Precedence = "owed"
)

// Precedence returns how a request stands to the others that want an upstream.
func (c *Controller) Precedence(now time.Time, r Request) Precedence {
	c.mu.Lock()
	defer c.mu.Unlock()
	p := c.pool(r.Pool)
	if now.Sub(p.refusedAt) > overloadGap {
		return Usual
	}
	switch {
	case p.demand.surges(now, r.Workspace):
		return Surging
	case float64(p.runningOf[r.Class]) < leastShare*float64(p.running):
		return Owed
	}
	return Usual
}

// Behind reports whether a more urgent request has just been refused for an upstream.
func (c *Controller) Behind(now time.Time, r Request, at traffic.Start) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	refused, ok := c.refused[at]
	if !ok {
		return false
	}
	for rank := range min(r.Rank, ranks) {
		if now.Sub(refused[rank]) < refusedFor {
			return true
		}
	}
	return false
}

// forgetRefusals drops those that say nothing any more; the lock must be held.
func (c *Controller) forgetRefusals(now time.Time) {
	maps.DeleteFunc(c.refused, func(_ traffic.Start, r *refusals) bool {
		return !slices.ContainsFunc(r[:], func(at time.Time) bool { return now.Sub(at) < refusedFor })
	})
}

// Overloaded returns for how long requests to a pool have been refused. Of a crowd whose
// end is not known, the best guess is that it stays for as long again.
func (c *Controller) Overloaded(now time.Time, poolName string) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	p := c.pool(poolName)
	if now.Sub(p.refusedAt) > overloadGap {
		return 0
	}
	return now.Sub(p.overloadedAt)
}

// Waited returns how long ago a caller came first that will still wait for the time given.
// Callers of a class wait equally long; one that was refused has less time left when it
// comes again.
func (c *Controller) Waited(class string, left time.Duration) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	k := c.class(class)
	k.longest = max(k.longest, left)
	return k.longest - left
}

// Delay returns how long a request would wait at an upstream with a backlog.
func (c *Controller) Delay(now time.Time, r Request, at traffic.Start, backlog placement.Backlog) time.Duration {
	rank := min(max(r.Rank, 0), ranks-1)
	c.mu.Lock()
	defer c.mu.Unlock()
	p := c.pool(r.Pool)
	told := p.shareUpTo(rank) * backlog.Waiting * float64(p.expectedService()) / max(backlog.Running, 1)
	return max(time.Duration(told), c.waitedBefore(now, rank, at, backlog.Crowded))
}

const (
	// stuckRequests is how many requests make an upstream stuck that have waited for
	// stuckTimes times as long as their answers take to begin: one may be reading a long prompt.
	stuckRequests = 2
	stuckTimes    = 2
)

// Stuck reports whether several of this host's requests at an upstream should have begun long ago.
func (c *Controller) Stuck(now time.Time, at traffic.Start) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := 0
	for r := range c.waiting[at] {
		if begins := c.class(r.request.Class).begins; begins > 0 && now.Sub(r.sent) > stuckTimes*begins {
			n++
		}
	}
	return n >= stuckRequests
}

// waitedBefore returns for how long a request that is as urgent has waited at an upstream, which a
// newcomer will do at least. What upstreams tell comes with answers that begin, so that the
// fuller one is the older is what it told.
//
// Where nothing waited when it told last, the time counts from the target on: an answer
// may take that long to begin while a prompt is read. An upstream that has gone dark, which
// tells nothing any more, is found out then as well.
func (c *Controller) waitedBefore(now time.Time, rank int, at traffic.Start, crowded bool) time.Duration {
	longest := time.Duration(0)
	for r := range c.waiting[at] {
		if r.request.Rank > rank {
			continue
		}
		age := now.Sub(r.sent)
		switch {
		case crowded:
			longest = max(longest, age-c.class(r.request.Class).begins)
		case age > r.request.Target:
			longest = max(longest, age)
		}
	}
	return longest
}

// waited takes in how long a request of a rank had to wait.
func (p *pool) waited(now time.Time, rank int, wait time.Duration) {
	faded := math.Exp(-now.Sub(p.waitsAt).Seconds() / waitsLifetime.Seconds())
	for r := range p.waits {
		p.waits[r] *= faded
	}
	p.waitsAt = now
	p.waits[rank] += max(wait, 0).Seconds()
}

// shareUpTo returns the part of what waits that is as urgent as a rank, or more.
// Upstreams begin with the more urgent first and do not tell how urgent those are that
// wait; how long this host's own had to wait is a sample of it.
func (p *pool) shareUpTo(rank int) float64 {
	upTo, all := 0.0, 0.0
	for r, wait := range p.waits {
		all += wait
		if r <= rank {
			upTo += wait
		}
	}
	return (upTo + leastWaits.Seconds()) / (all + leastWaits.Seconds())
}

func (p *pool) expectedService() time.Duration {
	if p.service == 0 {
		return firstService
	}
	return p.service
}

func (c *Controller) pool(name string) *pool {
	p, ok := c.pools[name]
	if !ok {
		p = &pool{runningOf: map[string]int{}, demand: newDemand()}
		c.pools[name] = p
	}
	return p
}

func (c *Controller) class(name string) *class {
	k, ok := c.classes[name]
	if !ok {
		k = &class{}
		c.classes[name] = k
	}
	return k
}

// mean takes a sample into a mean.
func mean(m *time.Duration, sample time.Duration) {
	if *m == 0 {
		*m = sample
		return
	}
	*m += time.Duration(meanWeight * float64(sample-*m))
}
