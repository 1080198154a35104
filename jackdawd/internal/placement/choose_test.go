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

func newUpstreams(n int) []*traffic.Upstream {
	var out []*traffic.Upstream
	for i := range n {
		out = append(out, &traffic.Upstream{ID: fmt.Sprintf("engine-%d", i), Pool: "reader", Hash: traffic.HashID(fmt.Sprintf("engine-%d", i)), FailureDomain: fmt.Sprintf("d%d", i%3)})
	}
	return out
}

func newPromptChoice(upstreams []*traffic.Upstream, loads []Load, key uint64) Choice {
	return Choice{Upstreams: upstreams, Loads: loads, Key: key, Cacheable: true, LoadMultiple: 2}
}

// freshLoads returns loads of other hosts' requests with an age of 0.
func freshLoads(requests ...float64) []Load {
	loads := make([]Load, len(requests))
	for i, n := range requests {
		loads[i].Others = n
	}
	return loads
}

func TestChooseWithoutUpstreams(t *testing.T) {
	require.Nil(t, Choose(Choice{}))
}

func TestRequestsOfOnePromptShareAnEngine(t *testing.T) {
	upstreams := newUpstreams(9)
	first := Choose(newPromptChoice(upstreams, make([]Load, 9), 42))
	for random := range uint64(20) {
		c := newPromptChoice(upstreams, make([]Load, 9), 42)
		c.Random = random
		require.Same(t, first, Choose(c))
	}
}

// When an engine leaves, only its own prompts move; all others stay where they are cached.
func TestOnlyPromptsOfRemovedEngineMove(t *testing.T) {
	before, moved := newUpstreams(10), 0
	after := before[1:]
	for key := range uint64(1000) {
		previous := Choose(newPromptChoice(before, make([]Load, 10), xxhash.Sum64String(fmt.Sprint(key))))
		current := Choose(newPromptChoice(after, make([]Load, 9), xxhash.Sum64String(fmt.Sprint(key))))
		if previous != current {
			require.Same(t, before[0], previous)
			moved++
		}
	}
	require.InDelta(t, 100, moved, 40)
}

func TestOverloadedEngineIsSkipped(t *testing.T) {
	upstreams := newUpstreams(4)
	loads := freshLoads(4, 4, 4, 4)
	usual := Choose(newPromptChoice(upstreams, loads, 42))
	for i, u := range upstreams {
		if u == usual {
			loads[i].Others = 30
		}
	}
	other := Choose(newPromptChoice(upstreams, loads, 42))
	require.NotSame(t, usual, other)
	require.Same(t, other, Choose(newPromptChoice(upstreams, loads, 42)), "all requests fall back to the same engine")
}

// One prompt gets a third of all requests, from many hosts that know the loads only from responses.
// Few requests go to an engine above twice the mean.
func TestHotPromptStaysWithinLoadMultiple(t *testing.T) {
	upstreams, now := newUpstreams(18), time.Unix(0, 0)
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
		remaining := open[:0]
		for _, r := range open {
			if r.ends > step {
				remaining = append(remaining, r)
				continue
			}
			actual[r.u.ID]--
			hosts[r.host].End(now, r.u)
		}
		open = remaining
		host, key := step%9, xxhash.Sum64String(fmt.Sprint(step%60))
		if step%3 == 0 {
			key = 7
		}
		u := Choose(newPromptChoice(upstreams, hosts[host].All(now, upstreams), key))
		hosts[host].Begin(now, u)
		actual[u.ID]++
		open = append(open, request{host: host, ends: step + 240, u: u})
		hosts[host].Record(now, u, traffic.Load{Running: actual[u.ID]})
		mean := float64(len(open)) / 18
		placed++
		if float64(actual[u.ID]) > 2*mean+3 {
			over++
		}
	}
	require.Less(t, float64(over)/float64(placed), 0.03)
}

