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
	// mostTooMany is how many times the requests that there are may be counted while hosts come
	// and go: with a quarter more an engine that has the bound of twice the mean is still
	// inside twice the mean and three requests, up to a mean of twelve.
	mostTooMany = 1.25
	// settledAfter is how long after many hosts are lost their requests may still be counted: the
	// hosts that they told have to miss a call of theirs.
	settledAfter = 1500 * time.Millisecond
	countedKey   = 7 << 33
)

// counted returns how many requests the region's first host counts; the highest number if several
// hosts take themselves for it.
func (f *hosts) counted() int {
	most := 0
	for _, p := range f.running {
		if _, follows := p.source.directory.ExchangeParent(time.Now()); !follows {
			most = max(most, p.source.inProgress(time.Now()).Prompts[placement.PromptHash(countedKey)])
		}
	}
	return most
}

// takeRequest lets a host have a request that does not end.
func (p *process) takeRequest() { p.source.options.Plans.(*placement.Balancer).Begin(countedKey) }

// startWithRequest starts a host again, which then has a request.
func (f *hosts) startWithRequest(n int) {
	f.start(n, false)
	f.running[fmt.Sprintf("entry-%d", n)].takeRequest()
}

// mostCounted watches for a while and returns how many times the requests that there are were counted at most.
func (f *hosts) mostCounted(watch time.Duration) float64 {
	const look = 50 * time.Millisecond
	most := 0.0
	for range watch / look {
		time.Sleep(look)
		most = max(most, float64(f.counted())/float64(len(f.running)))
	}
	return most
}

// Hosts are restarted one after the other, then half of them lose power and come back. With each, others
// follow other hosts than before, and what they had told stayed counted at both for 2.4 s: the
// first host took 1,441 requests in progress for 4,361. The mean load that hosts were told was too
// high by as much, and with it the bound up to which they filled engines: 6 requests in a hundred
// reached engines with more than twice the true mean.
func TestRequestsAreCountedOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newHosts(t)
		defer f.end()
		f.startAll(true)
		f.untilAllKnow()
		time.Sleep(5 * time.Second)
		for _, p := range f.running {
			p.takeRequest()
		}
		time.Sleep(2 * time.Second)
		require.InDelta(t, 1, f.mostCounted(time.Second), 0.02)
		for n := range 20 {
			f.kill(fmt.Sprintf("entry-%d", n))
			require.LessOrEqual(t, f.mostCounted(500*time.Millisecond), mostTooMany, "host %d is gone", n)
			f.startWithRequest(n)
			require.LessOrEqual(t, f.mostCounted(500*time.Millisecond), mostTooMany, "host %d is back", n)
		}
		for n := range fleetSize / 2 {
			f.kill(fmt.Sprintf("entry-%d", 2*n))
		}
		time.Sleep(settledAfter)
		require.LessOrEqual(t, f.mostCounted(2*time.Second), mostTooMany, "half are gone")
		for n := range fleetSize / 2 {
			f.startWithRequest(2 * n)
		}
		require.LessOrEqual(t, f.mostCounted(3*time.Second), mostTooMany, "half are back")
	})
}
