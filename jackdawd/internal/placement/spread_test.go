package placement

import (
	"testing"

	"github.com/cespare/xxhash/v2"
	"github.com/stretchr/testify/require"
)

// One engine takes half of its prompts. Only about half of those that it had move, each to
// its next engine, and none of the others.
func TestWeightMovesNoMorePromptsThanItMust(t *testing.T) {
	upstreams := pool(10)
	limited := upstreams[3]
	spread := &Spread{weights: map[uint32]uint8{limited.ShortHash(): 128}}
	had, moved := 0, 0
	for key := range uint64(2000) {
		c := cachedChoice(upstreams, make([]Load, 10), xxhash.Sum64([]byte{byte(key), byte(key >> 8)}))
		before := Choose(c)
		c.Spread = spread
		after := Choose(c)
		if before != limited {
			require.Same(t, before, after)
			continue
		}
		had++
		if after != limited {
			moved++
			require.Same(t, Rank(c.Key, upstreams)[1], after)
		}
	}
	require.InDelta(t, 0.5, float64(moved)/float64(had), 0.1)
}

// An engine takes none of its prompts any more, except of the most expensive, which it keeps for the most part.
func TestExpensivePromptsStayAtALimitedEngine(t *testing.T) {
	u := pool(1)[0]
	spread := &Spread{weights: map[uint32]uint8{u.ShortHash(): 0}}
	taken := map[float64]int{}
	for score := range uint64(256) {
		for _, expense := range []float64{0, 0.5, 1} {
			if spread.takes(score, u, expense) {
				taken[expense]++
			}
		}
	}
	require.Zero(t, taken[0])
	require.InDelta(t, 96, taken[0.5], 2)
	require.InDelta(t, 192, taken[1], 2)
}

// A prompt makes six times the mean load. Its requests are spread evenly over as many engines
// as that asks for, always the same ones, whatever their weights.
func TestHotPromptHasSeveralEngines(t *testing.T) {
	upstreams, key := pool(20), uint64(42)
	spread := &Spread{
		weights: map[uint32]uint8{Rank(key, upstreams)[0].ShortHash(): 1},
		means:   map[uint32]float64{PoolHash("reader"): 5},
		prompts: map[uint32]float64{PromptHash(key): 30},
	}
	const engines = 12
	counts := map[string]int{}
	for tie := range uint64(100 * engines) {
		c := cachedChoice(upstreams, make([]Load, 20), key)
		c.Spread, c.Pool, c.Tie = spread, "reader", tie
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
		"not known":         {0, 30, 1},
		"few ask for it":    {8, 3, 1},
		"half the mean":     {8, 4, 1},
		"the mean":          {8, 8, 2},
		"many times that":   {8, 80, 20},
		"more than engines": {1, 500, mostReplicas},
	} {
		t.Run(name, func(t *testing.T) {
			s := &Spread{means: map[uint32]float64{PoolHash("reader"): test.mean}, prompts: map[uint32]float64{PromptHash(42): test.requests}}
			require.Equal(t, test.want, s.replicas(42, "reader"))
		})
	}
	require.Equal(t, 1, (*Spread)(nil).replicas(42, "reader"))
}

// All engines take less than all. A prompt that none of them takes goes to its first one.
func TestPromptThatNoEngineTakes(t *testing.T) {
	upstreams, weights := pool(4), map[uint32]uint8{}
	for _, u := range upstreams {
		weights[u.ShortHash()] = 0
	}
	c := cachedChoice(upstreams, make([]Load, 4), 42)
	c.Spread = &Spread{weights: weights}
	require.Same(t, Rank(42, upstreams)[0], Choose(c))
}
