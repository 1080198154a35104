package plan

import (
	"cmp"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestPlanIsDeterministic(t *testing.T) {
	require.Equal(t, Generate(7, 20*time.Second), Generate(7, 20*time.Second))
	require.NotEqual(t, Generate(7, 20*time.Second), Generate(8, 20*time.Second))
}

func TestFaultsEndWithinRun(t *testing.T) {
	seen := map[Kind]bool{}
	for seed := range uint64(50) {
		for _, f := range Generate(seed, 20*time.Second) {
			require.LessOrEqual(t, f.End(), 20*time.Second)
			seen[f.Kind] = true
		}
	}
	require.Len(t, seen, len(drawnKinds)+len(upstreamStateKinds)+2, "all kinds, restores and evacuations")
	require.True(t, seen[RestoreStore])
	require.True(t, seen[EvacuateDomain])
}

// Changes of the generator must keep the faults that matter in the plans of the regression seeds.
func TestRegressionsContainNeededFault(t *testing.T) {
	for _, r := range Regressions() {
		isNeeded := func(f Fault) bool { return f.Kind == r.Needed }
		require.True(t, slices.ContainsFunc(Generate(r.Seed, cmp.Or(r.FaultDuration, 12*time.Second)), isNeeded), "seed %d: %s", r.Seed, r.Cause)
	}
}

// Guards against seeds that were recorded with a fault and no longer play the plan of then.
func TestSmallSeedsKeepTheirPlans(t *testing.T) {
	seen := map[Kind]bool{}
	for seed := range uint64(firstOverloadSeed + 50) {
		for _, f := range Generate(seed, 12*time.Second) {
			isSilence := f.Kind == SilenceSeveral || f.Kind == ChangeConfiguration
			require.False(t, isSilence && (seed < firstSilenceSeed || seed >= firstOverloadSeed), "seed %d", seed)
			isTraffic := slices.Contains(trafficKinds, f.Kind)
			require.False(t, isTraffic && seed < firstTrafficSeed, "seed %d", seed)
			seen[f.Kind] = seen[f.Kind] || isTraffic || isSilence
		}
	}
	for _, kind := range append([]Kind{SilenceSeveral, ChangeConfiguration}, trafficKinds...) {
		require.True(t, seen[kind], kind)
	}
}
