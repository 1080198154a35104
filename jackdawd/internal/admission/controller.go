package admission

import (
	"sync"
	"time"

	"jackdawhinge/common/traffic"
)

const (
	// numRanks is the number of urgency ranks.
	numRanks = 10
	// smoothingFactor is the EWMA weight of the newest response in mean times. The last 20 responses
	// make up two thirds.
	smoothingFactor = 0.05
	// initialServiceTime is assumed for a pool without responses so far, about that of a short one.
	initialServiceTime = 500 * time.Millisecond
	// minServiceRatio is the least part of its time at an upstream that a request is assumed to have
	// occupied a slot, however long it was expected to wait.
	minServiceRatio = 0.2
	// maxIdleDelay is the expected delay up to which a response counts for the time to first byte
	// without queueing.
	maxIdleDelay = 20 * time.Millisecond
)

// A Controller estimates at one host how long requests would wait at each upstream.
type Controller struct {
	mu      sync.Mutex
	pools   map[string]*pool
	classes map[string]*class
	// waiting holds this host's requests at each upstream whose response has not begun.
	waiting map[traffic.UpstreamInstance]map[*Attempt]struct{}
	// refusals holds the recent refusals for each upstream.
	refusals map[traffic.UpstreamInstance]*refusalTimes
}

// pool is the state of one pool of upstreams.
type pool struct {
	// meanServiceTime is the mean time for which a request occupies a slot.
	meanServiceTime time.Duration
	// waitByRank sums up, with decay, how long this host's requests waited, in seconds.
	waitByRank     [numRanks]float64
	waitsUpdatedAt time.Time
	demand         demand
	// running counts this host's requests at the upstreams, runningByClass those of each class.
	running        int
	runningByClass map[string]int
	// overloadStartedAt is the time of the first refusal of the current overload, and lastRefusedAt
	// of the last one.
	overloadStartedAt time.Time
	lastRefusedAt     time.Time
}

// class is the state of the requests of one route.
type class struct {
	// timeToFirstByte is the mean time until a response begins if the request doesn't wait.
	timeToFirstByte time.Duration
	// usualTimeLeft is how long most callers will still wait, tracked by majority vote. votes is the
	// lead of the callers that agree with it.
	usualTimeLeft time.Duration
	votes         int
}

// A Request describes a request to the controller.
type Request struct {
	Pool string
	// Class is the name of the request's route.
	Class string
	// Workspace is the workspace that sent the request.
	Workspace string
	// Rank is the urgency; 0 is the most urgent.
	Rank int
	// Target is how soon the response should begin.
	Target time.Duration
}

// An Attempt is a request that was sent to an upstream.
type Attempt struct {
	controller    *Controller
	request       Request
	upstream      traffic.UpstreamInstance
	sentAt        time.Time
	expectedDelay time.Duration
	// leftQueue is set once the response has begun or the request has ended.
	leftQueue bool
}

// NewController returns a controller without any measurements.
func NewController() *Controller {
	return &Controller{pools: map[string]*pool{}, classes: map[string]*class{}, waiting: map[traffic.UpstreamInstance]map[*Attempt]struct{}{}, refusals: map[traffic.UpstreamInstance]*refusalTimes{}}
}

// RecordSent records that a request is sent to an upstream, where it is expected to wait for
// expectedDelay.
func (c *Controller) RecordSent(now time.Time, r Request, upstream traffic.UpstreamInstance, expectedDelay time.Duration) *Attempt {
	r.Rank = clampRank(r.Rank)
	a := &Attempt{controller: c, request: r, upstream: upstream, sentAt: now, expectedDelay: expectedDelay}
	c.mu.Lock()
	defer c.mu.Unlock()
	p := c.pool(r.Pool)
	p.running++
	p.runningByClass[r.Class]++
	if c.waiting[upstream] == nil {
		c.waiting[upstream] = map[*Attempt]struct{}{}
	}
	c.waiting[upstream][a] = struct{}{}
	return a
}

