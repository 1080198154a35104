package fleet

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"jackdawhinge/jackdawd/internal/placement"
)

const (
	// maxOvercountRatio is how many times over requests may be counted while hosts join and leave.
	// With an overcount of a quarter, an engine at the bound of twice the mean stays below twice
	// the true mean plus three requests, up to a mean of twelve.
	maxOvercountRatio = 1.25
	// settleTime is how long after the loss of many hosts their requests may still be counted:
	// their parents have to miss one call from each.
	settleTime = 1500 * time.Millisecond
	requestKey = 7 << 33
)

// countedAtRoot returns the number of requests counted by the root of the region, or the highest
// number if several hosts consider themselves the root.
func (f *testFleet) countedAtRoot() int {
	highest := 0
	for _, p := range f.running {
		if _, hasParent := p.source.directory.ExchangeParent(time.Now()); !hasParent {
			highest = max(highest, p.source.inProgress(time.Now()).Prompts[placement.PromptHash(requestKey)])
		}
	}
	return highest
}

// beginRequest starts a request that does not end.
func (p *process) beginRequest() { p.source.options.Plans.(*placement.Balancer).Begin(requestKey) }

// startWithRequest restarts a host and starts a request on it.
func (f *testFleet) startWithRequest(n int) {
	f.start(n, false)
	f.running[fmt.Sprintf("entry-%d", n)].beginRequest()
}

// maxOvercount samples for the given time and returns the highest ratio of counted to actual
// requests.
func (f *testFleet) maxOvercount(duration time.Duration) float64 {
	const interval = 50 * time.Millisecond
	highest := 0.0
	for range duration / interval {
		time.Sleep(interval)
		highest = max(highest, float64(f.countedAtRoot())/float64(len(f.running)))
	}
	return highest
}

// Guards against requests counted at two hosts after a parent change. Hosts are restarted one by
// one, then half of them lose power and come back, and each change moves hosts to other parents.
// Requests once stayed counted at the old parent for 2.4 s: the root counted 4,361 requests for
// 1,441. The mean load, and with it the bound up to which engines are filled, was too high by as
// much, and 6 in 100 requests reached engines above twice the true mean.
func TestRequestsAreCountedOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newTestFleet(t)
		defer f.stop()
		f.startAll(true)
		f.waitUntilInitialized()
		time.Sleep(5 * time.Second)
		for _, p := range f.running {
			p.beginRequest()
		}
		time.Sleep(2 * time.Second)
		require.InDelta(t, 1, f.maxOvercount(time.Second), 0.02)
		for n := range 20 {
			f.kill(fmt.Sprintf("entry-%d", n))
			require.LessOrEqual(t, f.maxOvercount(500*time.Millisecond), maxOvercountRatio, "host %d is gone", n)
			f.startWithRequest(n)
			require.LessOrEqual(t, f.maxOvercount(500*time.Millisecond), maxOvercountRatio, "host %d is back", n)
		}
		for n := range fleetSize / 2 {
			f.kill(fmt.Sprintf("entry-%d", 2*n))
		}
		time.Sleep(settleTime)
		require.LessOrEqual(t, f.maxOvercount(2*time.Second), maxOvercountRatio, "half are gone")
		for n := range fleetSize / 2 {
			f.startWithRequest(2 * n)
		}
		require.LessOrEqual(t, f.maxOvercount(3*time.Second), maxOvercountRatio, "half are back")
	})
}
