package placement

import (
	"jackdawhinge/common/traffic"
	"jackdawhinge/jackdawd/internal/routing"
)

// farCost is what an upstream in another failure domain costs a request to a plain service, in requests there.
const farCost = 1.5

// lightest returns the upstream with the least load; one nearby is preferred, and one that is
// full is taken only if all are.
func (c Choice) lightest() *traffic.Upstream {
	var best *traffic.Upstream
	var bestCost float64
	var bestTie uint64
	bestFull := true
	for i, u := range c.Upstreams {
		cost := c.Loads[i].Requests()
		if u.FailureDomain != c.FailureDomain {
			cost += farCost
		}
		tie := routing.Score(c.Tie, u.Hash)
		if full := c.Full(u); best == nil || (bestFull && !full) || (full == bestFull && (cost < bestCost || (cost == bestCost && tie > bestTie))) {
			best, bestCost, bestTie, bestFull = u, cost, tie, full
		}
	}
	return best
}
