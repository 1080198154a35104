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
	// maxSuspects bounds the suspects in memory, to about a megabyte. When more subjects have met a
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

// A Match is the subject because of which a request is refused.
type Match struct {
	Subject Subject
	// Crashes is how many upstreams crashed during requests of the subject, as far as is known.
	Crashes int
	// Remaining is how much longer such requests are refused.
	Remaining time.Duration
	// NextProbe is how long it takes until one of them may be tried.
	NextProbe time.Duration
}

// A Registry holds the subjects of requests during which upstreams crashed. It is safe for concurrent
// use.
type Registry struct {
	// count is the number of suspects; while there are none, requests need no lock.
	count   atomic.Int64
	mu      sync.Mutex
	epoch   uint64
	version int64
	// suspects are the subjects of requests during which upstreams crashed, by fingerprint.
	suspects map[Fingerprint]*suspect
	// causes are the suspects to which enough crashes are attributed.
	causes  []*suspect
	answers recentAnswers
	changed chan struct{}
	// lastExpiry is when expired suspects were last deleted.
	lastExpiry time.Time
}

// NewRegistry returns an empty registry.
func NewRegistry() *Registry {
	return &Registry{epoch: rand.Uint64(), suspects: map[Fingerprint]*suspect{}, changed: make(chan struct{})}
}

// Empty reports whether there are no suspects.
func (r *Registry) Empty() bool { return r.count.Load() == 0 }

// Quarantined reports whether requests of a subject are refused, and for how much longer.
func (r *Registry) Quarantined(now time.Time, f Fingerprint) (time.Duration, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	s, ok := r.suspects[f]
	if !ok || !s.quarantined(now) {
		return 0, false
	}
	return s.expiresAt().Sub(now), true
}

// IsCause reports whether enough crashes are attributed to a subject, be its quarantine confirmed or not.
func (r *Registry) IsCause(now time.Time, f Fingerprint) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	s, ok := r.suspects[f]
	return ok && s.isCause() && now.Before(s.expiresAt())
}

// Find returns the first of a request's subjects that is quarantined, and false if none is.
func (r *Registry) Find(now time.Time, subjects []Subject) (Match, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, subject := range subjects {
		if s, ok := r.suspects[subject.Fingerprint]; ok && s.quarantined(now) {
			return Match{Subject: subject, Crashes: len(s.crashes), Remaining: s.expiresAt().Sub(now), NextProbe: max(s.probeAt().Sub(now), 0)}, true
		}
	}
	return Match{}, false
}

// RecordCrash records that an upstream crashed while it had a request with the given subjects.
func (r *Registry) RecordCrash(now time.Time, subjects []Subject, c CrashRecord) {
	records := make([]Record, len(subjects))
	for i, s := range subjects {
		records[i] = Record{Request: s.Fingerprint, Kind: s.Kind, Part: s.Part, Workspace: s.Workspace, Depth: s.Depth, Crashes: []CrashRecord{c}}
	}
	r.Merge(now, records)
}

// RecordResponse records that an upstream ran a request with the given subjects and lived on.
func (r *Registry) RecordResponse(now time.Time, subjects []Subject) {
	r.mu.Lock()
	defer r.mu.Unlock()
	cleared := false
	for _, subject := range subjects {
		r.answers.put(now, subject.Fingerprint)
		s, ok := r.suspects[subject.Fingerprint]
		if ok && s.addResponse(now) {
			r.markChanged(s)
			cleared = true
		}
	}
	if cleared {
		r.attribute(now)
		r.notify()
	}
}

// Release ends the quarantine of a subject.
func (r *Registry) Release(now time.Time, f Fingerprint) {
	r.RecordResponse(now, []Subject{{Fingerprint: f}})
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
		r.attribute(now)
		r.notify()
	}
}

// mergeRecord merges one record and reports whether that changed anything; the lock must be held.
func (r *Registry) mergeRecord(now time.Time, record Record) bool {
	s, known := r.suspects[record.Request]
	if !known {
		s = &suspect{subject: record.Subject()}
	}
	if at, ok := r.answers.last(record.Request); ok {
		s.addResponse(at)
	}
	if !s.merge(now, record) || now.After(s.lastEvent().Add(s.maxTTL())) {
		return false
	}
	if !known {
		r.evict()
		r.suspects[record.Request] = s
	}
	r.markChanged(s)
	return true
}

// attribute finds the causes of the crashes anew; the lock must be held.
func (r *Registry) attribute(now time.Time) {
	before := r.causes
	r.causes = attribute(r.suspects)
	for _, s := range r.causes {
		if !slices.Contains(before, s) {
			logrus.WithFields(s.fields()).WithField("for", s.expiresAt().Sub(now).String()).Warn("quarantine: Request quarantined because upstreams crashed while they ran it.")
		}
	}
	for _, s := range before {
		if !slices.Contains(r.causes, s) {
			logrus.WithFields(s.fields()).Info("quarantine: Quarantine ended, as an upstream ran such a request or another cause was found.")
		}
	}
}

// fields returns the log fields that describe a suspect.
func (s *suspect) fields() logrus.Fields {
	fields := logrus.Fields{"fingerprint": s.subject.Fingerprint.String(), "kind": cmp.Or(s.subject.Kind, WholeRequest), "crashes": len(s.crashes)}
	if s.subject.Part != "" {
		fields["part"] = s.subject.Part
	}
	if s.subject.Workspace != "" {
		fields["workspace"] = s.subject.Workspace
	}
	return fields
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
	order := func(a, b Fingerprint) int { return r.suspects[a].compareForEviction(r.suspects[b]) }
	for _, f := range slices.SortedFunc(maps.Keys(r.suspects), order)[:maxSuspects/evictionDivisor] {
		delete(r.suspects, f)
	}
}

// compareForEviction orders suspects by their number of crashes, and then by the time of the last event.
func (s *suspect) compareForEviction(other *suspect) int {
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
		records = append(records, r.suspects[f].record(now))
	}
	return records, end
}

// AllQuarantined returns the records of the subjects that are quarantined now.
func (r *Registry) AllQuarantined(now time.Time) []Record {
	r.mu.Lock()
	defer r.mu.Unlock()
	var quarantined []Record
	for _, s := range r.suspects {
		if s.quarantined(now) {
			quarantined = append(quarantined, s.record(now))
		}
	}
	return quarantined
}

// Counts returns the number of suspects and how many of them are quarantined.
func (r *Registry) Counts() (suspects, quarantined int) {
	now := time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, s := range r.suspects {
		if s.quarantined(now) {
			quarantined++
		}
	}
	return len(r.suspects), quarantined
}
