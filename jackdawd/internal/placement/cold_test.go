package placement

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/time/rate"

	"jackdawhinge/common/traffic"
)

const (
	testColdRate  = 9.3
	testColdStart = 3 * time.Second
)

var testTolerance = ColdTolerance{Overrun: 1.5, Slack: 5}

// coldPolicy decides whether a host may send a request to a cold upstream, and counts those sent.
type coldPolicy interface {
	send(now time.Time, host int, u *traffic.Upstream)
	accepts(now time.Time, host int, u *traffic.Upstream) bool
}

// coldLoad is a load on a pool of which some upstreams are cold.
type coldLoad struct {
	hosts, upstreams, cold int
	// requestsPerSecond of all hosts together; hotShare of them have one prompt.
	requestsPerSecond float64
	hotShare          float64
	seed              uint64
}

// coldOutcome is what cold upstreams and callers see of a load.
type coldOutcome struct {
	// highest is the highest number of requests that a cold upstream gets within any second.
	highest int
	// refusedRatio is the ratio of requests that no upstream may get.
	refusedRatio float64
}

// play places the requests of three seconds.
func (l coldLoad) play(policy coldPolicy) coldOutcome {
	const prompts = 1200
	random := rand.New(rand.NewPCG(l.seed, 1))
	upstreams := newColdUpstreams(l.upstreams)
	weights := make([]float64, l.hosts)
	for i := range weights {
		weights[i] = 0.3 + random.ExpFloat64()
	}
	popularity := rand.NewZipf(random, 1.1, 20, prompts-1)
	arrivals, refused, total := map[string][]time.Time{}, 0, 0
	start := time.Unix(1000, 0)
	for now := start; now.Sub(start) < testColdStart; now = now.Add(time.Duration(random.ExpFloat64() / l.requestsPerSecond * float64(time.Second))) {
		key := popularity.Uint64()
		if random.Float64() < l.hotShare {
			key = prompts
		}
		host := pickWeighted(random, weights)
		usable, ok := l.usable(policy, now, host, upstreams, random)
		if !ok {
			// The caller tries again, at any other host.
			host = (host + 1 + random.IntN(l.hosts-1)) % l.hosts
			usable, ok = l.usable(policy, now, host, upstreams, random)
		}
		total++
		if !ok {
			refused++
			continue
		}
		choice := Choice{Upstreams: upstreams, Loads: make([]Load, len(upstreams)), Usable: usable, Key: key * 0x9e3779b97f4a7c15, Cacheable: true, LoadMultiple: 2, Random: random.Uint64(), Hosts: l.hosts}
		u := Choose(choice)
		if isColdHere(u, l.cold) {
			policy.send(now, host, u)
			arrivals[u.ID] = append(arrivals[u.ID], now)
		}
	}
	return coldOutcome{highest: highestPerSecond(arrivals), refusedRatio: float64(refused) / float64(total)}
}

func (l coldLoad) usable(policy coldPolicy, now time.Time, host int, upstreams []*traffic.Upstream, random *rand.Rand) ([]bool, bool) {
	t := NewTemperature(upstreams, func(u *traffic.Upstream) bool { return isColdHere(u, l.cold) }, func(u *traffic.Upstream) bool { return policy.accepts(now, host, u) })
	return t.Usable(2, random.Float64())
}

func newColdUpstreams(n int) []*traffic.Upstream {
	upstreams := make([]*traffic.Upstream, n)
	for i := range upstreams {
		id := fmt.Sprint("i-", i)
		upstreams[i] = &traffic.Upstream{ID: id, Hash: traffic.HashID(id), Slots: i}
	}
	return upstreams
}

// isColdHere reports whether an upstream is among the first n, which are cold.
func isColdHere(u *traffic.Upstream, n int) bool { return u.Slots < n }

func pickWeighted(random *rand.Rand, weights []float64) int {
	sum := 0.0
	for _, w := range weights {
		sum += w
	}
	at := random.Float64() * sum
	for i, w := range weights {
		if at -= w; at < 0 {
			return i
		}
	}
	return len(weights) - 1
}

