package quarantine

import (
	"cmp"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
)

const (
	// mostCases bounds what is remembered, to a megabyte. When more requests than that have met a crash
	// within suspectedFor, those that met the fewest are forgotten first, one in forgottenShare at once.
	mostCases      = 4096
	forgottenShare = 8
	// expireEvery is how often cases of long ago are looked for.
	expireEvery = time.Second
	// mostTold bounds the cases of one crash that are told at once, so that a message takes a few kilobytes. When
	// many upstreams end with all their requests, the rest follows in the next messages.
	mostTold = 100
)

// A Position is how far a host has followed another one's registry.
type Position struct {
	// Epoch identifies the registry; after a restart positions begin anew.
	Epoch uint64
	Next  int64
}

// A Registry holds the requests under which upstreams have ended. It is safe for concurrent use.
type Registry struct {
	// size is how many cases there are, so that requests pass without a lock while there are none.
	size    atomic.Int64
	mu      sync.Mutex
	epoch   uint64
	version int64
	cases   map[Fingerprint]*suspect
	changed chan struct{}
	// expiredAt is when cases of long ago were looked for last.
	expiredAt time.Time
}

// NewRegistry returns a registry without cases.
func NewRegistry() *Registry {
	return &Registry{epoch: rand.Uint64(), cases: map[Fingerprint]*suspect{}, changed: make(chan struct{})}
}

// Empty reports whether no upstream has ended under any request of late.
func (r *Registry) Empty() bool { return r.size.Load() == 0 }

// Barred reports whether a request is kept from upstreams, and for how long.
func (r *Registry) Barred(now time.Time, f Fingerprint) (time.Duration, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	c, ok := r.cases[f]
	if !ok || !c.barred() {
		return 0, false
	}
	left := c.expires().Sub(now)
	return left, left > 0
}

// Crashed takes in that an upstream, named by the short hash of its start, ended when it had had a request for a time.
func (r *Registry) Crashed(now time.Time, f Fingerprint, start uint32, ran time.Duration) {
	r.Merge(now, []Record{{Request: f, Crashes: []CrashRecord{{Start: start, Ran: ran}}}})
}

// Answered takes in that an upstream has answered a request that it had run.
func (r *Registry) Answered(now time.Time, f Fingerprint) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if c, ok := r.cases[f]; ok && c.answer(now) {
		r.note(c)
		r.raise()
	}
}

// Merge takes in what another host knows.
func (r *Registry) Merge(now time.Time, records []Record) {
	if len(records) == 0 {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.expire(now)
	news := false
	for _, record := range records {
		news = r.take(now, record) || news
	}
	r.size.Store(int64(len(r.cases)))
	if news {
		r.raise()
	}
}

// take takes in one record and reports whether it is news; the lock must be held.
func (r *Registry) take(now time.Time, record Record) bool {
	c, known := r.cases[record.Request]
	if !known {
		c = &suspect{}
	}
	before := c.barred()
	if !c.take(now, record) || len(c.crashes) == 0 && !known || now.After(c.expires()) {
		return false
	}
	if !known {
		r.makeRoom()
		r.cases[record.Request] = c
	}
	r.note(c)
	if !before && c.barred() {
		logrus.WithFields(logrus.Fields{"fingerprint": record.Request.String(), "crashes": len(c.crashes), "for": c.expires().Sub(now).String()}).
			Warn("quarantine: A request is kept from upstreams, which end under it.")
	}
	return true
}

// note numbers a change of a case; the lock must be held.
func (r *Registry) note(c *suspect) {
	r.version++
	c.changed = r.version
}

// raise wakes those who wait for a change; the lock must be held.
func (r *Registry) raise() {
	close(r.changed)
	r.changed = make(chan struct{})
}

// Changed is closed when there is news.
func (r *Registry) Changed() <-chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.changed
}

// expire forgets cases of long ago; the lock must be held.
func (r *Registry) expire(now time.Time) {
	if now.Sub(r.expiredAt) < expireEvery {
		return
	}
	r.expiredAt = now
	maps.DeleteFunc(r.cases, func(_ Fingerprint, c *suspect) bool { return now.After(c.expires()) })
}

// makeRoom forgets cases if there are too many: those that are not barred before others, and the
// oldest of these; the lock must be held.
func (r *Registry) makeRoom() {
	if len(r.cases) < mostCases {
		return
	}
	order := func(a, b Fingerprint) int { return r.cases[a].compare(r.cases[b]) }
	for _, f := range slices.SortedFunc(maps.Keys(r.cases), order)[:mostCases/forgottenShare] {
		delete(r.cases, f)
	}
}

// compare orders cases by how much speaks against the request, and then by how new they are.
func (c *suspect) compare(other *suspect) int {
	return cmp.Or(cmp.Compare(len(c.crashes), len(other.crashes)), c.last().Compare(other.last()))
}

// News reports whether there are cases with so many crashes at least that changed after a position.
func (r *Registry) News(p Position, least int) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, c := range r.cases {
		if r.tells(c, p, least) {
			return true
		}
	}
	return false
}

// tells reports whether a host at a position is told of a case; the lock must be held.
func (r *Registry) tells(c *suspect, p Position, least int) bool {
	return (p.Epoch != r.epoch || c.changed > p.Next) && c.worst >= least
}

// Since returns the cases with so many crashes at least that changed after a position, and the
// position that they lead to. Those of one crash come in the order in which they changed, mostTold at once;
// graver ones go before them, as chance seldom makes these.
func (r *Registry) Since(now time.Time, p Position, least int) ([]Record, Position) {
	r.mu.Lock()
	defer r.mu.Unlock()
	var grave, others []Fingerprint
	for f, c := range r.cases {
		switch {
		case !r.tells(c, p, least):
		case c.worst > 1:
			grave = append(grave, f)
		default:
			others = append(others, f)
		}
	}
	until := Position{Epoch: r.epoch, Next: r.version}
	slices.SortFunc(others, func(a, b Fingerprint) int { return cmp.Compare(r.cases[a].changed, r.cases[b].changed) })
	if len(others) > mostTold {
		others = others[:mostTold]
		until.Next = r.cases[others[mostTold-1]].changed
	}
	var records []Record
	for _, f := range append(grave, others...) {
		records = append(records, r.cases[f].record(now, f))
	}
	return records, until
}

// AllBarred returns the requests that are kept from upstreams.
func (r *Registry) AllBarred(now time.Time) []Record {
	r.mu.Lock()
	defer r.mu.Unlock()
	var barred []Record
	for f, c := range r.cases {
		if c.barred() && now.Before(c.expires()) {
			barred = append(barred, c.record(now, f))
		}
	}
	return barred
}

// Counts returns how many requests are remembered, and how many of them are barred.
func (r *Registry) Counts() (remembered, barred int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, c := range r.cases {
		if c.barred() {
			barred++
		}
	}
	return len(r.cases), barred
}
