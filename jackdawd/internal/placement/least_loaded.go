package placement

import (
	"math"
	"slices"

	"jackdawhinge/common/traffic"
)

// otherDomainCost is the cost of an upstream in another failure domain for a request without a
// shared prompt, in requests in progress there.
const otherDomainCost = 1.5

// chooseByLoad returns one of the least loaded upstreams. A full one is chosen only if all are full.
//
// The choice is random, weighted so that the loads become even by the next report: with fresh
// reports only the lowest load is chosen, and with expired ones all upstreams are equally likely.
// If each host took the lowest load by an old report, all of them would choose the same upstream.
func (c Choice) chooseByLoad() *traffic.Upstream { return c.chooseLeastLoaded(c.notFull()) }

// IgnoringFull returns the choice for a request without a shared prompt that also considers full upstreams. If hosts
// leave out the upstreams that are full by the plan, which is the same at all of them, all requests of the region go to
// the few others until the next plan, and fill their queues.
func (c Choice) IgnoringFull() Choice {
	if !c.Cacheable {
		c.Delay = nil
	}
	return c
}

// chooseLeastLoaded returns one of the least loaded of some candidates, given by their indexes.
func (c Choice) chooseLeastLoaded(candidates []int) *traffic.Upstream {
	costs, arrived := make([]float64, len(candidates)), 1.0
	for n, i := range candidates {
		remaining, arrivedHere := c.Loads[i].scaledByOwn(c.Hosts).project(c.Lifetime)
		costs[n] = c.Loads[i].Own + remaining
		if c.Upstreams[i].FailureDomain != c.FailureDomain {
			costs[n] += otherDomainCost
		}
		arrived += arrivedHere
	}
	return c.Upstreams[c.pickBelow(candidates, costs, fillLevel(costs, arrived))]
}

// notFull returns the indexes of the usable upstreams that are not full, or of all usable ones if all
// are full.
func (c Choice) notFull() []int {
	var open, all []int
	for i, u := range c.Upstreams {
		if !c.isUsable(i) {
			continue
		}
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

// pickBelow returns a random candidate, weighted by how far its cost is below the level.
func (c Choice) pickBelow(candidates []int, costs []float64, level float64) int {
	best, bestKey := candidates[0], -1.0
	for n, i := range candidates {
		weight := level - costs[n]
		if weight <= 0 {
			continue
		}
		// Weighted sampling: for uniform u, the largest u^(1/weight) occurs in proportion to weight.
		if key := math.Pow(c.uniform(i), 1/weight); key > bestKey {
			best, bestKey = i, key
		}
	}
	return best
}

// fillLevel returns the level to which an amount raises the lowest heights (water filling).
func fillLevel(heights []float64, amount float64) float64 {
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
