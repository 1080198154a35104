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
	// maxSuspects bounds the suspects in memory, to about a megabyte. When more requests have met a
	// crash within suspectTTL, one in evictionDivisor is evicted at once, those with the fewest
	// crashes first.
	maxSuspects     = 4096
	evictionDivisor = 8
	// expiryInterval is how often expired suspects are deleted.
	expiryInterval = time.Second
	// maxSingleCrashRecords bounds the suspects with one crash in one message, so that a message
	// takes a few kilobytes. When many upstreams crash with all their requests, the rest follows in
	// the next messages.
	maxSingleCrashRecords = 100
)

// A Position is how far a host has followed another host's registry.
type Position struct {
	// Epoch identifies the registry; after a restart positions begin anew.
	Epoch uint64
	// Next is the version of the registry up to which its changes are known.
	Next int64
}

// A Registry holds the requests during which upstreams crashed. It is safe for concurrent use.
type Registry struct {
	// count is the number of suspects; while there are none, requests need no lock.
	count   atomic.Int64
	mu      sync.Mutex
	epoch   uint64
	version int64
	// suspects are the requests during which upstreams crashed, by fingerprint.
	suspects map[Fingerprint]*suspect
	changed  chan struct{}
	// lastExpiry is when expired suspects were last deleted.
	lastExpiry time.Time
}

// NewRegistry returns an empty registry.
func NewRegistry() *Registry {
	return &Registry{epoch: rand.Uint64(), suspects: map[Fingerprint]*suspect{}, changed: make(chan struct{})}
}

// Empty reports whether there are no suspects.
func (r *Registry) Empty() bool { return r.count.Load() == 0 }

// Quarantined reports whether a request is quarantined, and for how much longer.
func (r *Registry) Quarantined(now time.Time, f Fingerprint) (time.Duration, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	s, ok := r.suspects[f]
	if !ok || !s.quarantined() {
		return 0, false
	}
	left := s.expiresAt().Sub(now)
	return left, left > 0
}

// RecordCrash records that an upstream, identified by the short hash of its instance, crashed after
// it had had the request for ran.
func (r *Registry) RecordCrash(now time.Time, f Fingerprint, instance uint32, ran time.Duration) {
	r.Merge(now, []Record{{Request: f, Crashes: []CrashRecord{{Start: instance, Ran: ran}}}})
}

// RecordResponse records that an upstream ran a request and responded.
func (r *Registry) RecordResponse(now time.Time, f Fingerprint) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if s, ok := r.suspects[f]; ok && s.addResponse(now) {
		r.markChanged(s)
		r.notify()
	}
}

// Merge merges the records of another host.
func (r *Registry) Merge(now time.Time, records []Record) {
	if len(records) == 0 {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.expire(now)
	changed := false
	for _, record := range records {
		changed = r.mergeRecord(now, record) || changed
	}
	r.count.Store(int64(len(r.suspects)))
	if changed {
		r.notify()
	}
}

// mergeRecord merges one record and reports whether that changed anything; the lock must be held.
func (r *Registry) mergeRecord(now time.Time, record Record) bool {
	s, known := r.suspects[record.Request]
	if !known {
		s = &suspect{}
	}
	before := s.quarantined()
	if !s.merge(now, record) || len(s.crashes) == 0 && !known || now.After(s.expiresAt()) {
		return false
	}
	if !known {
		r.evict()
		r.suspects[record.Request] = s
	}
	r.markChanged(s)
	if !before && s.quarantined() {
		logrus.WithFields(logrus.Fields{"fingerprint": record.Request.String(), "crashes": len(s.crashes), "for": s.expiresAt().Sub(now).String()}).
			Warn("quarantine: Request quarantined because upstreams crashed while they ran it.")
	}
	return true
}

// markChanged gives a suspect the registry's next version; the lock must be held.
func (r *Registry) markChanged(s *suspect) {
	r.version++
	s.changedVersion = r.version
}

// notify wakes those who wait for a change; the lock must be held.
func (r *Registry) notify() {
	close(r.changed)
	r.changed = make(chan struct{})
}

// Changed returns a channel that is closed at the next change.
func (r *Registry) Changed() <-chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.changed
}

