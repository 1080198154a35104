package quarantine

import "time"

const (
	// firstProbeDelay is how long after its last crash a request of a quarantined subject may be tried
	// once in the whole fleet. The delay grows by probeBackoff with each such upstream that crashes.
	firstProbeDelay = 30 * time.Second
	// answeredProbeDelay is the same for a subject that upstreams responded to before, which is more
	// likely to be quarantined by mistake.
	answeredProbeDelay = 2 * time.Second
	probeBackoff       = 8
)

// probeDelay returns how long after the last crash one request of a quarantined subject may be tried. A
// quarantined subject gets no answers that could clear it; without a probe, what was quarantined by
// mistake would be refused until the quarantine expires.
func (s *suspect) probeDelay() time.Duration {
	first := firstProbeDelay
	if !s.answeredAt.IsZero() {
		first = answeredProbeDelay
	}
	delay := first
	for _, c := range s.crashes {
		// Requests that were under way when the quarantine began crash upstreams sooner.
		if c.crashedAt.Sub(s.causeSince) >= first {
			delay = min(delay*probeBackoff, quarantineTTL)
		}
	}
	return delay
}

// probeAt returns when one request of a quarantined subject may be tried.
func (s *suspect) probeAt() time.Time { return s.lastEvent().Add(s.probeDelay()) }

// ProbeDue reports whether a request of a quarantined subject may be tried to see whether upstreams
// still crash, and how long it is until the next one if this one has no result.
func (r *Registry) ProbeDue(now time.Time, f Fingerprint) (delay time.Duration, due bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	s, ok := r.suspects[f]
	if !ok || !s.quarantined(now) || now.Before(s.probeAt()) {
		return 0, false
	}
	return s.probeDelay(), true
}
