package entry

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"jackdawhinge/standin/network"
)

// losePower ends all processes at the same moment, without a shutdown, and starts others.
func (f *testFleet) losePower() {
	for _, h := range f.hosts {
		f.net.Kill(h.callerAddress)
		f.net.Kill(h.peerAddress)
		h.client.CloseIdleConnections()
	}
	registrations := f.store.copyRegistrations()
	for _, h := range f.hosts {
		// The servers of a test's hosts were never started.
		_ = h.close(time.Now().Add(time.Second))
	}
	// A process without power removes no registration.
	f.store.setRegistrations(registrations)
	hosts := len(f.hosts)
	f.hosts = nil
	for i := range hosts {
		f.hosts = append(f.hosts, f.newHost(i, false))
	}
}

// All hosts lose power together, as at the end of a day with lost disks. They keep nothing
// themselves, and must serve again with the newest configuration.
func TestAllHostsLosePowerTogether(t *testing.T) {
	runFleet(t, 6, func(t *testing.T, f *testFleet) {
		f.callAll(time.Second, 100*time.Millisecond)
		f.store.setConfiguration(fleetConfiguration(8))
		f.losePower()
		time.Sleep(stable)
		for host, counts := range f.callAll(3*time.Second, 100*time.Millisecond) {
			require.Equal(t, counts.sent, counts.served, "%s: %v", host, counts.failures)
		}
		for _, h := range f.hosts {
			require.EqualValues(t, 8, h.tracker.Snapshot().Configuration().Version())
		}
		f.requireRunOnce()
	})
}

// A host that starts while it is cut off from the upstreams has never reached them, and must serve
// all the same.
func TestHostStartsCutOffFromUpstreams(t *testing.T) {
	for _, how := range []network.Cut{network.Hang, network.Reset, network.Refuse} {
		t.Run(string(how), func(t *testing.T) {
			runFleet(t, 6, func(t *testing.T, f *testFleet) {
				for _, i := range []int{0, 2, 4} {
					f.cut(f.hosts[i], "", how)
				}
				f.losePower()
				time.Sleep(stable)
				f.callAll(stable, 100*time.Millisecond)
				for host, counts := range f.callAll(3*time.Second, 100*time.Millisecond) {
					require.GreaterOrEqual(t, 50*counts.served, 49*counts.sent, "%s: %v", host, counts.failures)
				}
			})
		})
	}
}

// Cuts that come and go, and other hosts that die while connections lead through them, must not
// keep a host from serving, nor run a request twice.
func TestOtherHostsDieDuringCuts(t *testing.T) {
	runFleet(t, 6, func(t *testing.T, f *testFleet) {
		for round := range 6 {
			for _, i := range []int{0, 2, 4} {
				f.cut(f.hosts[i], "", []network.Cut{network.Hang, network.Reset, network.Refuse}[round%3])
			}
			f.callAll(stable, 200*time.Millisecond)
			f.net.Kill(f.hosts[1].peerAddress)
			f.callAll(time.Second, 100*time.Millisecond)
			for host, counts := range f.callAll(3*time.Second, 100*time.Millisecond) {
				require.GreaterOrEqual(t, 50*counts.served, 49*counts.sent, "%s: %v", host, counts.failures)
			}
			for _, i := range []int{0, 2, 4} {
				f.cut(f.hosts[i], "", "")
			}
			f.callAll(stable, 200*time.Millisecond)
			require.Zero(t, f.hosts[3].tunnels.Tunnels(), "connections are direct again")
		}
		f.requireRunOnce()
	})
}
