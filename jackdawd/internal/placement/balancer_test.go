package placement

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"jackdawhinge/common/traffic"
)

// newBalancers returns one balancer per list of engines, as for several hosts.
func newBalancers(lists ...*[]*traffic.Upstream) []*Balancer {
	var out []*Balancer
	for _, list := range lists {
		out = append(out, NewBalancer(NewLoads(), func() map[string][]*traffic.Upstream {
			return map[string][]*traffic.Upstream{"reader": *list}
		}, func() float64 { return 2 }))
	}
	return out
}

// defaultEngineLoad is the load of the engines that a test doesn't set.
const defaultEngineLoad = 5

// inProgressWith returns counts with the given requests at one engine and defaultEngineLoad at each
// other.
func inProgressWith(engines []*traffic.Upstream, u *traffic.Upstream, requests int) InProgress {
	all := InProgress{Engines: map[uint32]int{}, Prompts: map[uint32]int{}}
	for _, e := range engines {
		all.Engines[e.ShortHash()&WireHashMask] = defaultEngineLoad
	}
	all.Engines[u.ShortHash()&WireHashMask] = requests
	return all
}

// An engine with three times the load of the others gets a lower weight at once, an even lower one
// while the load persists, and the full weight again once it has less load than the others.
func TestWeightFollowsLoad(t *testing.T) {
	engines, now := newUpstreams(10), time.Unix(1000, 0)
	b, heavy := newBalancers(&engines)[0], engines[4]
	weight := func(requests int) uint8 {
		b.ComputePlan(now, inProgressWith(engines, heavy, requests))
		w, limited := b.LocalPlan(now).weights[heavy.ShortHash()]
		if !limited {
			return maxWeight
		}
		return w
	}
	first := weight(16)
	require.Less(t, first, uint8(maxWeight/2))
	for range 4 {
		now = now.Add(weightChangeInterval)
		weight(16)
	}
	require.Less(t, weight(16), first)
	require.GreaterOrEqual(t, weight(16), uint8(minWeight))
	for range 40 {
		now = now.Add(weightChangeInterval)
		weight(2)
	}
	require.Equal(t, uint8(maxWeight), weight(2))
	require.Len(t, b.LocalPlan(now).weights, 0, "the other engines keep their full weight")
}

// A host applies a plan that another host computed, ignores an older one, and drops an expired one.
func TestApplyPlanOfAnotherHost(t *testing.T) {
	engines, now := newUpstreams(6), time.Unix(1000, 0)
	both := newBalancers(&engines, &engines)
	require.Nil(t, both[1].LocalPlan(now))
	both[0].ComputePlan(now, inProgressWith(engines, engines[0], 20))
	plan, computedAt := both[0].Plan(now)
	both[1].ApplyPlan(plan, computedAt)
	require.Equal(t, both[0].LocalPlan(now), both[1].LocalPlan(now))
	require.InDelta(t, 20, both[1].loads.Estimate(now.Add(-planLag), engines[0]), 0.01)
	both[1].ApplyPlan(&Plan{}, computedAt.Add(-time.Second))
	require.Equal(t, both[0].LocalPlan(now), both[1].LocalPlan(now), "an older plan is ignored")
	require.Nil(t, both[1].LocalPlan(now.Add(planTTL+1)))
}

// Requests to an engine that doesn't respond stay in progress until their callers leave. If they
// counted in full, the mean would allow the other engines many times their usual load.
func TestHungRequestsDoNotRaiseMean(t *testing.T) {
	engines, now := newUpstreams(9), time.Unix(1000, 0)
	b := newBalancers(&engines)[0]
	all := inProgressWith(engines, engines[0], 60)
	all.Engines[engines[1].ShortHash()&WireHashMask] = 60
	b.ComputePlan(now, all)
	mean := func(at time.Time) float64 {
		return Choice{Upstreams: engines, Loads: b.loads.All(at, engines), Plan: b.LocalPlan(at), Pool: "reader"}.Mean()
	}
	require.Less(t, mean(now), 1.6*defaultEngineLoad)
	for _, u := range engines[2:] {
		b.loads.Record(now, u, traffic.Load{Running: 2 * defaultEngineLoad})
	}
	require.Greater(t, mean(now), 1.2*defaultEngineLoad, "newer reports count")
	require.Less(t, mean(now), 3.2*defaultEngineLoad)
}

