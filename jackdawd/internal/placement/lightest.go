package placement

import (
	"math"
	"slices"

	"jackdawhinge/common/traffic"
)

// farCost is what an upstream in another failure domain costs a request to a plain service, in requests there.
const farCost = 1.5

// lightest returns one of the upstreams with the least load; one that is full is taken only if all are.
//
// It is drawn by the shares that level the loads out until the next news: the least one while the news is
// fresh, all alike once none of it holds any more. If each host took the least one by old news, all would meet there.
func (c Choice) lightest() *traffic.Upstream {
	open := c.open()
	costs, arrived := make([]float64, len(open)), 1.0
	for n, i := range open {
		remaining, more := c.Loads[i].withOwnEvidence(c.Hosts).since(c.Lifetime)
		costs[n] = c.Loads[i].Own + remaining
		if c.Upstreams[i].FailureDomain != c.FailureDomain {
			costs[n] += farCost
		}
		arrived += more
	}
	return c.Upstreams[c.byShare(open, costs, levelOf(costs, arrived))]
}

// open returns the indexes of the upstreams that are not full, or of all if all are.
func (c Choice) open() []int {
	var open, all []int
	for i, u := range c.Upstreams {
		all = append(all, i)
		if !c.Full(u) {
			open = append(open, i)
		}
	}
	if len(open) == 0 {
		return all
	}
	return open
}

// byShare draws one of some upstreams by how far their costs are below a level.
func (c Choice) byShare(open []int, costs []float64, level float64) int {
	best, bestKey := open[0], -1.0
	for n, i := range open {
		share := level - costs[n]
		if share <= 0 {
			continue
		}
		// Of numbers u^(1/share) with u drawn evenly the largest is each one's as often as its share says.
		if key := math.Pow(c.draw(i), 1/share); key > bestKey {
			best, bestKey = i, key
		}
	}
	return best
}

// levelOf returns the level up to which an amount fills several heights.
func levelOf(heights []float64, amount float64) float64 {
	sorted := slices.Sorted(slices.Values(heights))
	sum := 0.0
	for n, height := range sorted {
		if n > 0 && height*float64(n)-sum >= amount {
			return (sum + amount) / float64(n)
		}
		sum += height
	}
	return (sum + amount) / float64(len(sorted))
}
