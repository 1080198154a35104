package placement

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"jackdawhinge/common/traffic"
)

// A request skips a full upstream in its own failure domain. If all are full it is still placed, so
// that the caller learns how long it would wait.
func TestFullServiceUpstreamIsSkipped(t *testing.T) {
	upstreams := newUpstreams(3)
	full := map[string]bool{upstreams[0].ID: true}
	c := Choice{Upstreams: upstreams, Loads: freshLoads(1, 3, 4), FailureDomain: "d0", MaxDelay: time.Millisecond}
	c.Delay = func(u *traffic.Upstream) time.Duration {
		if full[u.ID] {
			return time.Second
		}
		return 0
	}
	for c.Random = range uint64(100) {
		require.Same(t, upstreams[1], Choose(c))
	}
	full[upstreams[1].ID], full[upstreams[2].ID] = true, true
	require.Same(t, upstreams[0], Choose(c))
}

// countChosen returns how often each upstream is chosen.
func countChosen(c Choice, requests int) []int {
	counts := make([]int, len(c.Upstreams))
	for random := range requests {
		c.Random = uint64(random)
		for i, u := range c.Upstreams {
			if u == Choose(c) {
				counts[i]++
			}
		}
	}
	return counts
}

func TestServicePrefersOwnFailureDomain(t *testing.T) {
	c := Choice{Upstreams: newUpstreams(3), Loads: freshLoads(1, 0, 0), FailureDomain: "d0"}
	counts := countChosen(c, 100)
	require.Greater(t, counts[0], 50, "one more request costs less than another failure domain")
	c.Loads = freshLoads(3, 0, 0)
	require.Zero(t, countChosen(c, 100)[0])
}

// With old reports, hosts that all chose the upstream reported as idle would overload it together.
func TestStaleLoadsAreSpreadEvenly(t *testing.T) {
	c := Choice{Upstreams: newUpstreams(4), Loads: freshLoads(8, 8, 0, 8), Lifetime: 100 * time.Millisecond, Hosts: 87}
	require.Equal(t, 1000, countChosen(c, 1000)[2], "fresh reports: the idle upstream")
	for i := range c.Loads {
		c.Loads[i].Age = time.Second
	}
	for _, n := range countChosen(c, 1000) {
		require.InDelta(t, 250, n, 60)
	}
}

// A host's own requests at an upstream indicate requests of others there, so with several hosts the
// upstream is chosen less often.
func TestOwnRequestsRaiseServiceEstimate(t *testing.T) {
	c := Choice{Upstreams: newUpstreams(4), Loads: freshLoads(3, 3, 3, 3), Lifetime: 300 * time.Millisecond}
	for i := range c.Loads {
		c.Loads[i].Age = 200 * time.Millisecond
	}
	c.Loads[2].Own = 1
	singleHost := countChosen(c, 1000)[2]
	c.Hosts = 87
	require.Less(t, countChosen(c, 1000)[2], 2*singleHost/3)
}

func TestFillLevel(t *testing.T) {
	for name, test := range map[string]struct {
		heights []float64
		amount  float64
		want    float64
	}{
		"single":              {[]float64{2}, 3, 5},
		"only the lowest":     {[]float64{5, 1, 9}, 2, 3},
		"the lowest two":      {[]float64{5, 1, 9}, 6, 6},
		"all":                 {[]float64{5, 1, 9}, 15, 10},
		"exactly to the next": {[]float64{5, 1}, 4, 5},
	} {
		t.Run(name, func(t *testing.T) { require.InDelta(t, test.want, fillLevel(test.heights, test.amount), 1e-9) })
	}
}