// Hosts learn of joining and leaving engines at different times. A plan for another list of engines
// applies to the engines in both lists; those that it doesn't list have the default load.
func TestPlanForAnotherEngineList(t *testing.T) {
	engines, now := newUpstreams(6), time.Unix(1000, 0)
	fewer, more := engines[:5], append(newUpstreams(6), newUpstream("new"))
	all := newBalancers(&engines, &fewer, &more)
	all[0].ComputePlan(now, inProgressWith(engines, engines[0], 20))
	plan, computedAt := all[0].Plan(now)
	for _, other := range all[1:] {
		other.ApplyPlan(plan, computedAt)
		want, got := *all[0].LocalPlan(now), *other.LocalPlan(now)
		// The ratio is that of the engines in the host's own list.
		require.InDelta(t, want.cappedMeanRatio("reader"), got.cappedMeanRatio("reader"), 0.1)
		want.cappedMeanRatios, got.cappedMeanRatios = nil, nil
		require.Equal(t, want, got)
		require.InDelta(t, 20, other.loads.Estimate(now.Add(-planLag), engines[0]), 0.01)
		require.InDelta(t, defaultEngineLoad, other.loads.Estimate(now.Add(-planLag), engines[1]), 0.01)
	}
	require.InDelta(t, defaultEngineLoad, all[2].loads.Estimate(now.Add(-planLag), newUpstream("new")), 0.01)
}

// When the region's first host leaves, the next one starts from the weights in force.
func TestNextLeaderContinuesFromPlan(t *testing.T) {
	engines, now := newUpstreams(6), time.Unix(1000, 0)
	both := newBalancers(&engines, &engines)
	both[0].ComputePlan(now, inProgressWith(engines, engines[0], 40))
	plan, computedAt := both[0].Plan(now)
	both[1].ApplyPlan(plan, computedAt)
	hash := engines[0].ShortHash()
	before := both[1].LocalPlan(now).weights[hash]
	now = now.Add(time.Second)
	both[1].ComputePlan(now, inProgressWith(engines, engines[0], 5))
	require.Equal(t, before, both[1].LocalPlan(now).weights[hash])
}

// A prompt that suddenly becomes frequent causes a new plan at once, which counts more requests than
// are in progress because more arrive before the next plan. A prompt at its usual rate does not.
func TestRisingPrompt(t *testing.T) {
	engines, now := newUpstreams(6), time.Unix(1000, 0)
	b := newBalancers(&engines)[0]
	usual := inProgressWith(engines, engines[0], 5)
	usual.Prompts[PromptHash(1<<33)] = 4
	require.False(t, b.HasRisingPrompt(usual), "no plan to compare with")
	b.ComputePlan(now, usual)
	require.False(t, b.HasRisingPrompt(usual))
	hot := inProgressWith(engines, engines[0], 25)
	hot.Prompts[PromptHash(7<<33)] = 20
	require.True(t, b.HasRisingPrompt(hot))
	b.ComputePlan(now.Add(100*time.Millisecond), hot)
	require.Equal(t, PromptLoad{Prompt: PromptHash(7 << 33), Requests: 40}, b.plan.Prompts[0])
	require.False(t, b.HasRisingPrompt(hot), "the plan includes the prompt")
}

func TestPromptRequestsAreCounted(t *testing.T) {
	b := newBalancers(&[]*traffic.Upstream{})[0]
	b.Begin(1 << 33)
	b.Begin(1 << 33)
	require.Equal(t, map[uint32]int{PromptHash(1 << 33): 2}, b.InProgress().Prompts)
	b.End(1 << 33)
	b.End(1 << 33)
	require.Empty(t, b.InProgress().Prompts)
}
