package admission

import (
	"maps"
	"slices"
	"time"

	"jackdawhinge/common/traffic"
)

const (
	// minClassShare is the minimum part of this host's running requests that each class may have regardless
	// of more urgent ones, so that none starves.
	minClassShare = 0.1
	// refusalWindow is how long after a refusal less urgent requests are refused as well: about the
	// time between two refusals at a host that sees few requests of an overload.
	refusalWindow = 300 * time.Millisecond
	// overloadGap is how long after the last refusal an overload is over.
	overloadGap = time.Second
)

// refusalTimes holds, by rank, when a request was last refused for an upstream.
type refusalTimes [numRanks]time.Time

// RecordRefusal records that a request was refused for lack of capacity at an upstream.
func (c *Controller) RecordRefusal(now time.Time, r Request, upstream traffic.UpstreamInstance) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.pool(r.Pool).recordOverload(now)
	if c.refusals[upstream] == nil {
		c.pruneRefusals(now)
		c.refusals[upstream] = &refusalTimes{}
	}
	c.refusals[upstream][clampRank(r.Rank)] = now
}

// RecordSurgeRefusal records that a request of a surging workspace was refused. It doesn't block
// less urgent requests, as those of other workspaces may still be admitted.
func (c *Controller) RecordSurgeRefusal(now time.Time, pool string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.pool(pool).recordOverload(now)
}

// recordOverload begins or extends an overload of the pool.
func (p *pool) recordOverload(now time.Time) {
	if now.Sub(p.lastRefusedAt) > overloadGap {
		p.overloadStartedAt = now
	}
	p.lastRefusedAt = now
}

// Precedence is how a request ranks against the others of its pool.
type Precedence string

// The precedences.
const (
	// Usual requests are admitted if they can begin in time.
	Usual Precedence = "usual"
	// Surging requests are of a workspace that sends many times its usual requests.
	Surging Precedence = "surging"
	// BelowMinShare requests are of a class below its minimum share of the running requests, and go
	// first.
	BelowMinShare Precedence = "owed"
)

// Precedence returns how a request ranks against the others of its pool.
func (c *Controller) Precedence(now time.Time, r Request) Precedence {
	c.mu.Lock()
	defer c.mu.Unlock()
	p := c.pool(r.Pool)
	if now.Sub(p.lastRefusedAt) > overloadGap {
		return Usual
	}
	switch {
	case p.demand.isSurging(now, r.Workspace):
		return Surging
	case float64(p.runningByClass[r.Class]) < minClassShare*float64(p.running):
		return BelowMinShare
	}
	return Usual
}

// MoreUrgentRefused reports whether a more urgent request was refused for an upstream within
// refusalWindow.
func (c *Controller) MoreUrgentRefused(now time.Time, r Request, upstream traffic.UpstreamInstance) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	refusedAt, ok := c.refusals[upstream]
	if !ok {
		return false
	}
	for rank := range min(r.Rank, numRanks) {
		if now.Sub(refusedAt[rank]) < refusalWindow {
			return true
		}
	}
	return false
}

// pruneRefusals drops upstreams without a recent refusal. The caller must hold c.mu.
func (c *Controller) pruneRefusals(now time.Time) {
	maps.DeleteFunc(c.refusals, func(_ traffic.UpstreamInstance, r *refusalTimes) bool {
		return !slices.ContainsFunc(r[:], func(at time.Time) bool { return now.Sub(at) < refusalWindow })
	})
}

// OverloadDuration returns for how long requests to a pool have been refused. As the end of an
// overload is unknown, the best estimate is that it continues for as long again.
func (c *Controller) OverloadDuration(now time.Time, poolName string) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	p := c.pool(poolName)
	if now.Sub(p.lastRefusedAt) > overloadGap {
		return 0
	}
	return now.Sub(p.overloadStartedAt)
}
