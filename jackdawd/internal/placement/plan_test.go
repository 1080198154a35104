package placement

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// Weights are told in fifteenths; an engine that takes all prompts does so at every host.
func TestEnginesArePacked(t *testing.T) {
	var engines []plannedEngine
	for i, w := range []uint8{0, leastWeight, 100, 128, 240, fullWeight} {
		engines = append(engines, plannedEngine{hash: uint32(i) << 16, load: uint8(40 * i), weight: w})
	}
	packed := packEngines(engines)
	require.Len(t, packed, engineBytes*len(engines))
	named := PoolPlan{Engines: packed}.named()
	for _, e := range engines {
		require.Equal(t, e.load, named[e.hash].load)
		require.InDelta(t, e.weight, named[e.hash].weight, weightStep/2+1)
	}
	require.NotZero(t, named[1<<16].weight)
	require.EqualValues(t, fullWeight, named[5<<16].weight)
	require.Len(t, PoolPlan{Engines: packed[:engineBytes+1]}.named(), 1, "a cut one is left out")
}

// A hundred engines, each with a load and a weight of its own, do not fit into a plan. Those that
// are loaded most and take least are in it; it is never larger than it may be, however many
// prompts there are, and however many pools it names some engines of them.
func TestPlanNamesWhatMatters(t *testing.T) {
	draft := poolDraft{pool: 7, mean: 10}
	for i := range uint32(100) {
		draft.engines = append(draft.engines, plannedEngine{hash: i, load: uint8(i / 5), weight: uint8(fullWeight - i)})
	}
	prompts := make([]PromptLoad, 8)
	plan := planOf([]poolDraft{draft}, prompts)
	require.LessOrEqual(t, plan.Size(), MostPlanBytes)
	named := plan.Pools[0].named()
	require.Greater(t, len(named), leastNamed)
	for i := range uint32(100) {
		_, ok := named[i]
		require.Equal(t, int(i) >= 100-len(named), ok, i)
	}
	rest := 100 - len(named)
	require.InDelta(t, float64(rest)/10, float64(plan.Pools[0].Usual), 1)
	require.InDelta(t, 10, plan.Pools[0].mean(), 0.01)

	var drafts []poolDraft
	for range 23 {
		drafts = append(drafts, draft)
	}
	many := 0
	for _, pool := range planOf(drafts, prompts).Pools {
		many += len(pool.named())
	}
	require.GreaterOrEqual(t, many, leastNamed/2, "pools may share hashes")
}

// All engines have about the mean load and take all prompts. A plan says so by the mean alone.
func TestPlanOfEvenLoadsNamesNone(t *testing.T) {
	draft := poolDraft{mean: 20}
	for i := range uint32(90) {
		draft.engines = append(draft.engines, plannedEngine{hash: i, load: uint8(19 + i%3), weight: fullWeight})
	}
	plan := planOf([]poolDraft{draft}, nil)
	require.Empty(t, plan.Pools[0].Engines)
	require.EqualValues(t, 20, plan.Pools[0].Usual)
}