// RecordFirstByte records that the response has begun.
func (a *Attempt) RecordFirstByte(now time.Time) {
	c := a.controller
	c.mu.Lock()
	defer c.mu.Unlock()
	c.leaveQueue(now, a)
	if a.expectedDelay <= maxIdleDelay {
		updateMean(&c.class(a.request.Class).timeToFirstByte, now.Sub(a.sentAt))
	}
}

// RecordEnd records that the request has ended; complete is set if the whole response was received.
func (a *Attempt) RecordEnd(now time.Time, complete bool) {
	c := a.controller
	c.mu.Lock()
	defer c.mu.Unlock()
	c.leaveQueue(now, a)
	p := c.pool(a.request.Pool)
	p.running--
	p.runningByClass[a.request.Class]--
	if complete {
		took := now.Sub(a.sentAt)
		updateMean(&p.meanServiceTime, max(took-a.expectedDelay, time.Duration(minServiceRatio*float64(took))))
	}
}

// leaveQueue records the wait of an attempt whose response has begun or that has ended. The caller
// must hold c.mu.
func (c *Controller) leaveQueue(now time.Time, a *Attempt) {
	if a.leftQueue {
		return
	}
	a.leftQueue = true
	c.pool(a.request.Pool).recordWait(now, a.request.Rank, now.Sub(a.sentAt)-c.class(a.request.Class).timeToFirstByte)
	delete(c.waiting[a.upstream], a)
	if len(c.waiting[a.upstream]) == 0 {
		delete(c.waiting, a.upstream)
	}
}

// TimeToFirstByte returns the mean time until a response of a class begins if the request doesn't
// wait.
func (c *Controller) TimeToFirstByte(class string) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.class(class).timeToFirstByte
}

// WaitedBeforeRetry returns how long ago a caller that will still wait for timeLeft sent its first
// attempt. Callers of a class wait equally long in total, so one that was refused has less time left
// when it retries. The reference is the time that most callers have left rather than the longest
// time, as a single caller with a longer timeout would make all others look like retries.
func (c *Controller) WaitedBeforeRetry(class string, timeLeft time.Duration) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	cl := c.class(class)
	cl.vote(timeLeft)
	return max(cl.usualTimeLeft-timeLeft, 0)
}

// vote updates the time that most callers have left. First attempts differ by at most voteTolerance,
// while the time left of retries varies widely.
func (cl *class) vote(timeLeft time.Duration) {
	switch {
	case (cl.usualTimeLeft - timeLeft).Abs() <= voteTolerance:
		cl.votes = min(cl.votes+1, maxVotes)
	case cl.votes == 0:
		cl.usualTimeLeft, cl.votes = timeLeft, 1
	default:
		cl.votes--
	}
}

const (
	// voteTolerance is how much the time left may differ between first attempts, due to the time
	// that their connections took.
	voteTolerance = 50 * time.Millisecond
	// maxVotes bounds the votes, so that this many callers are enough to show that most callers now
	// wait for another time.
	maxVotes = 50
)

// RecordArrival records that a request has arrived at this host.
func (c *Controller) RecordArrival(now time.Time, r Request) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.pool(r.Pool).demand.add(now, r.Workspace)
}

// ServiceTime returns the mean time for which a request to a pool occupies a slot.
func (c *Controller) ServiceTime(pool string) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.pool(pool).expectedServiceTime()
}

func (p *pool) expectedServiceTime() time.Duration {
	if p.meanServiceTime == 0 {
		return initialServiceTime
	}
	return p.meanServiceTime
}

func (c *Controller) pool(name string) *pool {
	p, ok := c.pools[name]
	if !ok {
		p = &pool{runningByClass: map[string]int{}, demand: newDemand()}
		c.pools[name] = p
	}
	return p
}

func (c *Controller) class(name string) *class {
	cl, ok := c.classes[name]
	if !ok {
		cl = &class{}
		c.classes[name] = cl
	}
	return cl
}

// updateMean adds a sample to an EWMA.
func updateMean(mean *time.Duration, sample time.Duration) {
	if *mean == 0 {
		*mean = sample
		return
	}
	*mean += time.Duration(smoothingFactor * float64(sample-*mean))
}

// clampRank returns the valid rank nearest to the given one.
func clampRank(rank int) int { return min(max(rank, 0), numRanks-1) }
