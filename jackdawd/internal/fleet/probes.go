package fleet

import (
	"context"
	"maps"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"jackdawhinge/jackdawd/internal/quarantine"
)

const (
	// probeTimeout is the timeout of a call for a probe. A request waits for it before it is refused.
	probeTimeout = 60 * time.Millisecond
	// probeAskInterval is how often a host asks for a probe of a subject.
	probeAskInterval = time.Second
)

// ProbeArgs ask the owner of a quarantined subject whether one of its requests may be tried.
type ProbeArgs struct {
	Request quarantine.Fingerprint
}

// ProbeReply says whether the request may be tried.
type ProbeReply struct {
	Granted bool
}

// probeTable holds until when no probes of subjects are granted by this host, or asked for. It is safe
// for concurrent use.
type probeTable struct {
	mu           sync.Mutex
	grantedUntil map[quarantine.Fingerprint]time.Time
	askedUntil   map[quarantine.Fingerprint]time.Time
}

// takeUntil blocks a subject for a time, and reports whether it was free.
func takeUntil(blocked map[quarantine.Fingerprint]time.Time, now time.Time, f quarantine.Fingerprint, d time.Duration) bool {
	maps.DeleteFunc(blocked, func(_ quarantine.Fingerprint, until time.Time) bool { return !now.Before(until) })
	if _, taken := blocked[f]; taken {
		return false
	}
	blocked[f] = now.Add(d)
	return true
}

// grant reports whether a probe is granted; the next one is after delay.
func (t *probeTable) grant(now time.Time, f quarantine.Fingerprint, delay time.Duration) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return takeUntil(t.grantedUntil, now, f, delay)
}

// mayAsk reports whether this host may ask for a probe now.
func (t *probeTable) mayAsk(now time.Time, f quarantine.Fingerprint) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return takeUntil(t.askedUntil, now, f, probeAskInterval)
}

// AcquireProbe reports whether a request of a quarantined subject may be tried, to see whether upstreams
// still crash. One host grants probes of a subject, so that the whole fleet tries one at a time. There is
// none if that host cannot be reached: a probe may cost an upstream.
func (s *Source) AcquireProbe(f quarantine.Fingerprint) bool {
	now := time.Now()
	if _, due := s.options.Quarantine.ProbeDue(now, f); !due || !s.probes.mayAsk(now, f) {
		return false
	}
	owner, ok := s.ownerOf(now, uint64(f), probeCall)
	if !ok {
		return false
	}
	granted, err := s.callProbeOwner(owner, f)
	if err != nil {
		s.sideCalls.skip(owner.Name, probeCall)
		logrus.WithError(err).WithField("peer", owner.Name).Info("fleet: The owner of a quarantined subject did not answer.")
		return false
	}
	if granted {
		logrus.WithFields(logrus.Fields{"fingerprint": f.String(), "peer": owner.Name}).Info("fleet: Trying a request of a quarantined subject.")
	}
	return granted
}

// callProbeOwner asks the owner of a subject, which may be this host, for a probe.
func (s *Source) callProbeOwner(owner Peer, f quarantine.Fingerprint) (granted bool, err error) {
	if owner.Name == s.options.Name {
		return s.grantProbe(f), nil
	}
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	var reply ProbeReply
	if err := s.sideClientFor(owner).Call(ctx, owner.Address, probeCall, &ProbeArgs{Request: f}, &reply); err != nil {
		return false, err
	}
	return reply.Granted, nil
}

// grantProbe grants a probe of a subject that this host knows to be due.
func (s *Source) grantProbe(f quarantine.Fingerprint) bool {
	now := time.Now()
	delay, due := s.options.Quarantine.ProbeDue(now, f)
	return due && s.probes.grant(now, f, delay)
}

// Probe grants a probe of a subject that this host owns.
func (s *service) Probe(args *ProbeArgs, reply *ProbeReply) error {
	reply.Granted = s.source.grantProbe(args.Request)
	return nil
}
