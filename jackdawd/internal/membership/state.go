package membership

import (
	"cmp"
	"reflect"
	"time"

	"github.com/sirupsen/logrus"

	"jackdawhinge/common/traffic"
	"jackdawhinge/jackdawd/internal/control"
)

// state is owned by the control goroutine; no other goroutine accesses it.
type state struct {
	configuration *traffic.Configuration
	// evacuatedSince holds when this host learned of each evacuation in force, restoredAt when it
	// learned of the last restore of the store.
	evacuatedSince map[string]time.Time
	restoredAt     time.Time
	// coldUntil holds until when upstreams are cold by their entries.
	coldUntil map[string]time.Time
	// coldShortened is set if coldUntil has become shorter since the last snapshot.
	coldShortened bool
	// overAge is set while the configuration may be older than allowed.
	overAge   bool
	upstreams map[string]traffic.Upstream
	// upstreamsKnown is set once the list of upstreams has been read.
	upstreamsKnown bool
	// firstSeen holds when this host first saw the current instance of each upstream.
	firstSeen map[string]time.Time
	// newestVersions holds the version of each upstream's newest entry, also for removed upstreams.
	newestVersions map[string]entryVersion
	// removeAt holds when each upstream that is no longer listed is to be removed; zero means at
	// once.
	removeAt map[string]time.Time
	outliers *control.OutlierDetector
	avoided  map[string]bool
	leaving  *leavingSet
	changes  changeLog
}

// entryVersion orders the entries of one upstream: by incarnation, then by the sequence number,
// which begins anew with each incarnation.
type entryVersion struct {
	incarnation traffic.Incarnation
	sequence    int64
}

func versionOf(u traffic.Upstream) entryVersion {
	return entryVersion{incarnation: u.Incarnation, sequence: u.Sequence}
}

func (v entryVersion) compare(other entryVersion) int {
	return cmp.Or(cmp.Compare(v.incarnation, other.incarnation), cmp.Compare(v.sequence, other.sequence))
}

// restartedSince reports whether the upstream now runs as another instance than the given one.
func (s *state) restartedSince(instance traffic.UpstreamInstance) bool {
	u, ok := s.upstreams[instance.ID]
	return ok && u.Incarnation != instance.Incarnation
}

// applyUpstreamChange applies a change of the upstream list. Upstreams whose entries have expired
// are kept until graceEnd: entries also expire while the store is unavailable, although their
// upstreams still run.
func (t *Tracker) applyUpstreamChange(s *state, change traffic.UpstreamChange, graceEnd time.Time) {
	for _, err := range change.Skipped {
		logrus.WithError(err).Warn("membership: Skipped an upstream's entry that cannot be used.")
	}
	changed := !s.upstreamsKnown
	s.upstreamsKnown = true
	s.removeReplaced(change)
	expired := s.expiredPools(change)
	for _, e := range change.Entries {
		u, known := s.upstreams[e.ID]
		switch {
		case e.Upstream != nil:
			changed = s.applyEntry(*e.Upstream) || changed
		case known && expired[u.Pool] && !e.Unusable:
			s.removeAt[e.ID] = graceEnd
		case known:
			s.removeAt[e.ID] = time.Time{}
		}
	}
	for id := range s.missingFrom(change) {
		if _, pending := s.removeAt[id]; pending {
			continue
		}
		s.removeAt[id] = time.Time{}
		if expired[s.upstreams[id].Pool] {
			s.removeAt[id] = graceEnd
		}
	}
	if !t.removeExpired(s, time.Now()) && changed {
		t.publish(s)
	}
}

// expiredPools returns the pools that lose so many upstreams by a change that their entries must
// have expired while the store was unavailable.
//
// A host that was partitioned alone finds the same gap in its reads, but upstreams that are missing
// then have left. Keeping those sent them work 2.9 s after they had announced that they leave,
// where 2 s are allowed. When the store is unavailable, the entries of all upstreams expire, and
// without the grace period the host would have no upstream left. When upstreams leave, most of
// their pool stays.
func (s *state) expiredPools(change traffic.UpstreamChange) map[string]bool {
	removed := map[string]bool{}
	for _, e := range change.Entries {
		removed[e.ID] = e.Upstream == nil && !e.Unusable
	}
	for id := range s.missingFrom(change) {
		removed[id] = true
	}
	total, lost := map[string]int{}, map[string]int{}
	for id, u := range s.upstreams {
		total[u.Pool]++
		if _, pending := s.removeAt[id]; pending || removed[id] {
			lost[u.Pool]++
		}
	}
	expired := map[string]bool{}
	for pool, n := range lost {
		expired[pool] = change.Restored || float64(n) >= minExpiredRatio*float64(total[pool])
	}
	return expired
}

