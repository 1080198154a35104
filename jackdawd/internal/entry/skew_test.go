package entry

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const (
	// evenDuration is how long callers are spread over all hosts before most of them come to one, and
	// skewDuration how long they do then.
	evenDuration = 6 * time.Second
	skewDuration = 9 * time.Second
	// minSkewServedRatio is the part of the requests served at the first attempt before that must be
	// served then.
	minSkewServedRatio = 0.75
)

// skewedLoads are the loads of which one host gets almost all.
var skewedLoads = map[string]struct {
	hosts, scansPerSecond, digestsPerSecond int
	// brittle is how many rejections a second the services bear; 0 if they are not brittle.
	brittle int
	// surge is how many times the usual requests callers send to the one host.
	surge int
}{
	"few hosts":                       {hosts: 8, scansPerSecond: 100, digestsPerSecond: 60, surge: 1},
	"few hosts, brittle services":     {hosts: 8, scansPerSecond: 100, digestsPerSecond: 60, brittle: 3, surge: 1},
	"many hosts":                      {hosts: 40, scansPerSecond: 100, digestsPerSecond: 60, surge: 1},
	"many hosts, brittle services":    {hosts: 40, scansPerSecond: 100, digestsPerSecond: 60, brittle: 3, surge: 1},
	"few hosts, more new connections": {hosts: 8, scansPerSecond: 80, digestsPerSecond: 40, surge: 2},
}

// Guards against a host that refuses requests for its small share of what all hosts may use, while it
// gets almost all of them.
func TestOneHostGetsMostNewConnections(t *testing.T) {
	for name, test := range skewedLoads {
		t.Run(name, func(t *testing.T) {
			runFleet(t, test.hosts, func(t *testing.T, f *testFleet) {
				services := f.slowServices(60*time.Millisecond, 6)
				for _, r := range services {
					r.SetBrittle(test.brittle)
				}
				f.sendSkewed(stable, test.scansPerSecond, test.digestsPerSecond, 0)
				before := f.sendSkewed(evenDuration, test.scansPerSecond, test.digestsPerSecond, 0)
				f.sendSkewed(stable, test.surge*test.scansPerSecond, test.surge*test.digestsPerSecond, 0.95)
				skewed := f.sendSkewed(skewDuration, test.surge*test.scansPerSecond, test.surge*test.digestsPerSecond, 0.95)
				t.Logf("before %d of %d, skewed %d of %d %v", before.served, before.sent, skewed.served, skewed.sent, skewed.failures)
				require.GreaterOrEqual(t, skewed.servedRatio(), minSkewServedRatio*before.servedRatio())
				f.requireRunOnce()
			})
		})
	}
}

// servedRatio returns the part of the requests that were served.
func (c *callCounts) servedRatio() float64 { return float64(c.served) / float64(max(c.sent, 1)) }

// sendSkewed sends requests at a rate, a part of them to one host and the rest to all in turn.
func (f *testFleet) sendSkewed(d time.Duration, scansPerSecond, digestsPerSecond int, skew float64) *callCounts {
	counts, calls := &callCounts{failures: map[string]int{}}, sync.WaitGroup{}
	send := func(route string, perSecond int) {
		n := 0
		for start := time.Now(); time.Since(start) < d; time.Sleep(time.Second / time.Duration(perSecond)) {
			h := f.hosts[n%len(f.hosts)]
			if float64(n%100) < 100*skew {
				h = f.hosts[0]
			}
			n++
			id := fmt.Sprintf("%s-%d", route, time.Since(f.start).Microseconds())
			calls.Go(func() { counts.add(f.call(f.t.Context(), h, route, id)) })
		}
	}
	calls.Go(func() { send("scan", scansPerSecond) })
	calls.Go(func() { send("digest", digestsPerSecond) })
	calls.Wait()
	return counts
}
