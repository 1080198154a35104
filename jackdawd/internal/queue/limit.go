package queue

import (
	"sync"
	"time"
)

const (
	// adjustEvery is how often a limit may change.
	adjustEvery = 500 * time.Millisecond
	// tokenGapTarget is the time between tokens that 95 in 100 must keep.
	tokenGapTarget = 35 * time.Millisecond
	lateShare      = 0.05
	decrease       = 0.93
	increase       = 1.03
	minSamples     = 20
	// minLimitShare is the part of an upstream's capacity that a limit never falls below.
	minLimitShare = 32
)

// A Limit is how many tokens an upstream is given at once. It falls while the
// upstream shows that it is late with tokens and rises while it is not.
type Limit struct {
	mu       sync.Mutex
	tokens   int64
	capacity int64
	total    int
	late     int
	adjusted time.Time
}

// NewLimit returns a limit that starts at the upstream's capacity.
func NewLimit(capacity int64) *Limit {
	return &Limit{tokens: capacity, capacity: capacity}
}

// Tokens returns the limit in tokens.
func (l *Limit) Tokens() int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.tokens
}

// Capacity returns the most that the limit can be.
func (l *Limit) Capacity() int64 {
	return l.capacity
}

// Observe takes in the time between two tokens of an answer.
func (l *Limit) Observe(now time.Time, gap time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.total++
	if gap > tokenGapTarget {
		l.late++
	}
	if now.Sub(l.adjusted) < adjustEvery || l.total < minSamples {
		return
	}
	factor := increase
	if float64(l.late) > lateShare*float64(l.total) {
		factor = decrease
	}
	l.tokens = min(l.capacity, max(l.capacity/minLimitShare, int64(float64(l.tokens)*factor)))
	l.total, l.late, l.adjusted = 0, 0, now
}
