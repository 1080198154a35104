package transit

import (
	"sync"
	"time"

	"github.com/sirupsen/logrus"
)

const (
	// pathRetention is how long the path to an upstream is remembered without connections over it.
	pathRetention = time.Minute
	// minProbeBackoff is the time until an upstream that was reached over no path is probed; it
	// doubles each time up to maxProbeBackoff.
	minProbeBackoff = 250 * time.Millisecond
	maxProbeBackoff = time.Second
	// probeRetention is how long after its last use an upstream is probed.
	probeRetention = 10 * time.Second
	// lossWindow is the time within which two lost paths mean that the others may be lost too.
	lossWindow = time.Second
)

// Paths records over which paths this host reaches upstreams. It is safe for concurrent use.
type Paths struct {
	mu        sync.Mutex
	byAddress map[string]*path
	// lastLost is the path that was last found to be lost.
	lastLost string
}

// path is what this host knows of the way to one upstream.
type path struct {
	// connectedAt is when a direct connection last succeeded, failingSince when the first one after
	// that failed; the zero time means none.
	connectedAt  time.Time
	failingSince time.Time
	// lostAt is when the upstream was reached through another host while it was not reached
	// directly; the zero time means that the direct path is not lost.
	lostAt time.Time
	// probeAt is when an upstream that was reached over no path is probed, probeBackoff the time
	// between its last two probes; the zero time means that it was not found to be unreached.
	probeAt      time.Time
	probeBackoff time.Duration
	usedAt       time.Time
}

// NewPaths returns an empty record.
func NewPaths() *Paths { return &Paths{byAddress: map[string]*path{}} }

// path returns the path to an upstream. The lock must be held.
func (p *Paths) path(now time.Time, address string) *path {
	found, ok := p.byAddress[address]
	if !ok {
		found = &path{}
		p.byAddress[address] = found
	}
	found.usedAt = now
	return found
}

// recordDirect records the result of a direct connection.
func (p *Paths) recordDirect(now time.Time, address string, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	found := p.path(now, address)
	if err == nil {
		if !found.failingSince.IsZero() {
			logrus.WithFields(logrus.Fields{"address": address, "after": now.Sub(found.failingSince).String()}).Info("transit: Upstream reached directly again.")
		}
		*found = path{connectedAt: now, usedAt: now}
		return
	}
	if !found.failingSince.IsZero() {
		return
	}
	found.failingSince = now
	fields := logrus.Fields{"address": address}
	if !found.connectedAt.IsZero() {
		fields["last-connected"] = now.Sub(found.connectedAt).String()
	}
	logrus.WithError(err).WithFields(fields).Info("transit: Upstream not reached directly.")
}

// recordThrough records that an upstream was reached through another host while it was not reached
// directly. It reports whether the direct path has just been lost, and whether the others are in
// doubt because another one was lost a moment ago.
func (p *Paths) recordThrough(now time.Time, address, peer string) (lost, othersInDoubt bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	found := p.path(now, address)
	found.probeAt, found.probeBackoff = time.Time{}, 0
	if !found.lostAt.IsZero() {
		return false, false
	}
	found.lostAt = now
	if found.failingSince.IsZero() {
		found.failingSince = now
	}
	logrus.WithFields(logrus.Fields{"address": address, "peer": peer}).Info("transit: Upstream reached through another host, not directly.")
	last, ok := p.byAddress[p.lastLost]
	othersInDoubt = ok && p.lastLost != address && now.Sub(last.lostAt) < lossWindow
	p.lastLost = address
	return true, othersInDoubt
}

// recordUnreached records that an upstream was reached neither directly nor through others.
func (p *Paths) recordUnreached(now time.Time, address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	found, ok := p.byAddress[address]
	if !ok {
		found = p.path(now, address)
	}
	found.probeBackoff = min(max(2*found.probeBackoff, minProbeBackoff), maxProbeBackoff)
	found.lostAt, found.probeAt = time.Time{}, now.Add(found.probeBackoff)
}

// IsUnreached reports whether an upstream was reached over no path, so that only probes connect to
// it. An upstream whose probes have ended because nobody asked for it counts as reached.
func (p *Paths) IsUnreached(now time.Time, address string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	found, ok := p.byAddress[address]
	if !ok || found.probeAt.IsZero() || now.Sub(found.usedAt) > probeRetention {
		return false
	}
	found.usedAt = now
	return true
}

// takeProbes returns the unreached upstreams that are to be probed now. They are not returned again
// until the result is recorded.
func (p *Paths) takeProbes(now time.Time) []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	var addresses []string
	for address, found := range p.byAddress {
		if found.probeAt.IsZero() || now.Before(found.probeAt) || now.Sub(found.usedAt) > probeRetention {
			continue
		}
		found.probeAt = now.Add(maxDialTime + maxProbeBackoff)
		addresses = append(addresses, address)
	}
	return addresses
}

// IsLost reports whether an upstream is reached through other hosts but not directly.
func (p *Paths) IsLost(address string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	found, ok := p.byAddress[address]
	return ok && !found.lostAt.IsZero()
}

// IsReached reports whether the last direct connection to an upstream succeeded, or none was tried.
func (p *Paths) IsReached(address string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	found, ok := p.byAddress[address]
	return !ok || found.failingSince.IsZero()
}

// lost returns the upstreams whose direct path is lost, in random order.
func (p *Paths) lost() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	var addresses []string
	for address, found := range p.byAddress {
		if !found.lostAt.IsZero() {
			addresses = append(addresses, address)
		}
	}
	return addresses
}

// RemoveUnused removes the paths that were not used for a while.
func (p *Paths) RemoveUnused(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for address, found := range p.byAddress {
		if now.Sub(found.usedAt) > pathRetention {
			delete(p.byAddress, address)
		}
	}
}
