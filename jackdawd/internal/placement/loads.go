package placement

import (
	"sync"
	"time"

	"jackdawhinge/common/traffic"
)

// growthHalfPoint is the growth of this host's own requests at an upstream at which growth at other
// hosts is as likely as random variation.
const growthHalfPoint = 4

// reportTTL is how long a reported load is used to estimate other hosts' requests: about the
// duration of a response.
const reportTTL = 2 * time.Second

// paceTTL is how long a reported pace is used, with a weight that falls to 0. Machines change theirs every few hundred
// milliseconds; in a replay with a change every 600 ms, paces older than 400 ms do harm at full weight.
const paceTTL = 600 * time.Millisecond

// planLag is the age of a plan's loads when the plan is computed, as hosts send their counts right
// after receiving the previous plan. Reports of upstreams since then are newer.
const planLag = 400 * time.Millisecond

// Loads tracks how many requests each upstream has, as far as this host knows.
type Loads struct {
	mu     sync.Mutex
	byHash map[uint32]*upstreamLoad
}

// upstreamLoad is the load of one upstream: this host's own requests, the load that the upstream
// last reported, and its load by the plan in force.
type upstreamLoad struct {
	own        int
	reported   report
	planned    report
	lastUsedAt time.Time
	// pace is the pace that the upstream last reported, at paceAt; 0 if it reports none.
	pace   float64
	paceAt time.Time
}

// expectedPace returns the pace by the last report, which loses its weight within paceTTL; 0 if the
// upstream has reported none in that time.
func (l *upstreamLoad) expectedPace(now time.Time) float64 {
	weight := ageWeight(now.Sub(l.paceAt), paceTTL)
	if l.pace == 0 || weight == 0 {
		return 0
	}
	return 1 + (l.pace-1)*weight
}

// report is an upstream's load at one time.
type report struct {
	requests int
	waiting  int
	at       time.Time
	// own and others are the requests of this host and of all other hosts at that time.
	own    int
	others float64
}

// newest returns the newest report of the upstream.
func (l *upstreamLoad) newest() report {
	if l.planned.at.After(l.reported.at) {
		return l.planned
	}
	return l.reported
}

// weight returns the weight that the report still has. Its requests end in about the duration of a
// response, and without decay an upstream that was once full would never be tried again.
func (r report) weight(now time.Time) float64 {
	return reportWeight(now.Sub(r.at))
}

// NewLoads returns an empty tracker.
func NewLoads() *Loads {
	return &Loads{byHash: map[uint32]*upstreamLoad{}}
}

// Begin counts a request of this host at an upstream as begun, and returns how many it has there.
func (l *Loads) Begin(now time.Time, u *traffic.Upstream) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	e := l.entry(now, u.ShortHash())
	e.own++
	return e.own
}

// End counts a request of this host at an upstream as ended.
func (l *Loads) End(now time.Time, u *traffic.Upstream) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.entry(now, u.ShortHash()).own--
}

// Record records the load that an upstream reported in a response to this host.
func (l *Loads) Record(now time.Time, u *traffic.Upstream, reported traffic.Load) {
	l.mu.Lock()
	defer l.mu.Unlock()
	e := l.entry(now, u.ShortHash())
	e.reported = e.newReport(now, reported.Running+reported.Waiting, reported.Waiting)
	e.pace, e.paceAt = reported.Pace, now
}

// newReport returns a report of an upstream's requests, split into this host's own and others.
func (l *upstreamLoad) newReport(at time.Time, requests, waiting int) report {
	return report{requests: requests, waiting: waiting, at: at, own: l.own, others: max(0, float64(requests-l.own))}
}

// applyPlan records an upstream's load from a plan that was computed at the given time.
func (l *Loads) applyPlan(computedAt time.Time, u *traffic.Upstream, requests int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	waiting := 0
	if u.Slots > 0 {
		waiting = max(requests-u.Slots, 0)
	}
	e := l.entry(computedAt, u.ShortHash())
	e.planned = e.newReport(computedAt.Add(-planLag), requests, waiting)
}

// InProgress returns the number of this host's requests at each upstream, keyed by the lowest three
// bytes of its ShortHash.
func (l *Loads) InProgress() map[uint32]int {
	l.mu.Lock()
	defer l.mu.Unlock()
	requests := map[uint32]int{}
	for hash, e := range l.byHash {
		if e.own > 0 {
			requests[hash&WireHashMask] += e.own
		}
	}
	return requests
}

// OwnRequests returns the number of this host's requests at an upstream.
func (l *Loads) OwnRequests(u *traffic.Upstream) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	if e, ok := l.byHash[u.ShortHash()]; ok {
		return e.own
	}
	return 0
}

// Estimate returns the estimated number of requests of all hosts at an upstream.
func (l *Loads) Estimate(now time.Time, u *traffic.Upstream) float64 {
	return l.Load(now, u).Requests()
}

// Load returns the load of an upstream as far as this host knows it.
func (l *Loads) Load(now time.Time, u *traffic.Upstream) Load {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.load(now, u)
}

// Total returns the number of requests at some upstreams: this host's own, and those of others by the
// latest reports.
func (l *Loads) Total(now time.Time, upstreams []*traffic.Upstream) (own, others float64) {
	for _, load := range l.All(now, upstreams) {
		own += load.Own
		others += load.Others * reportWeight(load.Age)
	}
	return own, others
}

// All returns the loads of several upstreams, in the same order.
func (l *Loads) All(now time.Time, upstreams []*traffic.Upstream) []Load {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := make([]Load, len(upstreams))
	for i, u := range upstreams {
		out[i] = l.load(now, u)
	}
	return out
}

func (l *Loads) load(now time.Time, u *traffic.Upstream) Load {
	e, ok := l.byHash[u.ShortHash()]
	if !ok {
		return Load{}
	}
	r := e.newest()
	return Load{Own: float64(e.own), Others: r.others, Age: now.Sub(r.at)}
}

// RemoveUnused drops upstreams that have no requests of this host and were not used for a minute.
func (l *Loads) RemoveUnused(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for hash, e := range l.byHash {
		if e.own == 0 && now.Sub(e.lastUsedAt) > unusedTTL {
			delete(l.byHash, hash)
		}
	}
}

// unusedTTL is how long an upstream without requests is kept.
const unusedTTL = time.Minute

func (l *Loads) entry(now time.Time, hash uint32) *upstreamLoad {
	e, ok := l.byHash[hash]
	if !ok {
		e = &upstreamLoad{}
		l.byHash[hash] = e
	}
	e.lastUsedAt = now
	return e
}
