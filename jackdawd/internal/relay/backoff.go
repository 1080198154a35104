package relay

import (
	"maps"
	"math/rand/v2"
	"sync"
	"time"

	"jackdawhinge/common/traffic"
)

// maxBackoffJitter bounds the random time that is added to an upstream's backoff. Without it hosts
// that were rejected together would return together.
const maxBackoffJitter = time.Second

// Pauses holds until when upstreams have asked this host to send no requests. It is kept apart from
// failure evidence, which decays by itself, because an upstream's request applies at once and for
// exactly the time that it names. It is safe for concurrent use.
type Pauses struct {
	mu    sync.Mutex
	until map[traffic.Start]time.Time
}

// NewPauses returns an empty set of backoffs.
func NewPauses() *Pauses { return &Pauses{until: map[traffic.Start]time.Time{}} }

// Add registers that an upstream wants no requests for the time d. It never shortens a backoff.
func (p *Pauses) Add(now time.Time, start traffic.Start, d time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	maps.DeleteFunc(p.until, func(_ traffic.Start, until time.Time) bool { return until.Before(now) })
	until := now.Add(d + rand.N(min(d, maxBackoffJitter)))
	if until.After(p.until[start]) {
		p.until[start] = until
	}
}

// Remaining returns the backoff that remains for each upstream; it omits those without one.
func (p *Pauses) Remaining(now time.Time) map[traffic.Start]time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.until) == 0 {
		return nil
	}
	remaining := map[traffic.Start]time.Duration{}
	for start, until := range p.until {
		if until.After(now) {
			remaining[start] = until.Sub(now)
		}
	}
	return remaining
}
