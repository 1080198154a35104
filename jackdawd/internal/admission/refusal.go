package admission

import (
	"maps"
	"slices"
	"time"

	"jackdawhinge/common/traffic"
)

const (
	// leastShare is the part of the places of this host's requests that each class may
	// take, whatever more urgent ones ask for, so that none starves.
	leastShare = 0.1
	// refusedFor is how long after a refusal less urgent requests are refused as well: about
	// the time between two refusals at a host that sees few requests of an overload.
	refusedFor = 300 * time.Millisecond
	// overloadGap is how long after the last refusal an overload is over.
	overloadGap = time.Second
)

// refusals is when a request of each rank was refused last for an upstream.
type refusals [ranks]time.Time

// Refused takes in that a request was refused for lack of room at an upstream.
func (c *Controller) Refused(now time.Time, r Request, at traffic.Start) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.pool(r.Pool).overloaded(now)
	if c.refused[at] == nil {
		c.forgetRefusals(now)
		c.refused[at] = &refusals{}
	}
	c.refused[at][inRange(r.Rank)] = now
}

// RefusedSurge takes in that a request of a workspace that surges was refused; others may
// find room where it did not, less urgent ones included.
func (c *Controller) RefusedSurge(now time.Time, pool string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.pool(pool).overloaded(now)
}

// overloaded notes that there is an overload.
func (p *pool) overloaded(now time.Time) {
	if now.Sub(p.refusedAt) > overloadGap {
		p.overloadedAt = now
	}
	p.refusedAt = now
}

// Precedence says how a request stands to the others of its pool.
type Precedence string

// The precedences.
const (
	// Usual requests are admitted if they can begin in time.
	Usual Precedence = "usual"
	// Surging requests are of a workspace that asks for many times its usual.
	Surging Precedence = "surging"
	// Owed requests are of a class that has less than its least share, and go first.
	Owed Precedence = "owed"
)

// Precedence returns how a request stands to the others that want an upstream.
func (c *Controller) Precedence(now time.Time, r Request) Precedence {
	c.mu.Lock()
	defer c.mu.Unlock()
	p := c.pool(r.Pool)
	if now.Sub(p.refusedAt) > overloadGap {
		return Usual
	}
	switch {
	case p.demand.surges(now, r.Workspace):
		return Surging
	case float64(p.runningOf[r.Class]) < leastShare*float64(p.running):
		return Owed
	}
	return Usual
}

// Behind reports whether a more urgent request has just been refused for an upstream.
func (c *Controller) Behind(now time.Time, r Request, at traffic.Start) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	refused, ok := c.refused[at]
	if !ok {
		return false
	}
	for rank := range min(r.Rank, ranks) {
		if now.Sub(refused[rank]) < refusedFor {
			return true
		}
	}
	return false
}

// forgetRefusals drops those that say nothing any more; the lock must be held.
func (c *Controller) forgetRefusals(now time.Time) {
	maps.DeleteFunc(c.refused, func(_ traffic.Start, r *refusals) bool {
		return !slices.ContainsFunc(r[:], func(at time.Time) bool { return now.Sub(at) < refusedFor })
	})
}

// Overloaded returns for how long requests to a pool have been refused. Of a crowd whose
// end is not known, the best guess is that it stays for as long again.
func (c *Controller) Overloaded(now time.Time, poolName string) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	p := c.pool(poolName)
	if now.Sub(p.refusedAt) > overloadGap {
		return 0
	}
	return now.Sub(p.overloadedAt)
}
