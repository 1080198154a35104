package placement

import (
	"testing"

	"github.com/cespare/xxhash/v2"
	"github.com/stretchr/testify/require"
)

// An engine with half weight loses about half of its prompts, each to the prompt's next engine. No
// other prompts move.
func TestWeightMovesFewestPrompts(t *testing.T) {
	upstreams := newUpstreams(10)
	limited := upstreams[3]
	plan := &LocalPlan{weights: map[uint32]uint8{limited.ShortHash(): 128}}
	affected, moved := 0, 0
	for key := range uint64(2000) {
		c := newPromptChoice(upstreams, make([]Load, 10), xxhash.Sum64([]byte{byte(key), byte(key >> 8)}))
		before := Choose(c)
		c.Plan = plan
		after := Choose(c)
		if before != limited {
			require.Same(t, before, after)
			continue
		}
		affected++
		if after != limited {
			moved++
			require.Same(t, Rank(c.Key, upstreams)[1], after)
		}
	}
	require.InDelta(t, 0.5, float64(moved)/float64(affected), 0.1)
}

// An engine with zero weight takes no cheap prompts but keeps most of the expensive ones.
func TestExpensivePromptsAreExemptFromWeight(t *testing.T) {
	u := newUpstreams(1)[0]
	plan := &LocalPlan{weights: map[uint32]uint8{u.ShortHash(): 0}}
	taken := map[float64]int{}
	for score := range uint64(256) {
		for _, prefillCost := range []float64{0, 0.5, 1} {
			if plan.takes(score, u, prefillCost) {
				taken[prefillCost]++
			}
		}
	}
	require.Zero(t, taken[0])
	require.InDelta(t, 96, taken[0.5], 2)
	require.InDelta(t, 192, taken[1], 2)
}

// The requests of a prompt with six times the mean load are spread evenly over twelve engines,
// always the same ones regardless of their weights.
func TestHotPromptUsesSeveralEngines(t *testing.T) {
	upstreams, key := newUpstreams(20), uint64(42)
	plan := &LocalPlan{
		weights: map[uint32]uint8{Rank(key, upstreams)[0].ShortHash(): 1},
		means:   map[uint32]float64{PoolHash("reader"): 5},
		prompts: map[uint32]float64{PromptHash(key): 30},
	}
	const engines = 12
	counts := map[string]int{}
	for random := range uint64(100 * engines) {
		c := newPromptChoice(upstreams, make([]Load, 20), key)
		c.Plan, c.Pool, c.Random = plan, "reader", random
		counts[Choose(c).ID]++
	}
	require.Len(t, counts, engines)
	for _, u := range Rank(key, upstreams)[:engines] {
		require.Equal(t, 100, counts[u.ID])
	}
}

func TestReplicas(t *testing.T) {
	for name, test := range map[string]struct {
		mean, requests float64
		want           int
	}{
		"unknown mean":          {0, 30, 1},
		"few requests":          {8, 3, 1},
		"half the mean":         {8, 4, 1},
		"the mean":              {8, 8, 2},
		"ten times the mean":    {8, 80, 20},
		"more than maxReplicas": {1, 500, maxReplicas},
	} {
		t.Run(name, func(t *testing.T) {
			p := &LocalPlan{means: map[uint32]float64{PoolHash("reader"): test.mean}, prompts: map[uint32]float64{PromptHash(42): test.requests}}
			require.Equal(t, test.want, p.replicas(42, "reader"))
		})
	}
	require.Equal(t, 1, (*LocalPlan)(nil).replicas(42, "reader"))
}

// A prompt that no engine's weight lets in goes to its first engine.
func TestPromptRejectedByAllWeights(t *testing.T) {
	upstreams, weights := newUpstreams(4), map[uint32]uint8{}
	for _, u := range upstreams {
		weights[u.ShortHash()] = 0
	}
	c := newPromptChoice(upstreams, make([]Load, 4), 42)
	c.Plan = &LocalPlan{weights: weights}
	require.Same(t, Rank(42, upstreams)[0], Choose(c))
}
