package placement

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"jackdawhinge/common/traffic"
)

func TestEstimateIncludesOwnAndOthers(t *testing.T) {
	l, now := NewLoads(), time.Unix(100, 0)
	l.Begin(now, newUpstream("a"))
	l.Begin(now, newUpstream("a"))
	l.Record(now, newUpstream("a"), traffic.Load{Running: 5, Waiting: 1})
	require.InDelta(t, 6, l.Estimate(now, newUpstream("a")), 0.01)
	l.End(now, newUpstream("a"))
	require.InDelta(t, 5, l.Estimate(now, newUpstream("a")), 0.01, "other hosts' requests stay")
	require.Equal(t, 1, l.OwnRequests(newUpstream("a")))
	require.Zero(t, l.Estimate(now, newUpstream("b")))
}

// A reported load decays, or an upstream that was once full would never be tried again.
func TestReportedLoadDecays(t *testing.T) {
	l, now := NewLoads(), time.Unix(100, 0)
	l.Record(now, newUpstream("a"), traffic.Load{Running: 10})
	require.InDelta(t, 5, l.Estimate(now.Add(reportTTL/2), newUpstream("a")), 0.01)
	require.Zero(t, l.Estimate(now.Add(2*reportTTL), newUpstream("a")))
}

func TestUnusedUpstreamsAreRemoved(t *testing.T) {
	l, now := NewLoads(), time.Unix(100, 0)
	l.Begin(now, newUpstream("busy"))
	l.Record(now, newUpstream("idle"), traffic.Load{Running: 10})
	l.RemoveUnused(now.Add(2 * unusedTTL))
	require.Len(t, l.byHash, 1)
	require.Equal(t, 1, l.OwnRequests(newUpstream("busy")))
}

func newUpstream(id string) *traffic.Upstream {
	return &traffic.Upstream{ID: id, Hash: traffic.HashID(id)}
}

// The load of an upstream doesn't carry over when it restarts under the same ID, as its
// requests are gone.
func TestRestartedUpstreamHasNoLoad(t *testing.T) {
	l, now := NewLoads(), time.Unix(100, 0)
	before, after := newUpstream("a"), newUpstream("a")
	before.Incarnation, after.Incarnation = 1000, 2000
	l.Begin(now, before)
	l.Record(now, before, traffic.Load{Running: 10})
	require.Zero(t, l.Estimate(now, after))
	l.End(now, before)
	require.Zero(t, l.Estimate(now, after))
}

// A plan's loads are older than the plan by planLag and count until the upstream reports a newer
// one.
func TestPlannedLoads(t *testing.T) {
	l, now := NewLoads(), time.Unix(100, 0)
	computedAt := now.Add(planLag)
	l.Record(now, newUpstream("a"), traffic.Load{Running: 4})
	l.applyPlan(computedAt.Add(-1), newUpstream("a"), 9)
	l.applyPlan(computedAt, newUpstream("b"), 5)
	require.InDelta(t, 4, l.Estimate(now, newUpstream("a")), 0.01, "an older load does not replace a newer one")
	require.InDelta(t, 5, l.Estimate(now, newUpstream("b")), 0.01)
	l.Record(now.Add(1), newUpstream("b"), traffic.Load{Running: 2})
	require.InDelta(t, 2, l.Estimate(now, newUpstream("b")), 0.01)
	full := &traffic.Upstream{ID: "c", Hash: traffic.HashID("c"), Slots: 8}
	l.applyPlan(computedAt, full, 11)
	require.Equal(t, Backlog{Running: 8, Waiting: 3, HadQueue: true}, l.Backlog(now, full))
}

func TestOwnRequestsInProgress(t *testing.T) {
	l, now := NewLoads(), time.Unix(100, 0)
	l.Begin(now, newUpstream("a"))
	l.Begin(now, newUpstream("a"))
	l.Begin(now, newUpstream("b"))
	l.End(now, newUpstream("b"))
	l.Record(now, newUpstream("c"), traffic.Load{Running: 4})
	require.Equal(t, map[uint32]int{newUpstream("a").ShortHash() & WireHashMask: 2}, l.InProgress())
}
