package entry

import (
	"fmt"
	"slices"
	"time"

	"jackdawhinge/common/traffic"
	"jackdawhinge/standin/network"
)

// versionFaults are what may happen while streams of two versions run; each gets the index of a host.
var versionFaults = map[string]func(f *testFleet, i int){
	"kill":         func(f *testFleet, i int) { f.restart(i) },
	"kill a half":  func(f *testFleet, i int) { f.restart(i%2, i%2+2, i%2+4) },
	"cut off":      func(f *testFleet, i int) { f.cut(f.hosts[i], "reader", network.Hang) },
	"reset":        func(f *testFleet, i int) { f.cut(f.hosts[i], "reader", network.Reset) },
	"cuts end":     func(f *testFleet, _ int) { f.endCuts() },
	"crash":        func(f *testFleet, i int) { f.crashEngine(i) },
	"lost power":   func(f *testFleet, _ int) { f.losePower() },
	"next version": func(f *testFleet, _ int) { f.replaceEngine() },
}

// restart kills the processes of hosts and starts others.
func (f *testFleet) restart(indexes ...int) {
	f.kill(f.at(indexes...)...)
	registrations := f.store.copyRegistrations()
	for _, i := range indexes {
		f.hosts[i].client.CloseIdleConnections()
		// The servers of a test's hosts were never started.
		_ = f.hosts[i].close(time.Now().Add(time.Second))
	}
	// A killed process removes no registration.
	f.store.setRegistrations(registrations)
	time.Sleep(500 * time.Millisecond)
	for _, i := range indexes {
		f.net.SetFault(f.hosts[i].peerAddress, "")
		f.hosts[i] = f.newHost(i, false)
	}
}

// endCuts ends all cuts. Connections that hung are reset: what the network dropped of them is not sent
// again.
func (f *testFleet) endCuts() {
	for _, h := range f.hosts {
		f.cut(h, "reader", network.Reset)
		f.cut(h, "reader", "")
	}
}

// crashEngine closes the connections of an engine, which comes back at once with the same version.
func (f *testFleet) crashEngine(i int) {
	f.store.mu.Lock()
	defer f.store.mu.Unlock()
	engines := slices.DeleteFunc(slices.Clone(f.store.upstreams), func(u traffic.Upstream) bool { return u.Pool != "reader" })
	u := engines[i%len(engines)]
	f.net.Kill(u.Address)
	f.net.Serve(u.Address, f.runners[u.ID])
}

// replaceEngine starts an engine of the next version and removes the oldest one.
func (f *testFleet) replaceEngine() {
	f.store.mu.Lock()
	oldest := slices.IndexFunc(f.store.upstreams, func(u traffic.Upstream) bool { return u.Pool == "reader" })
	id := f.store.upstreams[oldest].ID
	f.store.mu.Unlock()
	n := len(f.runners)
	f.addEngines(fmt.Sprintf("v%d", 2+n/3), fmt.Sprintf("reader-%d", n))
	time.Sleep(time.Second)
	f.loseEngines(id)
}
