package fleet

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var simulatedLoads = map[string]simulatedLoad{
	"calm":             {hosts: 195, engines: 78, rate: 600, duration: 20 * time.Second},
	"hot prompt":       {hosts: 195, engines: 78, rate: 600, hotRatio: 0.1, hotFrom: 12 * time.Second, duration: 20 * time.Second},
	"very hot prompt":  {hosts: 195, engines: 78, rate: 600, hotRatio: 0.15, hotFrom: 12 * time.Second, duration: 20 * time.Second},
	"surge":            {hosts: 195, engines: 78, rate: 600, surgeFactor: 3, surgeFrom: 8 * time.Second, surgeUntil: 14 * time.Second, duration: 20 * time.Second},
	"engines replaced": {hosts: 195, engines: 78, rate: 600, replacedEngines: 12, replacedFrom: 8 * time.Second, replaceInterval: 500 * time.Millisecond, duration: 20 * time.Second},
	"engines replaced after a surge": {
		hosts: 90, engines: 90, rate: 700, surgeFactor: 2, surgeFrom: 6 * time.Second, surgeUntil: 14 * time.Second, surgeKind: new(0),
		replacedEngines: 40, replacedFrom: 4 * time.Second, replaceInterval: 800 * time.Millisecond, duration: 34 * time.Second,
	},
	"a quarter evacuated": {hosts: 87, engines: 140, rate: 690, evacuatedEngines: 35, evacuatedAt: 8 * time.Second, duration: 20 * time.Second},
	"many engines":        {hosts: 87, engines: 60, rate: 560, duration: 20 * time.Second},
	"few hosts":           {hosts: 9, engines: 18, rate: 140, duration: 20 * time.Second},
	"few hosts, hot":      {hosts: 9, engines: 18, rate: 140, hotRatio: 0.3, hotFrom: 12 * time.Second, duration: 20 * time.Second},
	"three hundred hosts": {hosts: 300, engines: 78, rate: 600, hotRatio: 0.1, hotFrom: 12 * time.Second, duration: 20 * time.Second},
}

// Each host of a large fleet sees a few requests per second and receives loads seconds late.
// Prompts are spread unevenly over engines, and one prompt may have many requests. The fraction of
// requests placed on an engine far above the mean load must stay small in any five seconds.
func TestFewRequestsExceedLoadBound(t *testing.T) {
	for name, load := range simulatedLoads {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for seed := range uint64(3) {
				s := newSimulation(load, seed)
				worst := s.run()
				t.Logf("seed %d: worst %.4f, over %v, read %d", seed, worst, s.over, int(s.readTime/time.Millisecond))
				require.Less(t, worst, maxOverRatio)
			}
		})
	}
}

// Short requests jump tenfold. Plans are older than such a request takes, and hosts that all avoid
// one engine may all choose the same other one.
func TestSurgeOfShortRequests(t *testing.T) {
	for _, hosts := range []int{9, 30, 90, 195, 300} {
		for name, lostRatio := range map[string]float64{"": 0, ", a third of the engines lost": 1.0 / 3} {
			t.Run(fmt.Sprintf("%d hosts%s", hosts, name), func(t *testing.T) {
				t.Parallel()
				load := simulatedLoad{hosts: hosts, engines: 84, rate: 600, surgeFactor: 11, surgeKind: new(2), surgeFrom: 8 * time.Second, surgeUntil: 16 * time.Second, duration: 18 * time.Second}
				if hosts < 90 {
					load.engines, load.rate = 18, 140
				}
				load.lostEngines, load.lostAt = int(lostRatio*float64(load.engines)), load.surgeFrom+500*time.Millisecond
				for seed := range uint64(3) {
					s := newSimulation(load, seed)
					worst := s.run()
					t.Logf("seed %d: worst %.4f, over %v, read %d", seed, worst, s.over, int(s.readTime/time.Millisecond))
					require.Less(t, worst, maxOverRatio)
				}
			})
		}
	}
}

// While engines are replaced, plans name all engines and are large, and the plan budget must not
// delay them for long.
func TestPlansReachHostsWhileEnginesAreReplaced(t *testing.T) {
	for name, load := range map[string]simulatedLoad{
		"after a surge": simulatedLoads["engines replaced after a surge"],
		"many hosts":    simulatedLoads["engines replaced"],
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := newSimulation(load, 0)
			s.run()
			require.LessOrEqual(t, s.maxPlanAge, 2*planInterval, "each host gets at least every second plan")
		})
	}
}

