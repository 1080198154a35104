package transit

import (
	"sync"
	"time"

	"github.com/sirupsen/logrus"
)

// pathRetention is how long the path to an upstream is remembered without connections over it.
const pathRetention = time.Minute

// Paths records over which paths this host reaches upstreams. It is safe for concurrent use.
type Paths struct {
	mu        sync.Mutex
	byAddress map[string]*path
}

// path is what this host knows of the way to one upstream.
type path struct {
	// connectedAt is when a direct connection last succeeded, failingSince when the first one after
	// that failed; the zero time means none.
	connectedAt  time.Time
	failingSince time.Time
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
	fields := logrus.Fields{"address": address}
	switch {
	case err == nil && !found.failingSince.IsZero():
		fields["after"] = now.Sub(found.failingSince).String()
		logrus.WithFields(fields).Info("transit: Upstream reached directly again.")
	case err != nil && found.failingSince.IsZero():
		if !found.connectedAt.IsZero() {
			fields["last-connected"] = now.Sub(found.connectedAt).String()
		}
		logrus.WithError(err).WithFields(fields).Info("transit: Upstream not reached directly.")
	}
	if err == nil {
		found.connectedAt, found.failingSince = now, time.Time{}
		return
	}
	if found.failingSince.IsZero() {
		found.failingSince = now
	}
}

// IsReached reports whether the last direct connection to an upstream succeeded, or none was tried.
func (p *Paths) IsReached(address string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	found, ok := p.byAddress[address]
	return !ok || found.failingSince.IsZero()
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
