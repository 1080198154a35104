package placement

import (
	"math"
	"time"

	"jackdawhinge/common/traffic"
)

const (
	// replicaLoadRatio is the part of an engine's mean load that one prompt may cause on each of its
	// engines, which serve other prompts as well.
	replicaLoadRatio = 0.5
	// maxReplicas bounds the engines of one prompt. With more, computing the prompt on each of them
	// would take longer than the requests that share it.
	maxReplicas = 64
	// prefillExemptRatio is the ratio of the prompts excluded by an engine's weight that the engine
	// still takes if they are among the most expensive to move.
	prefillExemptRatio = 0.75
)

// A LocalPlan is a plan resolved against the engines that one host knows. The zero value and nil
// place no restrictions.
type LocalPlan struct {
	computedAt time.Time
	// weights holds the engines with less than the full weight, by short hash.
	weights map[uint32]uint8
	// means holds the mean loads of pools, by PoolHash.
	means map[uint32]float64
	// cappedMeanRatios holds the ratios of pools' means with outliers capped to their plain means,
	// by PoolHash.
	cappedMeanRatios map[uint32]float64
	// prompts holds the requests in progress of hot prompts, by PromptHash.
	prompts map[uint32]float64
}

// Age returns how long ago the plan was computed, and false if there is none.
func (p *LocalPlan) Age(now time.Time) (time.Duration, bool) {
	if p == nil {
		return 0, false
	}
	return now.Sub(p.computedAt), true
}

// takes reports whether an engine's weight lets it take the prompt with the given rendezvous score.
// prefillCost is how expensive the prompt is to compute elsewhere, from 0 to 1. The decision uses
// the lowest bits of the score, which are independent of the engine's rank, so that a change of
// weight moves as few prompts as possible.
func (p *LocalPlan) takes(score uint64, u *traffic.Upstream, prefillCost float64) bool {
	if p == nil {
		return true
	}
	weight, limited := p.weights[u.ShortHash()]
	notTaken := (1 - prefillCost*prefillExemptRatio) * float64(maxWeight-weight)
	return !limited || float64(uint8(score)) < maxWeight-notTaken
}

// mean returns the mean load of a pool, 0 if not known.
func (p *LocalPlan) mean(pool string) float64 {
	if p == nil {
		return 0
	}
	return p.means[PoolHash(pool)]
}

// cappedMeanRatio returns the ratio of a pool's mean with outliers capped to its plain mean, 1 if
// not known.
func (p *LocalPlan) cappedMeanRatio(pool string) float64 {
	if ratio, ok := p.cappedMeanRatios[PoolHash(pool)]; ok {
		return ratio
	}
	return 1
}

// minMean returns the lowest mean load of all pools.
func (p *LocalPlan) minMean() float64 {
	lowest := 0.0
	for _, mean := range p.means {
		if lowest == 0 || mean < lowest {
			lowest = mean
		}
	}
	return lowest
}

// replicas returns how many engines serve a prompt: one for each replicaLoadRatio of an engine's
// mean load that its requests cause.
func (p *LocalPlan) replicas(key uint64, pool string) int {
	if p == nil {
		return 1
	}
	mean, requests := p.mean(pool), p.prompts[PromptHash(key)]
	if mean <= 0 || requests <= replicaLoadRatio*mean {
		return 1
	}
	return min(int(math.Ceil(requests/(replicaLoadRatio*mean))), maxReplicas)
}
