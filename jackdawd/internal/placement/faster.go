package placement

import "jackdawhinge/common/traffic"

// Faster returns the one of two upstreams at which a request without a shared prompt is expected to take less time:
// the chosen one or a random one. It compares the requests there times the pace of the machine, and only if one of
// them has reported its pace lately.
func (c Choice) Faster(chosen *traffic.Upstream, backlog func(*traffic.Upstream) Backlog) *traffic.Upstream {
	if chosen == nil || c.Cacheable {
		return chosen
	}
	// The upper half of the random number is used, as the lower one selects replicas.
	i := int(c.Random >> 32 % uint64(len(c.Upstreams)))
	other := c.Upstreams[i]
	if other == chosen || !c.isUsable(i) {
		return chosen
	}
	at, there := backlog(chosen), backlog(other)
	if at.Pace == 0 && there.Pace == 0 || c.timeAt(other, there) >= c.timeAt(chosen, at) || c.Full(other) {
		return chosen
	}
	return other
}

// timeAt returns how long a request is expected to take at an upstream with a backlog, in an arbitrary unit.
func (c Choice) timeAt(u *traffic.Upstream, b Backlog) float64 {
	requests := b.Running + b.Waiting + 1
	if u.FailureDomain != c.FailureDomain {
		requests += otherDomainCost
	}
	if b.Pace == 0 {
		return requests
	}
	return requests * b.Pace
}
