package quarantine

import (
	"slices"
	"time"
)

const (
	// crashThreshold is how many upstreams must crash during a request for it to be quarantined. A
	// request that was only at upstreams that others crashed seldom has two crashes; three are no
	// coincidence.
	crashThreshold = 3
	// suspectTTL is how long a request with fewer crashes is remembered, and quarantineTTL how long
	// a request is quarantined. The software of engines changes within days; after an hour a
	// request that was quarantined by mistake is tried again.
	suspectTTL    = 10 * time.Minute
	quarantineTTL = time.Hour
	// maxReportDelay bounds how much later than it was a crash may seem on another host: its age
	// does not grow while the messages that report it are in transit.
	maxReportDelay = 100 * time.Millisecond
)

// crash is the crash of one upstream during a request.
type crash struct {
	// instance is the short hash of the upstream's instance.
	instance uint32
	// sentAt is when the request was sent to the upstream, crashedAt when the upstream crashed.
	sentAt, crashedAt time.Time
}

// endedBefore reports whether the upstream crashed before the request was sent to the other crash's
// upstream. An overlap of maxReportDelay is tolerated, but no more than half of the time that the
// other upstream had the request: upstreams that crash at the same moment overlap for all of it.
func (c crash) endedBefore(other crash) bool {
	overlap := c.crashedAt.Sub(other.sentAt)
	return overlap <= min(maxReportDelay, other.crashedAt.Sub(other.sentAt)/2)
}

// suspect is a request during which upstreams crashed.
type suspect struct {
	// crashes are the crashes that count, at most crashThreshold, in order of time.
	crashes []crash
	// answeredAt is when an upstream last responded to the request; zero if none has.
	answeredAt time.Time
	// peakCrashes is the highest number of crashes so far. Hosts that were told of these must hear
	// of a response too.
	peakCrashes int
	// changedVersion is the registry's version at the last change.
	changedVersion int64
}

// addCrash adds a crash and reports whether it counts. Only crashes one after the other do: when a
// rack or a host's network fails, many connections end at the same moment, which says nothing of the
// requests on them.
func (s *suspect) addCrash(added crash) bool {
	if !added.crashedAt.After(s.answeredAt) || len(s.crashes) == crashThreshold {
		return false
	}
	for _, known := range s.crashes {
		if known.instance == added.instance || !known.endedBefore(added) && !added.endedBefore(known) {
			return false
		}
	}
	s.crashes = append(s.crashes, added)
	slices.SortFunc(s.crashes, func(a, b crash) int { return a.crashedAt.Compare(b.crashedAt) })
	s.peakCrashes = max(s.peakCrashes, len(s.crashes))
	return true
}

// addResponse records that an upstream responded and reports whether it is the latest response. It
// drops the crashes before it: an upstream that runs the request and responds shows that the request
// does not crash each upstream, so that earlier crashes were coincidence or have been fixed.
func (s *suspect) addResponse(at time.Time) bool {
	if !at.After(s.answeredAt) {
		return false
	}
	s.answeredAt = at
	s.crashes = slices.DeleteFunc(s.crashes, func(c crash) bool { return !c.crashedAt.After(at) })
	return true
}

// quarantined reports whether enough upstreams crashed; it does not check whether that has expired.
func (s *suspect) quarantined() bool { return len(s.crashes) == crashThreshold }

// lastEvent returns the time of the last crash that counts, or of the last response if there is
// none.
func (s *suspect) lastEvent() time.Time {
	if n := len(s.crashes); n > 0 {
		return s.crashes[n-1].crashedAt
	}
	return s.answeredAt
}

// expiresAt returns until when the suspect is kept.
func (s *suspect) expiresAt() time.Time {
	if s.quarantined() {
		return s.lastEvent().Add(quarantineTTL)
	}
	return s.lastEvent().Add(suspectTTL)
}