func highestPerSecond(arrivals map[string][]time.Time) int {
	highest := 0
	for _, times := range arrivals {
		first := 0
		for i, at := range times {
			for at.Sub(times[first]) >= time.Second {
				first++
			}
			highest = max(highest, i-first+1)
		}
	}
	return highest
}

// unlimited sends to cold upstreams like to others.
type unlimited struct{}

func (unlimited) accepts(time.Time, int, *traffic.Upstream) bool { return true }

func (unlimited) send(time.Time, int, *traffic.Upstream) {}

// avoiding sends nothing to cold upstreams.
type avoiding struct{}

func (avoiding) accepts(time.Time, int, *traffic.Upstream) bool { return false }

func (avoiding) send(time.Time, int, *traffic.Upstream) {}

// equalShares gives each host the same share of each cold upstream.
type equalShares struct {
	hosts    int
	limiters map[string]*rate.Limiter
}

func (p equalShares) accepts(now time.Time, host int, u *traffic.Upstream) bool {
	return p.limiter(host, u).TokensAt(now) >= 1
}

func (p equalShares) send(now time.Time, host int, u *traffic.Upstream) {
	p.limiter(host, u).AllowN(now, 1)
}

func (p equalShares) limiter(host int, u *traffic.Upstream) *rate.Limiter {
	key := fmt.Sprint(host, u.ID)
	if p.limiters[key] == nil {
		p.limiters[key] = rate.NewLimiter(rate.Limit(testColdRate/float64(p.hosts)), 1)
	}
	return p.limiters[key]
}

// drawing accepts with the probability that brings the fleet's expected rate at each cold upstream
// to four standard deviations below the limit, by the host's own rate in the last second.
type drawing struct {
	load   coldLoad
	random *rand.Rand
	recent map[int][]time.Time
}

func (p drawing) accepts(_ time.Time, host int, _ *traffic.Upstream) bool {
	return p.accepted(host)
}

func (p drawing) send(now time.Time, host int, _ *traffic.Upstream) {
	p.recent[host] = slices.DeleteFunc(append(p.recent[host], now), func(at time.Time) bool { return now.Sub(at) > time.Second })
}

func (p drawing) accepted(host int) bool {
	const deviations = 4
	limit := testTolerance.limit(testColdRate)
	target := limit + deviations*deviations/2 - deviations*math.Sqrt(limit+deviations*deviations/4)
	expected := float64(len(p.recent[host])*p.load.hosts) / float64(p.load.cold)
	return p.random.Float64() < target/max(expected, target)
}

// fewSenders is the limiter of each host.
type fewSenders []*ColdLimiter

func (p fewSenders) accepts(now time.Time, host int, u *traffic.Upstream) bool {
	return p[host].Accepts(now, u, testColdRate)
}

func (p fewSenders) send(now time.Time, host int, u *traffic.Upstream) {
	p[host].Take(now, u, testColdRate)
}

// newFewSenders returns the limiters of hosts; those with an odd number lack some hosts in their
// lists.
func newFewSenders(hosts int, lackedRatio float64) fewSenders {
	var all, some []string
	for i := range hosts {
		all = append(all, fmt.Sprint("entry-", i))
		if i >= int(lackedRatio*float64(hosts)) {
			some = append(some, all[i])
		}
	}
	var limiters fewSenders
	for i := range hosts {
		known := all
		if i%2 == 1 && len(some) > 0 {
			known = some
		}
		limiters = append(limiters, NewColdLimiter(all[i], func() []string { return known }, func() ColdTolerance { return testTolerance }))
	}
	return limiters
}

// Guards against cold upstreams that get more requests from all hosts together than they bear,
// however the requests, the hosts' lists of each other and the cold upstreams are distributed.
func TestColdUpstreamsGetNoMoreThanTheyBear(t *testing.T) {
	for _, hosts := range []int{9, 30, 86, 300} {
		for name, cold := range map[string]func(upstreams int) int{
			"one cold":     func(int) int { return 1 },
			"a quarter":    func(n int) int { return n / 4 },
			"most":         func(n int) int { return n * 4 / 5 },
			"all are cold": func(n int) int { return n },
		} {
			for _, hotShare := range []float64{0, 0.3} {
				t.Run(fmt.Sprintf("%d hosts, %s, hot %.1f", hosts, name, hotShare), func(t *testing.T) {
					t.Parallel()
					upstreams := max(hosts*3/2, 10)
					load := coldLoad{hosts: hosts, upstreams: upstreams, cold: cold(upstreams), requestsPerSecond: 14 * float64(upstreams), hotShare: hotShare, seed: uint64(hosts)}
					got := load.play(newFewSenders(hosts, 0.15))
					require.LessOrEqual(t, float64(got.highest), testTolerance.limit(testColdRate))
				})
			}
		}
	}
}

