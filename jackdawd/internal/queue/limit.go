package queue

import (
	"sync"
	"time"
)

const (
	// adjustInterval is the minimum time between two changes of a limit.
	adjustInterval = 500 * time.Millisecond
	// tokenGapTarget is the target time between two tokens; at most maxLateRatio of the
	// gaps may exceed it.
	tokenGapTarget = 35 * time.Millisecond
	maxLateRatio   = 0.05
	decreaseFactor = 0.93
	increaseFactor = 1.03
	minSamples     = 20
	// minLimitDivisor sets the minimum of a limit: capacity/minLimitDivisor.
	minLimitDivisor = 32
)

// A Limit is an adaptive limit of an upstream's tokens in progress. It decreases while
// too many gaps between tokens exceed the target, and increases otherwise.
type Limit struct {
	mu         sync.Mutex
	tokens     int64
	capacity   int64
	gaps       int
	lateGaps   int
	adjustedAt time.Time
}

// NewLimit returns a limit that starts at the upstream's capacity, in tokens.
func NewLimit(capacity int64) *Limit {
	return &Limit{tokens: capacity, capacity: capacity}
}

// Tokens returns the limit in tokens.
func (l *Limit) Tokens() int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.tokens
}

// Capacity returns the maximum of the limit, in tokens.
func (l *Limit) Capacity() int64 {
	return l.capacity
}

// Observe records the gap between two tokens of a response, and adjusts the limit when due.
func (l *Limit) Observe(now time.Time, gap time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.gaps++
	if gap > tokenGapTarget {
		l.lateGaps++
	}
	if now.Sub(l.adjustedAt) < adjustInterval || l.gaps < minSamples {
		return
	}
	factor := increaseFactor
	if float64(l.lateGaps) > maxLateRatio*float64(l.gaps) {
		factor = decreaseFactor
	}
	l.tokens = min(l.capacity, max(l.capacity/minLimitDivisor, int64(float64(l.tokens)*factor)))
	l.gaps, l.lateGaps, l.adjustedAt = 0, 0, now
}
