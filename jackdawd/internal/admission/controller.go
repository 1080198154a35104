package admission

import (
	"sync"
	"time"

	"jackdawhinge/common/traffic"
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

// class is what is known of the requests of one route.
type class struct {
	// begins is the mean time after which an answer begins that need not wait.
	begins time.Duration
	// usual is how long most callers would wait, and votes by how many more they have been
	// than those who would wait otherwise.
	usual time.Duration
	votes int
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
	begun      bool
}

// NewController returns a controller that has seen nothing.
func NewController() *Controller {
	return &Controller{pools: map[string]*pool{}, classes: map[string]*class{}, waiting: map[traffic.Start]map[*Run]struct{}{}, refused: map[traffic.Start]*refusals{}}
}

// Send takes in that a request goes to an upstream where it is expected to wait for a time.
func (c *Controller) Send(now time.Time, r Request, at traffic.Start, expected time.Duration) *Run {
	r.Rank = inRange(r.Rank)
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
	c.leave(now, r)
	if r.expected <= calmDelay {
		mean(&c.class(r.request.Class).begins, now.Sub(r.sent))
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

// Waited returns how long ago a caller came first that will still wait for the time given.
// Callers of a class wait equally long; one that was refused has less time left when it
// comes again. What most have left counts, or one caller with more patience would make
// all others look as if they had been here before.
func (c *Controller) Waited(class string, left time.Duration) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	k := c.class(class)
	k.vote(left)
	return max(k.usual-left, 0)
}

// vote takes in how long a caller would wait. The first ones' tries differ by less than
// voteTolerance, while those that come again have anything left.
func (k *class) vote(left time.Duration) {
	switch {
	case (k.usual - left).Abs() <= voteTolerance:
		k.votes = min(k.votes+1, mostVotes)
	case k.votes == 0:
		k.usual, k.votes = left, 1
	default:
		k.votes--
	}
}

const (
	// voteTolerance is by how much the time differs that two callers have left who come for
	// the first time, for what their connections took.
	voteTolerance = 50 * time.Millisecond
	// mostVotes bounds the votes, so that so many callers are enough to show that habits have changed.
	mostVotes = 50
)

// Arrived takes in that a request has come.
func (c *Controller) Arrived(now time.Time, r Request) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.pool(r.Pool).demand.add(now, r.Workspace)
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

// inRange returns the rank nearest to one given that there is.
func inRange(rank int) int { return min(max(rank, 0), ranks-1) }
