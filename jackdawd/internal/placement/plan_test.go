package placement

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// Weights are packed in fifteenths; the full weight is packed exactly.
func TestPackEngines(t *testing.T) {
	var engines []plannedEngine
	for i, w := range []uint8{0, minWeight, 100, 128, 240, maxWeight} {
		engines = append(engines, plannedEngine{hash: uint32(i) << 16, load: uint8(40 * i), weight: w})
	}
	packed := packEngines(engines)
	require.Len(t, packed, engineBytes*len(engines))
	unpacked := PoolPlan{Engines: packed}.unpackEngines()
	for _, e := range engines {
		require.Equal(t, e.load, unpacked[e.hash].load)
		require.InDelta(t, e.weight, unpacked[e.hash].weight, weightStep/2+1)
	}
	require.NotZero(t, unpacked[1<<16].weight)
	require.EqualValues(t, maxWeight, unpacked[5<<16].weight)
	require.Len(t, PoolPlan{Engines: packed[:engineBytes+1]}.unpackEngines(), 1, "a truncated entry is ignored")
}

// A hundred engines with different loads and weights don't fit into a plan. It lists those with the
// highest load and the lowest weight, stays within its maximum size with prompts in it, and lists
// some engines however many pools there are.
func TestPlanListsMostImportantEngines(t *testing.T) {
	draft := poolDraft{pool: 7, mean: 10}
	for i := range uint32(100) {
		draft.engines = append(draft.engines, plannedEngine{hash: i, load: uint8(i / 5), weight: uint8(maxWeight - i)})
	}
	prompts := make([]PromptLoad, 8)
	plan := newPlan([]poolDraft{draft}, prompts)
	require.LessOrEqual(t, plan.Size(), MaxPlanBytes)
	listed := plan.Pools[0].unpackEngines()
	require.Greater(t, len(listed), minListedEngines)
	for i := range uint32(100) {
		_, ok := listed[i]
		require.Equal(t, int(i) >= 100-len(listed), ok, i)
	}
	notListed := 100 - len(listed)
	require.InDelta(t, float64(notListed)/10, float64(plan.Pools[0].Usual), 1)
	require.InDelta(t, 10, plan.Pools[0].mean(), 0.01)

	var drafts []poolDraft
	for range 23 {
		drafts = append(drafts, draft)
	}
	listedInAll := 0
	for _, pool := range newPlan(drafts, prompts).Pools {
		listedInAll += len(pool.unpackEngines())
	}
	require.GreaterOrEqual(t, listedInAll, minListedEngines/2, "pools may share hashes")
}

// A plan lists no engines if all of them have about the mean load and the full weight.
func TestPlanOfEvenLoadsListsNoEngines(t *testing.T) {
	draft := poolDraft{mean: 20}
	for i := range uint32(90) {
		draft.engines = append(draft.engines, plannedEngine{hash: i, load: uint8(19 + i%3), weight: maxWeight})
	}
	plan := newPlan([]poolDraft{draft}, nil)
	require.Empty(t, plan.Pools[0].Engines)
	require.EqualValues(t, 20, plan.Pools[0].Usual)
}
