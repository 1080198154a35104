package placement

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/stretchr/testify/require"

	"jackdawhinge/common/traffic"
)

func pool(n int) []*traffic.Upstream {
	var out []*traffic.Upstream
	for i := range n {
		out = append(out, &traffic.Upstream{ID: fmt.Sprintf("engine-%d", i), Pool: "reader", Hash: traffic.HashOf(fmt.Sprintf("engine-%d", i)), FailureDomain: fmt.Sprintf("d%d", i%3)})
	}
	return out
}

func cachedChoice(upstreams []*traffic.Upstream, loads []float64, key uint64) Choice {
	return Choice{Upstreams: upstreams, Loads: loads, Key: key, Cached: true, Multiple: 2}
}

// The fewer hosts there are, the more of the load each places and knows itself, and the nearer to the
// multiple it fills engines before prompts move.
func TestBoundByHosts(t *testing.T) {
	for name, test := range map[string]struct {
		hosts int
		want  float64
	}{
		"not known": {0, 0.35},
		"one":       {1, 0.85},
		"eight":     {8, 0.85},
		"sixteen":   {16, 0.6},
		"large":     {200, 0.37},
	} {
		t.Run(name, func(t *testing.T) {
			c := Choice{Upstreams: pool(2), Loads: []float64{10, 10}, Multiple: 2, Hosts: test.hosts}
			require.InDelta(t, 2*test.want*10+boundSlack, c.Bound(), 0.001)
		})
	}
}

func TestNoUpstreamIsNoChoice(t *testing.T) {
	require.Nil(t, Choose(Choice{}))
}

func TestRequestsOfOnePromptMeet(t *testing.T) {
	upstreams := pool(9)
	first := Choose(cachedChoice(upstreams, make([]float64, 9), 42))
	for tie := range uint64(20) {
		c := cachedChoice(upstreams, make([]float64, 9), 42)
		c.Tie = tie
		require.Same(t, first, Choose(c))
	}
}

// An engine is replaced. Only the prompts that it had move; all others stay where
// they are cached.
func TestOnlyTheLeaversPromptsMove(t *testing.T) {
	before, moved := pool(10), 0
	after := before[1:]
	for key := range uint64(1000) {
		was := Choose(cachedChoice(before, make([]float64, 10), xxhash.Sum64String(fmt.Sprint(key))))
		is := Choose(cachedChoice(after, make([]float64, 9), xxhash.Sum64String(fmt.Sprint(key))))
		if was != is {
			require.Same(t, before[0], was)
			moved++
		}
	}
	require.InDelta(t, 100, moved, 40)
}

func TestFullEngineIsPassedOver(t *testing.T) {
	upstreams := pool(4)
	loads := []float64{4, 4, 4, 4}
	usual := Choose(cachedChoice(upstreams, loads, 42))
	for i, u := range upstreams {
		if u == usual {
			loads[i] = 30
		}
	}
	other := Choose(cachedChoice(upstreams, loads, 42))
	require.NotSame(t, usual, other)
	require.Same(t, other, Choose(cachedChoice(upstreams, loads, 42)), "the prompt's second engine is the same for all")
}

func TestPlainServicePrefersNearUpstreams(t *testing.T) {
	upstreams := pool(3)
	c := Choice{Upstreams: upstreams, Loads: []float64{1, 0, 0}, FailureDomain: "d0"}
	require.Same(t, upstreams[0], Choose(c), "one request more is nearer than another failure domain")
	c.Loads = []float64{3, 0, 0}
	require.NotSame(t, upstreams[0], Choose(c))
}

// One prompt gets a third of all requests at once, from many hosts that know the
// loads only from answers. No engine gets far above twice the mean.
func TestHotPromptStaysInsideTheMultiple(t *testing.T) {
	upstreams, now := pool(18), time.Unix(0, 0)
	actual := map[string]int{}
	hosts := make([]*Loads, 9)
	for i := range hosts {
		hosts[i] = NewLoads()
	}
	type request struct {
		host, ends int
		u          *traffic.Upstream
	}
	var open []request
	over, placed := 0, 0
	for step := range 6000 {
		now = now.Add(5 * time.Millisecond)
		still := open[:0]
		for _, r := range open {
			if r.ends > step {
				still = append(still, r)
				continue
			}
			actual[r.u.ID]--
			hosts[r.host].End(now, r.u)
		}
		open = still
		host, key := step%9, xxhash.Sum64String(fmt.Sprint(step%60))
		if step%3 == 0 {
			key = 7
		}
		u := Choose(cachedChoice(upstreams, hosts[host].All(now, upstreams), key))
		hosts[host].Begin(now, u)
		actual[u.ID]++
		open = append(open, request{host: host, ends: step + 240, u: u})
		hosts[host].Told(now, u, traffic.Load{Running: actual[u.ID]})
		mean := float64(len(open)) / 18
		placed++
		if float64(actual[u.ID]) > 2*mean+3 {
			over++
		}
	}
	require.Less(t, float64(over)/float64(placed), 0.03)
}

