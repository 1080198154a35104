package ledger

import "time"

const (
	// appendInterval is the mean time between two appends to a partition. Claims that
	// arrive in between share one append.
	appendInterval = 800 * time.Millisecond
	// appendBurst is how many appends may follow without delay after an idle period, so
	// that a single claim and its outcome do not wait.
	appendBurst = 4
)

// A rateLimiter is a token bucket for appends: bursts of up to appendBurst, and one
// append per appendInterval in the long run.
type rateLimiter struct {
	tokens    float64
	updatedAt time.Time
}

// newRateLimiter returns a rate limiter with a full bucket.
func newRateLimiter(now time.Time) *rateLimiter {
	return &rateLimiter{tokens: appendBurst, updatedAt: now}
}

// reserve takes a token for one append and returns how long to wait before the append.
func (l *rateLimiter) reserve(now time.Time) time.Duration {
	refill := now.Sub(l.updatedAt).Seconds() / appendInterval.Seconds()
	l.tokens = min(appendBurst, l.tokens+refill) - 1
	l.updatedAt = now
	if l.tokens >= 0 {
		return 0
	}
	return time.Duration(-l.tokens * float64(appendInterval))
}
