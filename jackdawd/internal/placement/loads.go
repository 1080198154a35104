package placement

import (
	"sync"
	"time"

	"jackdawhinge/common/traffic"
)

// toldLifetime is how long what an upstream told of its load says something of
// other hosts' requests: about the time that an answer takes.
const toldLifetime = 2 * time.Second

// Loads holds how many requests each upstream works on, as far as this host knows.
type Loads struct {
	mu   sync.Mutex
	byID map[string]*load
}

// load is one upstream's: this host's own requests, and what other hosts had
// there when the upstream last told.
type load struct {
	own    int
	others float64
	toldAt time.Time
	usedAt time.Time
}

// NewLoads returns loads of nothing.
func NewLoads() *Loads {
	return &Loads{byID: map[string]*load{}}
}

// Begin counts a request of this host.
func (l *Loads) Begin(now time.Time, id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	e := l.entry(now, id)
	e.own++
}

// End counts a request of this host no longer.
func (l *Loads) End(now time.Time, id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	e := l.entry(now, id)
	e.own--
}

// Told takes in what an upstream said in an answer to this host.
func (l *Loads) Told(now time.Time, id string, told traffic.Load) {
	l.mu.Lock()
	defer l.mu.Unlock()
	e := l.entry(now, id)
	e.others = max(0, float64(told.Running+told.Waiting-e.own))
	e.toldAt = now
}

// Own returns how many requests of this host an upstream has.
func (l *Loads) Own(id string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	if e, ok := l.byID[id]; ok {
		return e.own
	}
	return 0
}

// Estimate returns how many requests an upstream is thought to have.
func (l *Loads) Estimate(now time.Time, id string) float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.estimate(now, id)
}

// All returns the estimates of several upstreams.
func (l *Loads) All(now time.Time, upstreams []*traffic.Upstream) []float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := make([]float64, len(upstreams))
	for i, u := range upstreams {
		out[i] = l.estimate(now, u.ID)
	}
	return out
}

func (l *Loads) estimate(now time.Time, id string) float64 {
	e, ok := l.byID[id]
	if !ok {
		return 0
	}
	// What was told fades: after an answer's time those requests have ended, and
	// without fading an upstream that was once full would never be tried again.
	left := 1 - float64(now.Sub(e.toldAt))/float64(toldLifetime)
	return float64(e.own) + e.others*max(left, 0)
}

// Forget drops what is known of upstreams that were not used for a while.
func (l *Loads) Forget(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for id, e := range l.byID {
		if e.own == 0 && now.Sub(e.usedAt) > unusedLifetime {
			delete(l.byID, id)
		}
	}
}

// unusedLifetime is how long an upstream that gets no requests is remembered.
const unusedLifetime = time.Minute

func (l *Loads) entry(now time.Time, id string) *load {
	e, ok := l.byID[id]
	if !ok {
		e = &load{}
		l.byID[id] = e
	}
	e.usedAt = now
	return e
}
