package entry

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"jackdawhinge/standin/network"
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
				services := f.slowServices()
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

// Guards against hosts that keep less than they may use because the one that got most callers is gone.
func TestHostWithMostNewConnectionsGoesAway(t *testing.T) {
	for name, leave := range map[string]func(f *testFleet, h *testHost){
		"killed": func(f *testFleet, h *testHost) {
			f.net.Kill(h.callerAddress)
			f.net.Kill(h.peerAddress)
		},
		"frozen":  func(f *testFleet, h *testHost) { f.net.SetFault(h.peerAddress, network.Frozen) },
		"drained": func(_ *testFleet, h *testHost) { h.handler.Drain(time.Now()) },
	} {
		t.Run(name, func(t *testing.T) {
			runFleet(t, 8, func(t *testing.T, f *testFleet) {
				for _, r := range f.slowServices() {
					r.SetBrittle(3)
				}
				before := f.sendSkewed(evenDuration, 100, 60, 0)
				f.sendSkewed(2*stable, 100, 60, 0.95)
				leave(f, f.hosts[0])
				f.hosts[0].isDown = true
				f.sendSkewed(stable, 100, 60, 0.95)
				after := f.sendSkewed(skewDuration, 100, 60, 0.95)
				t.Logf("before %d of %d, after %d of %d %v", before.served, before.sent, after.served, after.sent, after.failures)
				require.GreaterOrEqual(t, after.servedRatio(), minSkewServedRatio*before.servedRatio())
				f.requireRunOnce()
			})
		})
	}
}

// simulatedProcessor is a host's processor with a backlog of work. It has no work unless a test adds some.
type simulatedProcessor struct {
	mu      sync.Mutex
	backlog time.Duration
	addedAt time.Time
}

// work adds work to the backlog.
func (p *simulatedProcessor) work(d time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.backlog = max(p.backlog-time.Since(p.addedAt), 0) + d
	p.addedAt = time.Now()
}

// schedulingDelay returns how long new work waits.
func (p *simulatedProcessor) schedulingDelay() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return max(p.backlog-time.Since(p.addedAt), 0)
}

// Guards against a host that gets most new connections, has no processor time left and refuses requests
// that it has read, while the other hosts are idle.
func TestHostWithMostNewConnectionsAndNoProcessorTime(t *testing.T) {
	const scansPerSecond, digestsPerSecond = 100, 60
	for name, hosts := range map[string]int{"few hosts": 8, "many hosts": 40} {
		t.Run(name, func(t *testing.T) {
			runFleet(t, hosts, func(t *testing.T, f *testFleet) {
				f.slowServices()
				before := f.sendBusy(evenDuration, scansPerSecond, digestsPerSecond, 0)
				f.sendBusy(stable, scansPerSecond, digestsPerSecond, 0.95)
				skewed := f.sendBusy(skewDuration, scansPerSecond, digestsPerSecond, 0.95)
				t.Logf("before %d of %d, skewed %d of %d %v", before.served, before.sent, skewed.served, skewed.sent, skewed.failures)
				require.GreaterOrEqual(t, skewed.servedRatio(), minSkewServedRatio*before.servedRatio())
				require.Positive(t, f.hosts[0].conns.refusedCount())
				f.requireRunOnce()
			})
		})
	}
}

const (
	// readWork is a processor's work for a request, readRefusalWork for one that is refused, and refusedWork
	// for a connection that is closed unread.
	readWork        = 12 * time.Millisecond
	readRefusalWork = 3 * time.Millisecond
	refusedWork     = 500 * time.Microsecond
)

// sendBusy is sendSkewed by callers with a new connection for each request, to hosts whose processors have
// work with each. Callers try another host if one closes a connection unread.
func (f *testFleet) sendBusy(d time.Duration, scansPerSecond, digestsPerSecond int, skew float64) *callCounts {
	for _, h := range f.hosts {
		h.client.Transport.(*http.Transport).DisableKeepAlives = true
	}
	return f.sendTo(d, scansPerSecond, digestsPerSecond, skew, func(h *testHost, route, id string) string {
		for n := range f.hosts {
			before := h.conns.refusedCount()
			result := f.call(f.t.Context(), h, route, id)
			if result != "no response" || h.conns.refusedCount() == before {
				if strings.Contains(result, "processor time") {
					h.processor.work(readRefusalWork)
				} else {
					h.processor.work(readWork)
				}
				return result
			}
			h.processor.work(refusedWork)
			h = f.hosts[(n+len(id)+1)%len(f.hosts)]
		}
		return "refused by all hosts"
	})
}

// servedRatio returns the part of the requests that were served.
func (c *callCounts) servedRatio() float64 { return float64(c.served) / float64(max(c.sent, 1)) }

// sendSkewed sends requests at a rate, a part of them to one host and the rest to all in turn.
func (f *testFleet) sendSkewed(d time.Duration, scansPerSecond, digestsPerSecond int, skew float64) *callCounts {
	return f.sendTo(d, scansPerSecond, digestsPerSecond, skew, func(h *testHost, route, id string) string {
		return f.call(f.t.Context(), h, route, id)
	})
}

// sendTo sends requests at a rate with call, a part of them to one host and the rest to all in turn.
func (f *testFleet) sendTo(d time.Duration, scansPerSecond, digestsPerSecond int, skew float64, call func(h *testHost, route, id string) string) *callCounts {
	counts, calls := &callCounts{failures: map[string]int{}}, sync.WaitGroup{}
	send := func(route string, perSecond int) {
		n := 0
		for start := time.Now(); time.Since(start) < d; time.Sleep(time.Second / time.Duration(perSecond)) {
			h := f.hosts[n%len(f.hosts)]
			if float64(n%100) < 100*skew {
				h = f.hosts[0]
			}
			if h.isDown {
				h = f.hosts[1]
			}
			n++
			id := fmt.Sprintf("%s-%d", route, time.Since(f.start).Microseconds())
			calls.Go(func() { counts.add(call(h, route, id)) })
		}
	}
	calls.Go(func() { send("scan", scansPerSecond) })
	calls.Go(func() { send("digest", digestsPerSecond) })
	calls.Wait()
	return counts
}
