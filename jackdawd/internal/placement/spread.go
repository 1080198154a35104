package placement

import (
	"math"
	"time"

	"jackdawhinge/common/traffic"
)

const (
	// replicaShare is the part of an engine's mean load that a prompt may make at each of its
	// engines: beside it the engine has other prompts.
	replicaShare = 0.5
	// mostReplicas bounds the engines of one prompt: with more, reading it everywhere would
	// take longer than what they share.
	mostReplicas = 64
	// expensiveTaken is the part of the prompts that an engine does not take by its weight of which it takes the
	// most expensive all the same.
	expensiveTaken = 0.75
)

// A Spread is a plan as one host places by it. The zero value and nil spread nothing.
type Spread struct {
	// drawnAt is when the plan was drawn.
	drawnAt time.Time
	// weights are those of engines that take less than all, by short hash.
	weights map[uint32]uint8
	// means are the mean loads of pools, by PoolHash.
	means map[uint32]float64
	// sound are the means of pools without what hangs at some engines, as parts of the means of all that engines have.
	sound map[uint32]float64
	// prompts are the requests in progress of prompts that many ask for, by PromptHash.
	prompts map[uint32]float64
}

// Age returns how long ago the plan was drawn, and false if there is none.
func (s *Spread) Age(now time.Time) (time.Duration, bool) {
	if s == nil {
		return 0, false
	}
	return now.Sub(s.drawnAt), true
}

// takes reports whether an engine takes a prompt that has the score given there; expense, from 0 to 1, says how
// expensive it is to read it elsewhere. The lowest bits of the score decide, which say nothing of the engine's place in the prompt's order:
// a change of weight moves no more prompts than it must.
func (s *Spread) takes(score uint64, u *traffic.Upstream, expense float64) bool {
	if s == nil {
		return true
	}
	weight, limited := s.weights[u.ShortHash()]
	notTaken := (1 - expense*expensiveTaken) * float64(fullWeight-weight)
	return !limited || float64(uint8(score)) < fullWeight-notTaken
}

// mean returns the mean load of a pool, 0 if it is not known.
func (s *Spread) mean(pool string) float64 {
	if s == nil {
		return 0
	}
	return s.means[PoolHash(pool)]
}

// soundPart returns by how much the mean load of a pool is less without what hangs at some engines, 1 if that is not known.
func (s *Spread) soundPart(pool string) float64 {
	if part, ok := s.sound[PoolHash(pool)]; ok {
		return part
	}
	return 1
}

// leastMean returns the mean load of the pool that has the least.
func (s *Spread) leastMean() float64 {
	least := 0.0
	for _, mean := range s.means {
		if least == 0 || mean < least {
			least = mean
		}
	}
	return least
}

// replicas returns at how many engines a prompt's requests are served: each mean load of an
// engine that they make is one more.
func (s *Spread) replicas(key uint64, pool string) int {
	if s == nil {
		return 1
	}
	mean, requests := s.mean(pool), s.prompts[PromptHash(key)]
	if mean <= 0 || requests <= replicaShare*mean {
		return 1
	}
	return min(int(math.Ceil(requests/(replicaShare*mean))), mostReplicas)
}
