package placement

import (
	"math"
	"time"
)

const (
	// initialHeadroom is how far above the mean load a new ceiling is, in standard deviations of
	// randomly distributed loads; minHeadroom and maxHeadroom bound it.
	initialHeadroom = 0.6
	minHeadroom     = 0.2
	maxHeadroom     = 2.5
	// tightenThreshold is the ratio of requests on engines above the load bound from which a
	// ceiling is lowered, a sixth of the allowed ratio. Below loosenThreshold it is raised.
	tightenThreshold = 0.006
	loosenThreshold  = 0.001
	// tightenStep and loosenStep are the changes of the headroom per plan.
	tightenStep = 0.2
	loosenStep  = 0.02
	// excessWindow is the time over which that ratio is averaged.
	excessWindow = 3 * time.Second
	// excessSlack is how many requests above the load multiple an engine may have. It is one less
	// than operators allow, as more requests arrive while a plan is being distributed.
	excessSlack = 2
)

// ceiling is the load up to which engines of a pool take all their prompts. Moving prompts away
// from loaded engines means computing them elsewhere, so the ceiling is only as low as the load
// bound requires. In a fleet of eight hosts, where each sees much of the load itself, it rises
// until prompts stay where they are.
type ceiling struct {
	headroom    float64
	excessRatio float64
}

func newCeiling() *ceiling { return &ceiling{headroom: initialHeadroom} }

// observe adjusts the headroom by the current loads of the pool's engines. elapsed is the time
// since the previous call.
func (c *ceiling) observe(loads []float64, mean, loadMultiple float64, elapsed time.Duration) {
	excess, total := 0.0, 0.0
	for _, load := range loads {
		total += load
		if load > loadMultiple*mean+excessSlack {
			excess += load
		}
	}
	c.excessRatio += (excess/max(total, 1) - c.excessRatio) * smoothingFactor(elapsed, excessWindow)
	switch {
	case c.excessRatio > tightenThreshold:
		c.headroom = max(c.headroom-tightenStep, minHeadroom)
	case c.excessRatio < loosenThreshold:
		c.headroom = min(c.headroom+loosenStep, maxHeadroom)
	}
}

// forMean returns the ceiling for a mean load.
func (c *ceiling) forMean(mean float64) float64 { return mean + c.headroom*math.Sqrt(mean) + 1 }
