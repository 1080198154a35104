package overload

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
)

const (
	// jumpThreshold is the ratio of arrivals to those of the last levels from which levels are computed at once.
	jumpThreshold = 1.3
	// minJumpArrivals is the least number of arrivals in Window for a jump. Fewer vary by chance.
	minJumpArrivals = 50
)

// A Controller is one host's part in the admission of the region: it records, computes levels while this host is the
// root, and holds the levels in force. It is safe for concurrent use.
type Controller struct {
	*Recorder
	*Gate
	mu        sync.Mutex
	allocator *Allocator
	// arrivals holds what was asked of each pool when this host last computed levels.
	arrivals map[uint32]int
	log      levelLog
	// names returns the names that log lines use.
	names func() *Names
	// malformed counts the malformed levels that were ignored.
	malformed atomic.Int64
}

// NewController returns a controller without enabled pools and levels.
func NewController() *Controller {
	return &Controller{Recorder: NewRecorder(), Gate: NewGate(), allocator: NewAllocator(), arrivals: map[uint32]int{}, names: func() *Names { return nil }}
}

// SetNames sets the function that returns the names of pools and workspaces for log lines.
func (c *Controller) SetNames(names func() *Names) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.names = names
}

// ComputeLevels returns encoded levels for the demand of all hosts, nil if no host reports any.
func (c *Controller) ComputeLevels(now time.Time, d *Demand, pools []PoolState) []byte {
	c.mu.Lock()
	defer c.mu.Unlock()
	levels := c.allocator.Compute(now, d, pools)
	c.log.update(now, levels, c.names())
	if levels == nil {
		return nil
	}
	for id, p := range d.Pools {
		c.arrivals[id] = p.Arrivals()
	}
	return levels.Encode()
}

// HasJump reports whether much more is asked of some pool than when this host last computed levels.
func (c *Controller) HasJump(d *Demand) bool {
	if d == nil {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for id, p := range d.Pools {
		if n := p.Arrivals(); n >= minJumpArrivals && float64(n) > jumpThreshold*float64(c.arrivals[id]) {
			return true
		}
	}
	return false
}

// ApplyLevels puts encoded levels into force that were computed at a time. Malformed ones are ignored; those in force
// then hold until they expire.
func (c *Controller) ApplyLevels(encoded []byte, computedAt time.Time) {
	if encoded == nil {
		c.Apply(nil, computedAt)
		return
	}
	levels, err := DecodeLevels(encoded)
	if err != nil {
		c.malformed.Add(1)
		logrus.WithError(err).Warn("overload: Malformed levels were ignored.")
		return
	}
	c.Apply(levels, computedAt)
}

// MalformedLevels returns how many malformed levels were ignored.
func (c *Controller) MalformedLevels() int64 { return c.malformed.Load() }