// missingFrom returns the known upstreams that a complete list lacks; none if the change is a delta.
func (s *state) missingFrom(change traffic.UpstreamChange) map[string]bool {
	missing := map[string]bool{}
	if !change.Complete {
		return missing
	}
	for id := range s.upstreams {
		missing[id] = true
	}
	for _, e := range change.Entries {
		if e.Upstream != nil || e.Unusable {
			delete(missing, e.ID)
		}
	}
	return missing
}

// removeReplaced removes the upstreams whose addresses new ones have. They have ended, but their entries are only
// removed after some missed heartbeats, and each request sent there meanwhile needs a retry. One that still runs is
// listed again by its next heartbeat. A store restored from a backup may list upstreams that ended long ago as new.
func (s *state) removeReplaced(change traffic.UpstreamChange) {
	if change.Restored {
		return
	}
	successors := map[string]string{}
	for _, e := range change.Entries {
		if _, seen := s.newestVersions[e.ID]; !seen && e.Upstream != nil {
			successors[e.Upstream.Address] = e.ID
		}
	}
	for id, u := range s.upstreams {
		if successor, ok := successors[u.Address]; ok {
			s.remove(id)
			logrus.WithFields(logrus.Fields{"upstream": id, "successor": successor}).Info("membership: Upstream removed because a new one has its address.")
		}
	}
}

func (s *state) remove(id string) {
	delete(s.upstreams, id)
	delete(s.firstSeen, id)
	delete(s.removeAt, id)
	delete(s.coldUntil, id)
	s.changes.add(traffic.RemovedEntry(id))
}

// applyEntry applies an upstream's entry and reports whether anything but its sequence number
// changed.
func (s *state) applyEntry(u traffic.Upstream) bool {
	newest, seen := s.newestVersions[u.ID]
	if u.Incarnation == 0 && newest.incarnation != 0 {
		// An upstream that reports its incarnation always does, so another writer has overwritten
		// the entry, and its address may not be the upstream's.
		if _, known := s.upstreams[u.ID]; known {
			s.removeAt[u.ID] = time.Time{}
		}
		return false
	}
	order := versionOf(u).compare(newest)
	if seen && order < 0 {
		// The entry was delayed. It may say "ready" although its upstream has announced that it
		// leaves or is already removed; applying it would send work to an upstream that stops.
		return false
	}
	old, known := s.upstreams[u.ID]
	if seen && !known && order <= 0 {
		// Another host that does not yet know of the removal still sends this entry. A running
		// upstream writes its next entry with a higher sequence number.
		return false
	}
	if s.leaving.contains(u.Instance()) || known && order == 0 && old.State == traffic.Leaving {
		// Two entries with one sequence number differ if another host has changed the state after
		// the upstream announced in a response that it leaves.
		u.State = traffic.Leaving
	}
	_, returned := s.removeAt[u.ID]
	if returned && order == 0 {
		return false
	}
	delete(s.removeAt, u.ID)
	s.newestVersions[u.ID] = versionOf(u)
	s.upstreams[u.ID] = u
	restarted := known && u.Incarnation != old.Incarnation
	var previous *traffic.Upstream
	if known {
		previous = &old
	}
	coldChanged := s.recordCold(time.Now(), previous, u)
	if !known || restarted {
		s.firstSeen[u.ID] = time.Now()
	}
	if restarted {
		// Failures before the restart say nothing of the new instance.
		s.outliers.Remove(u.ID)
		logrus.WithField("upstream", u.ID).Info("membership: Upstream restarted.")
	}
	old.Sequence, old.ColdFor = u.Sequence, u.ColdFor
	if known && !coldChanged && reflect.DeepEqual(old, u) {
		if returned {
			// A host that follows this one may already have removed the upstream.
			s.changes.add(traffic.ListedEntry(u))
		}
		return returned
	}
	s.changes.add(traffic.ListedEntry(u))
	logrus.WithFields(logrus.Fields{"upstream": u.ID, "pool": u.Pool, "state": u.State, "software": u.SoftwareVersion}).Info("membership: Upstream entry changed.")
	return true
}

// removeExpired removes the upstreams whose grace period has ended and reports whether there were
// any.
func (t *Tracker) removeExpired(s *state, now time.Time) bool {
	changed := false
	for id, at := range s.removeAt {
		if now.Before(at) {
			continue
		}
		delete(s.removeAt, id)
		s.remove(id)
		changed = true
		logrus.WithField("upstream", id).Info("membership: Upstream removed.")
	}
	if !changed {
		return false
	}
	listed := map[string]bool{}
	for id := range s.upstreams {
		listed[id] = true
	}
	s.outliers.RetainListed(listed)
	s.pruneVersions()
	t.publish(s)
	return true
}

// pruneVersions drops the entry versions of removed upstreams once there are many. By then any
// delayed entry of them has long arrived.
func (s *state) pruneVersions() {
	if len(s.newestVersions) <= 2*len(s.upstreams)+minRemovedVersions {
		return
	}
	for id := range s.newestVersions {
		if _, ok := s.upstreams[id]; !ok {
			delete(s.newestVersions, id)
		}
	}
}
