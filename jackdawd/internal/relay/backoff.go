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

// Backoffs holds until when upstreams have asked this host to send no requests. It is kept apart
// from the outlier detector, which ends an avoidance by itself, because an upstream's request
// applies at once and for exactly the time that it names. It is safe for concurrent use.
type Backoffs struct {
	mu    sync.Mutex
	until map[traffic.UpstreamInstance]time.Time
}

// NewBackoffs returns an empty set of backoffs.
func NewBackoffs() *Backoffs { return &Backoffs{until: map[traffic.UpstreamInstance]time.Time{}} }

// Add records that an upstream wants no requests for the time d. It never shortens a backoff.
func (b *Backoffs) Add(now time.Time, instance traffic.UpstreamInstance, d time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	maps.DeleteFunc(b.until, func(_ traffic.UpstreamInstance, until time.Time) bool { return until.Before(now) })
	until := now.Add(d + rand.N(min(d, maxBackoffJitter)))
	if until.After(b.until[instance]) {
		b.until[instance] = until
	}
}

// Remaining returns the backoff that remains for each upstream; it omits those without one.
func (b *Backoffs) Remaining(now time.Time) map[traffic.UpstreamInstance]time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.until) == 0 {
		return nil
	}
	remaining := map[traffic.UpstreamInstance]time.Duration{}
	for instance, until := range b.until {
		if until.After(now) {
			remaining[instance] = until.Sub(now)
		}
	}
	return remaining
}
