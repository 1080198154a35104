package placement

import (
	"sync"
	"time"

	"jackdawhinge/common/traffic"
)

// growthDoubt is how many requests more at an upstream make it as likely that a crowd comes as that
// these came by chance.
const growthDoubt = 4

// toldLifetime is how long what an upstream told of its load says something of
// other hosts' requests: about the time that an answer takes.
const toldLifetime = 2 * time.Second

// planLag is how old what a plan says is when it is drawn: hosts tell what they have just after
// they heard of the plan before. What an upstream told since then is newer.
const planLag = 400 * time.Millisecond

// Loads holds how many requests each upstream works on, as far as this host knows.
type Loads struct {
	mu     sync.Mutex
	byHash map[uint32]*load
}

// load is one upstream's: this host's own requests, what it told last, and what it has by the plan in force.
type load struct {
	own     int
	told    report
	planned report
	usedAt  time.Time
}

// report is what an upstream had at a moment.
type report struct {
	requests int
	waiting  int
	at       time.Time
	// own is how many requests this host had there then, others how many all others had.
	own    int
	others float64
}

// newest returns what is known of the upstream last.
func (l *load) newest() report {
	if l.planned.at.After(l.told.at) {
		return l.planned
	}
	return l.told
}

// left returns how much of what was told still holds: after an answer's time those requests
// have ended, and without fading an upstream that was once full would never be tried again.
func (r report) left(now time.Time) float64 {
	return remembered(now.Sub(r.at))
}

// NewLoads returns loads of nothing.
func NewLoads() *Loads {
	return &Loads{byHash: map[uint32]*load{}}
}

// Begin counts a request of this host.
func (l *Loads) Begin(now time.Time, u *traffic.Upstream) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.entry(now, u.ShortHash()).own++
}

// End counts a request of this host no longer.
func (l *Loads) End(now time.Time, u *traffic.Upstream) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.entry(now, u.ShortHash()).own--
}

// Told takes in what an upstream said in an answer to this host.
func (l *Loads) Told(now time.Time, u *traffic.Upstream, told traffic.Load) {
	l.mu.Lock()
	defer l.mu.Unlock()
	e := l.entry(now, u.ShortHash())
	e.told = e.report(now, told.Running+told.Waiting, told.Waiting)
}

// report returns what an upstream has at a moment beside this host's own requests there.
func (l *load) report(at time.Time, requests, waiting int) report {
	return report{requests: requests, waiting: waiting, at: at, own: l.own, others: max(0, float64(requests-l.own))}
}

// plan takes in how many requests an upstream has by a plan that was drawn at a moment.
func (l *Loads) plan(at time.Time, u *traffic.Upstream, requests int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	waiting := 0
	if u.Slots > 0 {
		waiting = max(requests-u.Slots, 0)
	}
	e := l.entry(at, u.ShortHash())
	e.planned = e.report(at.Add(-planLag), requests, waiting)
}

// InProgress returns how many requests of this host each upstream has, by the CountedHash of its start.
func (l *Loads) InProgress() map[uint32]int {
	l.mu.Lock()
	defer l.mu.Unlock()
	requests := map[uint32]int{}
	for hash, e := range l.byHash {
		if e.own > 0 {
			requests[hash&CountedHash] += e.own
		}
	}
	return requests
}

// Own returns how many requests of this host an upstream has.
func (l *Loads) Own(u *traffic.Upstream) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	if e, ok := l.byHash[u.ShortHash()]; ok {
		return e.own
	}
	return 0
}

// Estimate returns how many requests an upstream is thought to have.
func (l *Loads) Estimate(now time.Time, u *traffic.Upstream) float64 {
	return l.Known(now, u).Requests()
}

// Known returns what is known of an upstream.
func (l *Loads) Known(now time.Time, u *traffic.Upstream) Load {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.known(now, u)
}

// All returns what is known of several upstreams.
func (l *Loads) All(now time.Time, upstreams []*traffic.Upstream) []Load {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := make([]Load, len(upstreams))
	for i, u := range upstreams {
		out[i] = l.known(now, u)
	}
	return out
}

func (l *Loads) known(now time.Time, u *traffic.Upstream) Load {
	e, ok := l.byHash[u.ShortHash()]
	if !ok {
		return Load{}
	}
	r := e.newest()
	return Load{Own: float64(e.own), Others: r.others, Age: now.Sub(r.at)}
}

// A Backlog is what an upstream has to do before it begins with the next request.
type Backlog struct {
	// Running is how many requests it works on, Waiting how many it has not begun.
	Running float64
	Waiting float64
	// Crowded is set if requests waited there when it told last, however long ago.
	Crowded bool
}

// Backlog returns the backlog of an upstream as far as this host knows.
func (l *Loads) Backlog(now time.Time, u *traffic.Upstream) Backlog {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.backlog(now, u)
}

// backlog returns what the upstream told last, with this host's requests that have come and ended since.
func (l *Loads) backlog(now time.Time, u *traffic.Upstream) Backlog {
	e, ok := l.byHash[u.ShortHash()]
	if !ok {
		return Backlog{}
	}
	r := e.newest()
	left := r.left(now)
	if left == 0 {
		return Backlog{Running: float64(e.own), Crowded: r.waiting > 0}
	}
	running := float64(r.requests - r.waiting)
	since := float64(e.own - r.own)
	if since > 0 {
		// If more comes than goes, others have sent as much for their part; one request
		// hardly shows that, several do.
		others := max(float64(r.requests)/float64(max(r.own, 1))-1, 0)
		since *= 1 + others*since/(since+growthDoubt)
	}
	waiting := float64(r.waiting)*left + since
	if r.waiting == 0 {
		// What came since found a place, as long as there are places.
		waiting = min(waiting, running+since-float64(u.Slots))
	}
	return Backlog{Running: running, Waiting: max(waiting, 0), Crowded: r.waiting > 0}
}

// Forget drops what is known of upstreams that were not used for a while.
func (l *Loads) Forget(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for hash, e := range l.byHash {
		if e.own == 0 && now.Sub(e.usedAt) > unusedLifetime {
			delete(l.byHash, hash)
		}
	}
}

// unusedLifetime is how long an upstream that gets no requests is remembered.
const unusedLifetime = time.Minute

func (l *Loads) entry(now time.Time, hash uint32) *load {
	e, ok := l.byHash[hash]
	if !ok {
		e = &load{}
		l.byHash[hash] = e
	}
	e.usedAt = now
	return e
}
