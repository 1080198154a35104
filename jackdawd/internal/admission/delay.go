package admission

import (
	"math"
	"time"

	"jackdawhinge/common/traffic"
	"jackdawhinge/jackdawd/internal/placement"
)

const (
	// waitDecayTime is the time constant with which past waits lose weight as an indicator of the
	// requests that wait now.
	waitDecayTime = time.Second
	// waitSmoothing is added to the sums of waits, so that a wait of a few milliseconds has no
	// effect.
	waitSmoothing = 20 * time.Millisecond
	// minStuckRequests is how many requests make an upstream stuck if each has waited for more than
	// stuckFactor times the usual time to first byte. A single one may have a long prompt.
	minStuckRequests = 2
	stuckFactor      = 2
)

// Delay returns how long a request would wait at an upstream with the given backlog.
func (c *Controller) Delay(now time.Time, r Request, upstream traffic.UpstreamInstance, backlog placement.Backlog) time.Duration {
	rank := clampRank(r.Rank)
	c.mu.Lock()
	defer c.mu.Unlock()
	p := c.pool(r.Pool)
	reported := p.waitRatioUpTo(rank) * backlog.Waiting * float64(p.expectedServiceTime()) / max(backlog.Running, 1)
	return max(time.Duration(reported), c.longestWait(now, rank, upstream, backlog.HadQueue))
}

// IsStuck reports whether the responses to several of this host's requests at an upstream are
// overdue.
func (c *Controller) IsStuck(now time.Time, upstream traffic.UpstreamInstance) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := 0
	for a := range c.waiting[upstream] {
		if expected := c.class(a.request.Class).timeToFirstByte; expected > 0 && now.Sub(a.sentAt) > stuckFactor*expected {
			n++
		}
	}
	return n >= minStuckRequests
}

// longestWait returns how long requests of this host that are at least as urgent have waited at an
// upstream, as a lower bound for a new one. Load reports come with responses that begin, so the
// fuller an upstream is, the older is its report.
//
// If nothing waited at the last report, a wait counts only once it exceeds the target, as computing
// a prompt may take that long. This also detects an upstream that no longer responds and therefore
// reports nothing.
func (c *Controller) longestWait(now time.Time, rank int, upstream traffic.UpstreamInstance, hadQueue bool) time.Duration {
	longest := time.Duration(0)
	for a := range c.waiting[upstream] {
		if a.request.Rank > rank {
			continue
		}
		age := now.Sub(a.sentAt)
		switch {
		case hadQueue:
			longest = max(longest, age-c.class(a.request.Class).timeToFirstByte)
		case age > a.request.Target:
			longest = max(longest, age)
		}
	}
	return longest
}

// recordWait adds how long a request of a rank has waited.
func (p *pool) recordWait(now time.Time, rank int, wait time.Duration) {
	decay := math.Exp(-now.Sub(p.waitsUpdatedAt).Seconds() / waitDecayTime.Seconds())
	for r := range p.waitByRank {
		p.waitByRank[r] *= decay
	}
	p.waitsUpdatedAt = now
	p.waitByRank[rank] += max(wait, 0).Seconds()
}

// waitRatioUpTo returns the estimated ratio of waiting requests that are at least as urgent as a
// rank. Upstreams begin more urgent requests first and don't report the urgency of those that wait;
// the recent waits of this host's own requests are a sample of it.
func (p *pool) waitRatioUpTo(rank int) float64 {
	upTo, total := 0.0, 0.0
	for r, wait := range p.waitByRank {
		total += wait
		if r <= rank {
			upTo += wait
		}
	}
	return (upTo + waitSmoothing.Seconds()) / (total + waitSmoothing.Seconds())
}
