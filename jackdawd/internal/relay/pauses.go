package relay

import (
	"maps"
	"math/rand/v2"
	"sync"
	"time"

	"jackdawhinge/common/traffic"
)

// longestReturn bounds by how much later than an upstream asked for requests come back to it. Hosts that were
// turned away together would else come back together.
const longestReturn = time.Second

// Pauses holds until when upstreams want no requests of this host. The word of an upstream binds at once
// and for exactly as long as it says; evidence, which fades and doubles by itself, knows nothing of that time.
type Pauses struct {
	mu    sync.Mutex
	until map[traffic.Start]time.Time
}

// NewPauses returns pauses of no upstream.
func NewPauses() *Pauses { return &Pauses{until: map[traffic.Start]time.Time{}} }

// Ask takes in that an upstream wants no requests for a time.
func (p *Pauses) Ask(now time.Time, start traffic.Start, d time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	maps.DeleteFunc(p.until, func(_ traffic.Start, until time.Time) bool { return until.Before(now) })
	until := now.Add(d + rand.N(min(d, longestReturn)))
	if until.After(p.until[start]) {
		p.until[start] = until
	}
}

// Left returns for how long each upstream wants no requests; those that want some are not in it.
func (p *Pauses) Left(now time.Time) map[traffic.Start]time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.until) == 0 {
		return nil
	}
	left := map[traffic.Start]time.Duration{}
	for start, until := range p.until {
		if until.After(now) {
			left[start] = until.Sub(now)
		}
	}
	return left
}