// A prompt whose first engine is full goes to its second one only if that has less than half the
// load. Otherwise it stays, as computing it on the second engine would cost more than the wait.
func TestPromptFallsBackToItsSecondEngineOnly(t *testing.T) {
	upstreams := newUpstreams(6)
	order := rankIndexes(42, upstreams)
	first, second := upstreams[order[0]], upstreams[order[1]]
	for name, test := range map[string]struct {
		loads [2]float64
		full  []*traffic.Upstream
		want  *traffic.Upstream
	}{
		"first has capacity":                 {[2]float64{8, 1}, nil, first},
		"second has less than half the load": {[2]float64{8, 3}, []*traffic.Upstream{first}, second},
		"second has the same load":           {[2]float64{8, 8}, []*traffic.Upstream{first}, first},
		"both are full":                      {[2]float64{8, 3}, []*traffic.Upstream{first, second}, first},
		"other engines have less load":       {[2]float64{8, 7}, []*traffic.Upstream{first, second}, first},
	} {
		t.Run(name, func(t *testing.T) {
			c := newPromptChoice(upstreams, freshLoads(6, 6, 6, 6, 6, 6), 42)
			// A high bound, so that no load exceeds it.
			c.LoadMultiple = 4
			c.Loads[order[0]].Others, c.Loads[order[1]].Others = test.loads[0], test.loads[1]
			c.MaxDelay = 100 * time.Millisecond
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

// If requests wait too long at a prompt's first engine, the prompt goes to its second one even
// though no report shows a queue, unless requests wait too long there as well.
func TestPromptLeavesAStuckEngine(t *testing.T) {
	upstreams := newUpstreams(6)
	order := rankIndexes(42, upstreams)
	first, second := upstreams[order[0]], upstreams[order[1]]
	for name, test := range map[string]struct {
		stuck []*traffic.Upstream
		want  *traffic.Upstream
	}{
		"none":   {nil, first},
		"first":  {[]*traffic.Upstream{first}, second},
		"second": {[]*traffic.Upstream{second}, first},
		"both":   {[]*traffic.Upstream{first, second}, first},
	} {
		t.Run(name, func(t *testing.T) {
			c := newPromptChoice(upstreams, freshLoads(6, 6, 6, 6, 6, 6), 42)
			// A high bound, so that no load exceeds it.
			c.LoadMultiple = 4
			c.Stuck = func(u *traffic.Upstream) bool { return slices.Contains(test.stuck, u) }
			require.Same(t, test.want, Choose(c))
		})
	}
}

// When a surge ends while a plan from before is in force, the mean and thus the limit follow the
// newer reports of the upstreams.
func TestMeanUsesNewestReports(t *testing.T) {
	c := newPromptChoice(newUpstreams(4), freshLoads(5, 5, 5, 9), 42)
	c.Pool, c.Plan = "reader", &LocalPlan{means: map[uint32]float64{PoolHash("reader"): 60}}
	require.InDelta(t, 6, c.Mean(), 0.01)
	for i := range c.Loads {
		c.Loads[i].Age = reportTTL
	}
	require.InDelta(t, 6, c.Mean(), 0.01, "with a plan, reports do not decay")
	c.Plan = nil
	require.Zero(t, c.Mean())
}

// Under the load bound, prompts that are cheap to compute elsewhere leave an engine before
// expensive ones.
func TestCheapPromptsMoveFirst(t *testing.T) {
	upstreams := newUpstreams(6)
	loads := freshLoads(6, 6, 6, 6, 6, 6)
	first := rankIndexes(42, upstreams)[0]
	loads[first] = Load{Others: 14, Age: 500 * time.Millisecond}
	countStaying := func(tokens int) int {
		stay := 0
		for random := range uint64(1000) {
			c := newPromptChoice(upstreams, loads, 42)
			c.SharedTokens, c.MeanDuration, c.Lifetime, c.Random = tokens, 300*time.Millisecond, 700*time.Millisecond, random
			if Choose(c) == upstreams[first] {
				stay++
			}
		}
		return stay
	}
	cheap, expensive := countStaying(200), countStaying(9000)
	require.Less(t, cheap, expensive/2)
	require.Greater(t, cheap, 0, "some stay, so that not all hosts leave at once")
	require.Greater(t, expensive, 700)
}

// At an engine with zero weight, most requests with a long prompt and a short response stay.
func TestExpensivePromptsStayAtEngineWithZeroWeight(t *testing.T) {
	upstreams := newUpstreams(10)
	limited := upstreams[3]
	countStaying := func(tokens int) int {
		stay := 0
		for key := range uint64(2000) {
			c := newPromptChoice(upstreams, make([]Load, 10), xxhash.Sum64String(fmt.Sprint(key)))
			c.SharedTokens, c.MeanDuration = tokens, 300*time.Millisecond
			c.Plan = &LocalPlan{weights: map[uint32]uint8{limited.ShortHash(): 0}}
			if Choose(c) == limited {
				stay++
			}
		}
		return stay
	}
	require.Zero(t, countStaying(0))
	require.InDelta(t, 150, countStaying(9000), 40)
}

// A host whose own requests accumulate at an engine sends part of them elsewhere before the next
// load report shows it.
func TestOwnRequestsReduceAcceptance(t *testing.T) {
	upstreams := newUpstreams(6)
	loads := freshLoads(6, 6, 6, 6, 6, 6)
	first := rankIndexes(42, upstreams)[0]
	countStaying := func(own float64) int {
		loads[first] = Load{Own: own, Others: 6, Age: 600 * time.Millisecond}
		stay := 0
		for random := range uint64(1000) {
			c := newPromptChoice(upstreams, loads, 42)
			c.Hosts, c.Lifetime, c.Random = 87, 700*time.Millisecond, random
			if Choose(c) == upstreams[first] {
				stay++
			}
		}
		return stay
	}
	require.Equal(t, 1000, countStaying(0))
	require.Less(t, countStaying(3), 500)
}

// In a burst, prompts get additional engines, long ones fewer or none: while an engine computes a
// long prompt the requests queued there wait.
func TestLongPromptsGetFewerReplicasInABurst(t *testing.T) {
	upstreams := newUpstreams(20)
	for name, test := range map[string]struct {
		tokens, want int
	}{"short": {700, 4}, "middle": {4000, 2}, "long": {8000, 1}} {
		t.Run(name, func(t *testing.T) {
			engines := map[*traffic.Upstream]bool{}
			for random := range uint64(100) {
				c := newPromptChoice(upstreams, make([]Load, 20), 42)
				c.ReportsLag, c.Hosts, c.SharedTokens, c.MeanDuration, c.Random = true, 300, test.tokens, time.Second, random
				engines[Choose(c)] = true
			}
			require.Len(t, engines, test.want)
		})
	}
}

func BenchmarkChoose(b *testing.B) {
	for _, n := range []int{20, 140, 440, 880} {
		b.Run(fmt.Sprintf("engines=%d", n), func(b *testing.B) {
			upstreams, now := newUpstreams(n), time.Unix(100, 0)
			known, key := NewLoads(), uint64(0)
			for _, u := range upstreams {
				known.Record(now, u, traffic.Load{Running: 64, Waiting: 3, Slots: 64})
			}
			for b.Loop() {
				key++
				c := newPromptChoice(upstreams, known.All(now, upstreams), key)
				c.Delay = func(u *traffic.Upstream) time.Duration { return time.Duration(known.Backlog(now, u).Waiting) }
				Choose(c)
			}
		})
	}
}

// Guards against engines above the load bound while others are idle and lower the mean: prompts are
// spread by load, but for long ones.
func TestPromptsAreSpreadWhileUpstreamsAreIdle(t *testing.T) {
	for name, test := range map[string]struct {
		idleRatio    float64
		sharedTokens int
		engines      int
	}{
		"none idle":                 {0, 700, 1},
		"a few idle":                {0.1, 700, 1},
		"a quarter idle":            {0.25, 700, evenReplicas},
		"a quarter idle, long one":  {0.25, 10_500, 1},
		"three quarters idle":       {0.75, 700, evenReplicas},
		"three quarters, long one":  {0.75, 10_500, 1},
		"a quarter idle, no prompt": {0.25, 0, evenReplicas},
	} {
		t.Run(name, func(t *testing.T) {
			upstreams, used := newUpstreams(30), map[string]bool{}
			for n := range uint64(400) {
				c := newPromptChoice(upstreams, make([]Load, len(upstreams)), 7)
				c.IdleRatio, c.SharedTokens, c.MeanDuration, c.Random = test.idleRatio, test.sharedTokens, time.Second, n*0x9e3779b97f4a7c15
				used[Choose(c).ID] = true
			}
			require.Len(t, used, test.engines)
		})
	}
}