// Hosts place by load information whose age depends on the fleet and the machines. Acting together
// on the same old state, they would overload an upstream that was idle then.
func TestLoadBoundWithOldNews(t *testing.T) {
	// This is a third of what operators allow, since real machines add delays of their own.
	const maxRatio = 0.01
	for _, hosts := range []int{9, 30, 87, 195, 300} {
		for _, delay := range []time.Duration{0, 250 * time.Millisecond, 750 * time.Millisecond, 1750 * time.Millisecond} {
			for name, load := range delayedReportLoads(hosts) {
				t.Run(fmt.Sprintf("%s/%d hosts/%s late", name, hosts, delay), func(t *testing.T) {
					t.Parallel()
					load.planDelay = delay
					for seed := range uint64(2) {
						s := newSimulation(load, seed)
						worst := s.run()
						t.Logf("seed %d: worst %.4f, over %v, read %d", seed, worst, s.over, int(s.readTime/time.Millisecond))
						require.Less(t, worst, maxRatio)
					}
				})
			}
		}
	}
}

// delayedReportLoads returns loads of engines and of a plain service, steady and with a surge.
func delayedReportLoads(hosts int) map[string]simulatedLoad {
	engines := simulatedLoad{hosts: hosts, engines: 60, rate: 563, work: articleWorkload, duration: 16 * time.Second}
	service := simulatedLoad{hosts: hosts, engines: 4, rate: 196, work: documentWorkload, duration: 16 * time.Second, withoutPlans: true}
	if hosts < 60 {
		engines.engines, engines.rate = 18, 170
	}
	sameDomain := service
	sameDomain.sameDomainRatio = 0.4
	surge := func(l simulatedLoad, factor float64, kind *int) simulatedLoad {
		l.surgeFactor, l.surgeKind, l.surgeFrom, l.surgeUntil = factor, kind, 6*time.Second, 13*time.Second
		return l
	}
	return map[string]simulatedLoad{
		"engines": engines, "engines, short requests jump": surge(engines, 6, new(1)),
		"service": service, "service, requests jump": surge(service, 2, nil), "service, callers in one domain": sameDomain,
	}
}

// Verifies that the tests above depend on plans: without them hosts exceed the bound.
func TestLoadBoundNeedsPlans(t *testing.T) {
	for _, name := range []string{"hot prompt", "very hot prompt", "three hundred hosts"} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			load := simulatedLoads[name]
			load.withoutPlans = true
			require.Greater(t, newSimulation(load, 0).run(), maxOverRatio)
		})
	}
}

// BenchmarkRequestsOverTheMultiple counts, per thousand requests of usual traffic, those placed on
// an engine above its load bound, and the time spent reading prompts, with and without plans.
func BenchmarkRequestsOverTheMultiple(b *testing.B) {
	for _, hosts := range []int{10, 100, 300} {
		for _, withoutPlans := range []bool{true, false} {
			b.Run(fmt.Sprintf("plan=%t/hosts=%d", !withoutPlans, hosts), func(b *testing.B) {
				over, placed, reads := 0, 0, time.Duration(0)
				for i := range b.N {
					s := newSimulation(simulatedLoad{hosts: hosts, engines: 78, rate: 600, duration: 20 * time.Second, withoutPlans: withoutPlans}, uint64(i))
					s.run()
					for second := range s.placed {
						over, placed = over+s.over[second], placed+s.placed[second]
					}
					reads += s.readTime
				}
				b.ReportMetric(1000*float64(over)/float64(placed), "over/1000")
				b.ReportMetric(reads.Seconds()/float64(b.N), "s-reading")
			})
		}
	}
}

// Guards against requests that collect at upstreams that are silent for a moment, while what hosts know of them stands
// still.
func TestLoadBoundInSilences(t *testing.T) {
	for _, hosts := range []int{9, 87, 300} {
		for name, load := range map[string]simulatedLoad{
			"engines": {engines: 2 * min(hosts, 30), rate: 18.8 * float64(min(hosts, 30)), work: articleWorkload},
			"service": {engines: 8, rate: 392, work: documentWorkload, withoutPlans: true},
		} {
			for _, ratio := range []float64{0.05, 0.2, 0.6} {
				for _, silentFor := range []time.Duration{time.Second, 1500 * time.Millisecond} {
					for often, every := range map[string]time.Duration{"once": 0, "each 3 s": 3 * time.Second} {
						t.Run(fmt.Sprintf("%s/%d hosts/%.2f for %s %s", name, hosts, ratio, silentFor, often), func(t *testing.T) {
							t.Parallel()
							load := load
							load.hosts, load.silentRatio, load.silentFor, load.silentEvery = hosts, ratio, silentFor, every
							load.silentFrom, load.duration = 5*time.Second, 13*time.Second
							worst := newSimulation(load, 1).run()
							t.Logf("worst %.4f", worst)
							require.Less(t, worst, maxOverRatio)
						})
					}
				}
			}
		}
	}
}
