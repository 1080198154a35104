package placement

import (
	"cmp"
	"slices"
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

// Loads holds how many requests each upstream works on, as far as this host knows.
type Loads struct {
	mu     sync.Mutex
	byHash map[uint32]*load
}

// Told is what an upstream said of its requests, here or at another host.
type Told struct {
	// Upstream is the short hash of its start.
	Upstream uint32
	Requests int
	// Waiting is how many of them it had not begun to work on.
	Waiting int
	At      time.Time
}

// load is one upstream's: this host's own requests, and what other hosts had
// there when the upstream last told.
type load struct {
	own     int
	others  float64
	told    int
	waiting int
	toldAt  time.Time
	// ownThen is how many requests this host had there when it was told.
	ownThen int
	// fromAbove is set if what was told came from the host that this one exchanges loads with.
	fromAbove bool
	usedAt    time.Time
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
	e.take(Told{Requests: told.Running + told.Waiting, Waiting: told.Waiting, At: now}, false)
}

// take takes in what an upstream told.
func (e *load) take(t Told, fromAbove bool) {
	e.others = max(0, float64(t.Requests-e.own))
	e.told, e.waiting, e.toldAt, e.fromAbove = t.Requests, t.Waiting, t.At, fromAbove
	e.ownThen = e.own
}

// Merge takes in what upstreams told other hosts, where it is newer; above is set if it
// came from the host that this one exchanges loads with.
func (l *Loads) Merge(told []Told, above bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, t := range told {
		if e := l.entry(t.At, t.Upstream); t.At.After(e.toldAt) {
			e.take(t, above)
		}
	}
}

// Newest returns what upstreams told any host within a time, the most loaded ones
// if there are more than the most given: a full upstream that is taken for empty
// does more harm than the reverse. What came from above is left out unless it is asked for.
func (l *Loads) Newest(now time.Time, within time.Duration, most int, above bool) []Told {
	l.mu.Lock()
	var out []Told
	for hash, e := range l.byHash {
		if now.Sub(e.toldAt) < within && (above || !e.fromAbove) {
			out = append(out, Told{Upstream: hash, Requests: e.told, Waiting: e.waiting, At: e.toldAt})
		}
	}
	l.mu.Unlock()
	if len(out) > most {
		slices.SortFunc(out, func(a, b Told) int { return cmp.Compare(b.Requests, a.Requests) })
		out = out[:most]
	}
	return out
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
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.estimate(now, u)
}

// All returns the estimates of several upstreams.
func (l *Loads) All(now time.Time, upstreams []*traffic.Upstream) []float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := make([]float64, len(upstreams))
	for i, u := range upstreams {
		out[i] = l.estimate(now, u)
	}
	return out
}

func (l *Loads) estimate(now time.Time, u *traffic.Upstream) float64 {
	e, ok := l.byHash[u.ShortHash()]
	if !ok {
		return 0
	}
	// What was told fades: after an answer's time those requests have ended, and
	// without fading an upstream that was once full would never be tried again.
	left := 1 - float64(now.Sub(e.toldAt))/float64(toldLifetime)
	return float64(e.own) + e.others*max(left, 0)
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
	left := max(1-float64(now.Sub(e.toldAt))/float64(toldLifetime), 0)
	if left == 0 {
		return Backlog{Running: float64(e.own), Crowded: e.waiting > 0}
	}
	running := float64(e.told - e.waiting)
	since := float64(e.own - e.ownThen)
	if since > 0 {
		// If more comes than goes, others have sent as much for their part; one request
		// hardly shows that, several do.
		others := max(float64(e.told)/float64(max(e.ownThen, 1))-1, 0)
		since *= 1 + others*since/(since+growthDoubt)
	}
	waiting := float64(e.waiting)*left + since
	if e.waiting == 0 {
		// What came since found a place, as long as there are places.
		waiting = min(waiting, running+since-float64(u.Slots))
	}
	return Backlog{Running: running, Waiting: max(waiting, 0), Crowded: e.waiting > 0}
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
