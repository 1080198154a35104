package entry

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"jackdawhinge/platform/standin"
	"jackdawhinge/standin/network"
)

// brittleLoads are the loads under which brittle services must stay up: 18 slots of 60 ms serve 300
// requests per second.
var brittleLoads = map[string]struct {
	hosts, perSecond, limit int
	// dead is the number of hosts that stop answering other hosts before the load rises.
	dead int
}{
	"usual, few hosts":            {hosts: 6, perSecond: 60, limit: 3},
	"most of capacity, few hosts": {hosts: 6, perSecond: 240, limit: 5},
	"usual, many hosts":           {hosts: 24, perSecond: 60, limit: 5},
	"overload, few hosts":         {hosts: 6, perSecond: 600, limit: 5},
	"overload, many hosts":        {hosts: 24, perSecond: 600, limit: 5},
	"overload, 60 hosts":          {hosts: 60, perSecond: 600, limit: 3},
	"overload, hosts die":         {hosts: 24, perSecond: 600, limit: 5, dead: 8},
	"overload, low limit":         {hosts: 8, perSecond: 450, limit: 2},
}

// Upstreams that say that they fall over if they reject too many requests must not be made to.
func TestBrittleUpstreamsStayUp(t *testing.T) {
	for name, test := range brittleLoads {
		t.Run(name, func(t *testing.T) {
			falls, upstreams, _, _ := playBrittleServices(t, test.hosts, test.perSecond, test.limit, test.dead)
			require.LessOrEqual(t, falls, 2+upstreams/10)
		})
	}
}

// Hosts that spare brittle upstreams must not refuse what these could serve.
func TestCallersOfBrittleUpstreamsAreServed(t *testing.T) {
	for name, test := range brittleLoads {
		t.Run(name, func(t *testing.T) {
			_, _, served, sent := playBrittleServices(t, test.hosts, test.perSecond, test.limit, test.dead)
			capacity := int(brittleCapacity * overloadDuration.Seconds())
			t.Logf("%d of %d", served, sent)
			require.GreaterOrEqual(t, float64(served), minServedRatio*float64(min(sent, capacity)), "%d of %d", served, sent)
		})
	}
}

const (
	// brittleCapacity is how many requests three services of six slots and 60 ms serve per second.
	brittleCapacity  = 300
	slowServiceTime  = 60 * time.Millisecond
	slowServiceSlots = 6
	overloadDuration = 6 * time.Second
	// minServedRatio is what operators ask for at least, of what can be served.
	minServedRatio = 0.4
)

// playBrittleServices sends services that become brittle a number of requests per second.
func playBrittleServices(t *testing.T, hosts, perSecond, limit, dead int) (falls, upstreams, served, sent int) {
	t.Helper()
	runFleet(t, hosts, func(_ *testing.T, f *testFleet) {
		services := f.slowServices()
		f.callAll(2*time.Second, 100*time.Millisecond)
		for _, r := range services {
			r.SetBrittle(limit)
		}
		f.sendScans(stable, 60)
		for _, h := range f.hosts[:dead] {
			f.net.SetFault(h.peerAddress, network.Frozen)
		}
		served, sent = f.sendScans(overloadDuration, perSecond)
		for _, r := range services {
			falls += r.Falls()
		}
		upstreams = len(services)
	})
	return falls, upstreams, served, sent
}

// slowServices makes the services take slowServiceTime for each request and run only slowServiceSlots at a
// time.
func (f *testFleet) slowServices() []*standin.Runner {
	var services []*standin.Runner
	f.store.mu.Lock()
	defer f.store.mu.Unlock()
	for i, u := range f.store.upstreams {
		if u.Pool != "mailbox" {
			continue
		}
		f.store.upstreams[i].Slots = slowServiceSlots
		f.store.upstreams[i].Sequence++
		f.runners[u.ID].SetServiceTime(slowServiceTime)
		f.runners[u.ID].SetSlots(slowServiceSlots)
		services = append(services, f.runners[u.ID])
	}
	return services
}

// sendScans sends requests at a rate, to the hosts in turn, and returns how many were served.
func (f *testFleet) sendScans(d time.Duration, perSecond int) (served, sent int) {
	var mu sync.Mutex
	var calls sync.WaitGroup
	for start := time.Now(); time.Since(start) < d; time.Sleep(time.Second / time.Duration(perSecond)) {
		h, id := f.hosts[sent%len(f.hosts)], fmt.Sprintf("scan-%d", time.Since(f.start).Microseconds())
		sent++
		calls.Go(func() {
			if f.call(f.t.Context(), h, "scan", id) == "" {
				mu.Lock()
				defer mu.Unlock()
				served++
			}
		})
	}
	calls.Wait()
	return served, sent
}
