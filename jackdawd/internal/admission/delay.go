package admission

import (
	"math"
	"time"

	"jackdawhinge/common/traffic"
	"jackdawhinge/jackdawd/internal/placement"
)

const (
	// waitsLifetime is how long what requests had to wait tells of those that wait now.
	waitsLifetime = time.Second
	// leastWaits is added to what requests had to wait, so that one that waited for some
	// milliseconds says nothing.
	leastWaits = 20 * time.Millisecond
	// stuckRequests is how many requests make an upstream stuck that have waited for
	// stuckTimes times as long as their answers take to begin: one may be reading a long prompt.
	stuckRequests = 2
	stuckTimes    = 2
)

// Delay returns how long a request would wait at an upstream with a backlog.
func (c *Controller) Delay(now time.Time, r Request, at traffic.Start, backlog placement.Backlog) time.Duration {
	rank := inRange(r.Rank)
	c.mu.Lock()
	defer c.mu.Unlock()
	p := c.pool(r.Pool)
	told := p.shareUpTo(rank) * backlog.Waiting * float64(p.expectedService()) / max(backlog.Running, 1)
	return max(time.Duration(told), c.waitedBefore(now, rank, at, backlog.HadQueue))
}

// Stuck reports whether several of this host's requests at an upstream should have begun long ago.
func (c *Controller) Stuck(now time.Time, at traffic.Start) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := 0
	for r := range c.waiting[at] {
		if begins := c.class(r.request.Class).begins; begins > 0 && now.Sub(r.sent) > stuckTimes*begins {
			n++
		}
	}
	return n >= stuckRequests
}

// waitedBefore returns for how long a request that is as urgent has waited at an upstream, which a
// newcomer will do at least. What upstreams tell comes with answers that begin, so that the
// fuller one is the older is what it told.
//
// Where nothing waited when it told last, the time counts from the target on: an answer
// may take that long to begin while a prompt is read. An upstream that has gone dark, which
// tells nothing any more, is found out then as well.
func (c *Controller) waitedBefore(now time.Time, rank int, at traffic.Start, crowded bool) time.Duration {
	longest := time.Duration(0)
	for r := range c.waiting[at] {
		if r.request.Rank > rank {
			continue
		}
		age := now.Sub(r.sent)
		switch {
		case crowded:
			longest = max(longest, age-c.class(r.request.Class).begins)
		case age > r.request.Target:
			longest = max(longest, age)
		}
	}
	return longest
}

// waited takes in how long a request of a rank had to wait.
func (p *pool) waited(now time.Time, rank int, wait time.Duration) {
	faded := math.Exp(-now.Sub(p.waitsAt).Seconds() / waitsLifetime.Seconds())
	for r := range p.waits {
		p.waits[r] *= faded
	}
	p.waitsAt = now
	p.waits[rank] += max(wait, 0).Seconds()
}

// shareUpTo returns the part of what waits that is as urgent as a rank, or more.
// Upstreams begin with the more urgent first and do not tell how urgent those are that
// wait; how long this host's own had to wait is a sample of it.
func (p *pool) shareUpTo(rank int) float64 {
	upTo, all := 0.0, 0.0
	for r, wait := range p.waits {
		all += wait
		if r <= rank {
			upTo += wait
		}
	}
	return (upTo + leastWaits.Seconds()) / (all + leastWaits.Seconds())
}
