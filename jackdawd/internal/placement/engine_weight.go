package placement

import (
	"math"
	"slices"
	"time"
)

const (
	// weightChangeInterval is the least time between two lasting changes of a weight. A change takes
	// that long to show in reported loads: it has to reach all hosts, requests have to be answered,
	// and the hosts' counts have to come back.
	weightChangeInterval = 1500 * time.Millisecond
	// minWeightFactor and maxWeightFactor bound the factor of one weight change.
	minWeightFactor = 0.5
	maxWeightFactor = 1.25
	// minWeight keeps some prompts on each engine, as its load is reported with their responses.
	minWeight = 16
	// loadWindow is the time over which loads are averaged.
	loadWindow = 300 * time.Millisecond
)

// engineState is the load and weight of one engine, as known to the region's first host.
type engineState struct {
	load            float64
	weight          float64
	weightChangedAt time.Time
}

// observe updates the average load. elapsed is the time since the previous call.
func (s *engineState) observe(requests float64, elapsed time.Duration) {
	s.load += (requests - s.load) * smoothingFactor(elapsed, loadWindow)
}

// updateWeight adjusts the weight to the engine's load, the mean load of the pool and its ceiling.
// It returns the weight to use until the next plan, which is lower than the lasting weight while
// the load is above the ceiling.
func (s *engineState) updateWeight(now time.Time, mean, ceiling float64) float64 {
	if now.Sub(s.weightChangedAt) >= weightChangeInterval {
		switch {
		case s.load > ceiling:
			s.weight = max(s.weight*max(ceiling/s.load, minWeightFactor), minWeight)
			s.weightChangedAt = now
		case s.load < mean && s.weight < maxWeight:
			s.weight = min(s.weight*min((mean+1)/(s.load+1), maxWeightFactor), maxWeight)
			s.weightChangedAt = now
		}
	}
	ratio := ceiling / max(s.load, ceiling)
	return max(s.weight*ratio*ratio, minWeight)
}

// smoothingFactor returns the EWMA factor of a sample that arrives after elapsed, for an average
// over window.
func smoothingFactor(elapsed, window time.Duration) float64 {
	return 1 - math.Exp(-elapsed.Seconds()/window.Seconds())
}

// outlierFactor and outlierSlack define, from the median, the load at which an engine is capped in
// the mean of its pool. Requests beyond it hang at an unreachable engine until their callers leave.
// With a third of the engines cut off, the plain mean would allow all others twice the load.
const (
	outlierFactor = 2
	outlierSlack  = 3
)

// cappedMean returns the mean of loads, with outliers capped.
func cappedMean(loads []float64) float64 {
	if len(loads) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(loads))
	maxLoad := outlierFactor*sorted[len(sorted)/2] + outlierSlack
	sum := 0.0
	for _, load := range loads {
		sum += min(load, maxLoad)
	}
	return sum / float64(len(loads))
}
