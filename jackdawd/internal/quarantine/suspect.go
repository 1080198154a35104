package quarantine

import (
	"cmp"
	"slices"
	"time"
)

const (
	// crashThreshold is how many upstreams must crash one after the other because of copies of a request
	// for it to be quarantined. A request that was only at upstreams that others crashed seldom has two
	// crashes; three are no coincidence.
	crashThreshold = 3
	// partCrashThreshold is the same for a part of prompts. Prompts have parts that few requests share,
	// and one of very many is at three upstreams that crash by chance.
	partCrashThreshold = 4
	// maxCrashes bounds the crashes that are kept of a suspect. The cause of all crashes has more of
	// them than what was only there often.
	maxCrashes = 16
	// suspectTTL is how long a subject with fewer crashes is remembered, and quarantineTTL how long
	// one is quarantined. The software of engines changes within days; after an hour what was
	// quarantined by mistake and never probed is tried again.
	suspectTTL    = 10 * time.Minute
	quarantineTTL = time.Hour
	// maxReportDelay bounds how much later than it was a crash may seem on another host: its age
	// does not grow while the messages that report it are in transit.
	maxReportDelay = 100 * time.Millisecond
	// massCrashWindow is within which upstreams that fail together, as with their rack, crash.
	massCrashWindow = 250 * time.Millisecond
	// confirmationDelay is how long after the last crash a part of prompts is quarantined. Many
	// requests share a part, and hosts that got answers to some need this long to tell all others.
	confirmationDelay = 500 * time.Millisecond
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

// suspect is a subject of requests during which upstreams crashed.
type suspect struct {
	subject Subject
	// crashes are those since the last answer, by time, at most maxCrashes.
	crashes []crash
	// answeredAt is when an upstream last responded to a request of the subject; zero if none has.
	answeredAt time.Time
	// peakCrashes is the highest number of crashes so far. Hosts that were told of these must hear
	// of a response too.
	peakCrashes int
	// causeSince is the time of the crash with which enough crashes were attributed to the subject;
	// zero if there are not enough.
	causeSince time.Time
	// changedVersion is the registry's version at the last change.
	changedVersion int64
}

// addCrash adds a crash and reports whether it is new. Of one upstream's it keeps the first, whichever
// host saw it.
func (s *suspect) addCrash(added crash) bool {
	if !added.crashedAt.After(s.answeredAt) {
		return false
	}
	isSame := func(known crash) bool { return known.instance == added.instance }
	if n := slices.IndexFunc(s.crashes, isSame); n >= 0 {
		if !added.crashedAt.Before(s.crashes[n].crashedAt) {
			return false
		}
		s.crashes = slices.Delete(s.crashes, n, n+1)
	}
	s.crashes = append(s.crashes, added)
	slices.SortFunc(s.crashes, func(a, b crash) int {
		return cmp.Or(a.crashedAt.Compare(b.crashedAt), cmp.Compare(a.instance, b.instance))
	})
	s.peakCrashes = max(s.peakCrashes, len(s.crashes))
	if len(s.crashes) > maxCrashes {
		s.dropCrash()
	}
	return true
}

// dropCrash drops the first crash that is not one of a sequence, or else the first one.
func (s *suspect) dropCrash() {
	sequence := s.sequence(s.crashes)
	n := slices.IndexFunc(s.crashes, func(c crash) bool { return !slices.Contains(sequence, c) })
	n = max(n, 0)
	s.crashes = slices.Delete(s.crashes, n, n+1)
}

// addResponse records that an upstream responded, and reports whether that drops crashes. It drops
// those before it: an upstream that runs a request of the subject and responds shows that the subject
// does not crash each upstream, so that earlier crashes were coincidence or have been fixed.
func (s *suspect) addResponse(at time.Time) bool {
	if !at.After(s.answeredAt) {
		return false
	}
	s.answeredAt = at
	before := len(s.crashes)
	s.crashes = slices.DeleteFunc(s.crashes, func(c crash) bool { return !c.crashedAt.After(at) })
	return len(s.crashes) < before
}

// sequence returns those of the crashes, which are in order of time, that came one after the other. When a
// rack or a host's network fails, many connections end at the same moment, which says nothing of the
// requests on them. Copies of one request must not have been at both upstreams at the same time.
// Requests that share a part of their prompts always are, so that only the moments count.
func (s *suspect) sequence(crashes []crash) []crash {
	var sequence []crash
	for _, c := range crashes {
		if n := len(sequence); n == 0 || s.follows(sequence[n-1], c) {
			sequence = append(sequence, c)
		}
	}
	return sequence
}

// follows reports whether a crash came after an earlier one rather than with it.
func (s *suspect) follows(earlier, later crash) bool {
	if earlier.endedBefore(later) {
		return true
	}
	return s.subject.Kind.isPart() && later.crashedAt.Sub(earlier.crashedAt) >= massCrashWindow
}

// threshold returns how many crashes one after the other must be attributed to the subject.
func (s *suspect) threshold() int {
	if s.subject.Kind.isPart() {
		return partCrashThreshold
	}
	return crashThreshold
}

// isCause reports whether enough crashes are attributed to the subject; it does not check whether that
// has expired or is confirmed.
func (s *suspect) isCause() bool { return !s.causeSince.IsZero() }

// quarantined reports whether requests of the subject are refused.
func (s *suspect) quarantined(now time.Time) bool {
	return s.isCause() && !now.Before(s.quarantinedFrom()) && now.Before(s.expiresAt())
}

// quarantinedFrom returns when the quarantine of a subject that is a cause begins.
func (s *suspect) quarantinedFrom() time.Time {
	if s.subject.Kind.isPart() {
		return s.causeSince.Add(confirmationDelay)
	}
	return s.causeSince
}

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
	if s.isCause() {
		return s.lastEvent().Add(quarantineTTL)
	}
	return s.lastEvent().Add(suspectTTL)
}

// maxTTL returns how long after its last event the suspect is kept at most.
func (s *suspect) maxTTL() time.Duration {
	if len(s.crashes) >= s.threshold() {
		return quarantineTTL
	}
	return suspectTTL
}

// learn takes over what another host knows of the subject.
func (s *suspect) learn(subject Subject) {
	if s.subject.Kind == "" {
		s.subject.Kind, s.subject.Depth = subject.Kind, subject.Depth
	}
	if s.subject.Part == "" {
		s.subject.Part, s.subject.Workspace = subject.Part, subject.Workspace
	}
}