// expire deletes expired suspects, at most once per expiryInterval; the lock must be held.
func (r *Registry) expire(now time.Time) {
	if now.Sub(r.lastExpiry) < expiryInterval {
		return
	}
	r.lastExpiry = now
	maps.DeleteFunc(r.suspects, func(_ Fingerprint, s *suspect) bool { return now.After(s.expiresAt()) })
}

// evict deletes suspects if there are too many, those with the fewest crashes first and of these the
// oldest; the lock must be held.
func (r *Registry) evict() {
	if len(r.suspects) < maxSuspects {
		return
	}
	order := func(a, b Fingerprint) int { return r.suspects[a].compare(r.suspects[b]) }
	for _, f := range slices.SortedFunc(maps.Keys(r.suspects), order)[:maxSuspects/evictionDivisor] {
		delete(r.suspects, f)
	}
}

// compare orders suspects by their number of crashes, and then by the time of the last event.
func (s *suspect) compare(other *suspect) int {
	return cmp.Or(cmp.Compare(len(s.crashes), len(other.crashes)), s.lastEvent().Compare(other.lastEvent()))
}

// HasChanges reports whether any suspect that reached minCrashes has changed after a position.
func (r *Registry) HasChanges(p Position, minCrashes int) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, s := range r.suspects {
		if r.changedAfter(s, p, minCrashes) {
			return true
		}
	}
	return false
}

// changedAfter reports whether a suspect reached minCrashes and has changed after a position; the
// lock must be held.
func (r *Registry) changedAfter(s *suspect, p Position, minCrashes int) bool {
	return (p.Epoch != r.epoch || s.changedVersion > p.Next) && s.peakCrashes >= minCrashes
}

// Since returns the records of the suspects that reached minCrashes and have changed after a
// position, and the position that they lead to. Suspects that only ever had one crash are limited to
// maxSingleCrashRecords, in the order in which they changed. Those with more come first and without
// limit, as coincidence seldom produces them.
func (r *Registry) Since(now time.Time, p Position, minCrashes int) ([]Record, Position) {
	r.mu.Lock()
	defer r.mu.Unlock()
	var multiple, single []Fingerprint
	for f, s := range r.suspects {
		switch {
		case !r.changedAfter(s, p, minCrashes):
		case s.peakCrashes > 1:
			multiple = append(multiple, f)
		default:
			single = append(single, f)
		}
	}
	end := Position{Epoch: r.epoch, Next: r.version}
	slices.SortFunc(single, func(a, b Fingerprint) int {
		return cmp.Compare(r.suspects[a].changedVersion, r.suspects[b].changedVersion)
	})
	if len(single) > maxSingleCrashRecords {
		single = single[:maxSingleCrashRecords]
		end.Next = r.suspects[single[maxSingleCrashRecords-1]].changedVersion
	}
	var records []Record
	for _, f := range append(multiple, single...) {
		records = append(records, r.suspects[f].record(now, f))
	}
	return records, end
}

// AllQuarantined returns the records of the requests that are quarantined now.
func (r *Registry) AllQuarantined(now time.Time) []Record {
	r.mu.Lock()
	defer r.mu.Unlock()
	var quarantined []Record
	for f, s := range r.suspects {
		if s.quarantined() && now.Before(s.expiresAt()) {
			quarantined = append(quarantined, s.record(now, f))
		}
	}
	return quarantined
}

// Counts returns the number of suspects and how many of them are quarantined.
func (r *Registry) Counts() (suspects, quarantined int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, s := range r.suspects {
		if s.quarantined() {
			quarantined++
		}
	}
	return len(r.suspects), quarantined
}
