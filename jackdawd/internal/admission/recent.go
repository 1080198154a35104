package admission

import (
	"math"
	"sync"
	"time"
)

// refusedRequestTime is for how long a request that a host refuses counts as one in progress, as it would
// have been.
const refusedRequestTime = time.Second

// A RecentCount counts refused requests, with exponential decay. It is safe for concurrent use; the zero
// value is ready.
type RecentCount struct {
	mu        sync.Mutex
	count     float64
	updatedAt time.Time
}

// Add counts a refused request.
func (c *RecentCount) Add(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.count = c.decayed(now) + 1
	c.updatedAt = now
}

// Value returns the count.
func (c *RecentCount) Value(now time.Time) float64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.decayed(now)
}

// decayed returns the count at a time; the lock must be held.
func (c *RecentCount) decayed(now time.Time) float64 {
	return c.count * math.Exp(-now.Sub(c.updatedAt).Seconds()/refusedRequestTime.Seconds())
}