// Guards against silence towards cold upstreams while requests are refused: a fleet that has
// restarted whole serves at once about as much as it bears.
func TestColdFleetServes(t *testing.T) {
	for _, hosts := range []int{9, 30, 86, 300} {
		t.Run(fmt.Sprintf("%d hosts", hosts), func(t *testing.T) {
			t.Parallel()
			upstreams := hosts * 3 / 2
			load := coldLoad{hosts: hosts, upstreams: upstreams, cold: upstreams, requestsPerSecond: 4.9 * float64(upstreams), seed: uint64(hosts)}
			require.Less(t, load.play(newFewSenders(hosts, 0)).refusedRatio, 0.1)
		})
	}
}

// Guards against requests to cold upstreams while enough warm ones accept them.
func TestColdUpstreamsGetNothingWhileEnoughAreWarm(t *testing.T) {
	load := coldLoad{hosts: 86, upstreams: 140, cold: 35, requestsPerSecond: 700, seed: 1}
	require.Zero(t, load.play(newFewSenders(86, 0)).highest)
}

// Guards against a host that knows no other hosts and takes itself for the only sender.
func TestNoSenderWithoutHostList(t *testing.T) {
	l := NewColdLimiter("entry-1", func() []string { return nil }, func() ColdTolerance { return testTolerance })
	u := newColdUpstreams(1)[0]
	require.False(t, l.Accepts(time.Now(), u, testColdRate))
	require.False(t, l.Take(time.Now(), u, testColdRate))
}

func TestColdShare(t *testing.T) {
	for name, test := range map[string]struct {
		warm, cold int
		share      float64
	}{
		"none cold":    {10, 0, 0},
		"a third cold": {20, 10, 0},
		"half cold":    {10, 10, 0.25},
		"most cold":    {10, 30, 0.625},
		"all cold":     {0, 10, 1},
	} {
		t.Run(name, func(t *testing.T) {
			require.InDelta(t, test.share, coldShare(test.warm, test.cold, 2), 1e-9)
		})
	}
}

// BenchmarkColdUpstreams compares ways to limit the requests to cold upstreams: the highest number
// of requests that one gets within a second, and the ratio of refused requests.
func BenchmarkColdUpstreams(b *testing.B) {
	const hosts, upstreams = 86, 140
	for loadName, load := range map[string]coldLoad{
		"a quarter": {cold: upstreams / 4}, "most, one prompt hot": {cold: upstreams * 4 / 5, hotShare: 0.15}, "all": {cold: upstreams}, "all, one prompt hot": {cold: upstreams, hotShare: 0.15},
	} {
		load.hosts, load.upstreams, load.requestsPerSecond, load.seed = hosts, upstreams, 690, 1
		for name, policy := range map[string]func() coldPolicy{
			"unlimited":    func() coldPolicy { return unlimited{} },
			"avoid":        func() coldPolicy { return avoiding{} },
			"equal shares": func() coldPolicy { return equalShares{hosts, map[string]*rate.Limiter{}} },
			"draw":         func() coldPolicy { return drawing{load, rand.New(rand.NewPCG(1, 2)), map[int][]time.Time{}} },
			"few senders":  func() coldPolicy { return newFewSenders(hosts, 0) },
		} {
			b.Run(loadName+"/"+name, func(b *testing.B) {
				var got coldOutcome
				for b.Loop() {
					got = load.play(policy())
				}
				b.ReportMetric(float64(got.highest), "requests/s")
				b.ReportMetric(got.refusedRatio, "refused")
			})
		}
	}
}