// The first engine of a prompt is full. The prompt goes to its second one if that has half
// the load at most; else it stays, as reading it anew would cost the second more than the wait.
func TestPromptGoesToItsSecondEngineOnly(t *testing.T) {
	upstreams := pool(6)
	order := rank(42, upstreams)
	first, second := upstreams[order[0]], upstreams[order[1]]
	for name, test := range map[string]struct {
		loads [2]float64
		full  []*traffic.Upstream
		want  *traffic.Upstream
	}{
		"the first has room":            {[2]float64{8, 1}, nil, first},
		"the second has half the load":  {[2]float64{8, 3}, []*traffic.Upstream{first}, second},
		"the second has as much":        {[2]float64{8, 8}, []*traffic.Upstream{first}, first},
		"both are full":                 {[2]float64{8, 3}, []*traffic.Upstream{first, second}, first},
		"all others are idle, not used": {[2]float64{8, 7}, []*traffic.Upstream{first, second}, first},
	} {
		t.Run(name, func(t *testing.T) {
			c := cachedChoice(upstreams, []float64{6, 6, 6, 6, 6, 6}, 42)
			// No load here is over the bound.
			c.Multiple = 4
			c.Loads[order[0]], c.Loads[order[1]] = test.loads[0], test.loads[1]
			c.Patience = 100 * time.Millisecond
			c.Delay = func(u *traffic.Upstream) time.Duration {
				if slices.Contains(test.full, u) {
					return time.Second
				}
				return 0
			}
			require.Same(t, test.want, Choose(c))
		})
	}
}

// Requests wait at the prompt's first engine for longer than they should, and it has told
// of no crowd. The prompt goes to its second engine, unless they wait there as well.
func TestPromptLeavesAStuckEngine(t *testing.T) {
	upstreams := pool(6)
	order := rank(42, upstreams)
	first, second := upstreams[order[0]], upstreams[order[1]]
	for name, test := range map[string]struct {
		stuck []*traffic.Upstream
		want  *traffic.Upstream
	}{
		"none":       {nil, first},
		"the first":  {[]*traffic.Upstream{first}, second},
		"the second": {[]*traffic.Upstream{second}, first},
		"both":       {[]*traffic.Upstream{first, second}, first},
	} {
		t.Run(name, func(t *testing.T) {
			c := cachedChoice(upstreams, []float64{6, 6, 6, 6, 6, 6}, 42)
			// No load here is over the bound.
			c.Multiple = 4
			c.Stuck = func(u *traffic.Upstream) bool { return slices.Contains(test.stuck, u) }
			require.Same(t, test.want, Choose(c))
		})
	}
}

// A plain service's nearest upstream is full; the request goes to another one. If all are
// full it is placed all the same, for the caller to be told how long it would wait.
func TestFullUpstreamOfAPlainServiceIsPassedOver(t *testing.T) {
	upstreams := pool(3)
	full := map[string]bool{upstreams[0].ID: true}
	c := Choice{Upstreams: upstreams, Loads: []float64{1, 3, 4}, FailureDomain: "d0", Patience: time.Millisecond}
	c.Delay = func(u *traffic.Upstream) time.Duration {
		if full[u.ID] {
			return time.Second
		}
		return 0
	}
	require.Same(t, upstreams[1], Choose(c))
	full[upstreams[1].ID], full[upstreams[2].ID] = true, true
	require.Same(t, upstreams[0], Choose(c))
}

func BenchmarkChoose(b *testing.B) {
	for _, n := range []int{20, 140, 440, 880} {
		b.Run(fmt.Sprintf("engines=%d", n), func(b *testing.B) {
			upstreams, now := pool(n), time.Unix(100, 0)
			known, key := NewLoads(), uint64(0)
			for _, u := range upstreams {
				known.Told(now, u, traffic.Load{Running: 64, Waiting: 3, Slots: 64})
			}
			for b.Loop() {
				key++
				c := cachedChoice(upstreams, known.All(now, upstreams), key)
				c.Delay = func(u *traffic.Upstream) time.Duration { return time.Duration(known.Backlog(now, u).Waiting) }
				Choose(c)
			}
		})
	}
}
