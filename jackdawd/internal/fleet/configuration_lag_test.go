package fleet

import (
	"maps"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"jackdawhinge/standin/network"
)

// failure is applied to some hosts of a fleet while its configuration changes.
type failure struct {
	// hosts is how many hosts fail, from the top of the tree on.
	hosts int
	// apply makes one host fail.
	apply func(f *testFleet, name string)
}

// failureModes are ways in which a host, or its connection to the store, fails.
var failureModes = map[string]func(f *testFleet, name string){
	"rejected by the store":    func(f *testFleet, name string) { f.markHost(&f.store.rejected, name) },
	"unanswered by the store":  func(f *testFleet, name string) { f.markHost(&f.store.unanswered, name) },
	"configuration unanswered": func(f *testFleet, name string) { f.markHost(&f.store.configurationUnanswered, name) },
	"frozen":                   func(f *testFleet, name string) { f.isolate(name, network.Frozen) },
	"cut off":                  func(f *testFleet, name string) { f.isolate(name, network.Partitioned) },
	"killed":                   func(f *testFleet, name string) { f.kill(name) },
	"frozen, others cut off":   func(f *testFleet, name string) { f.isolate(name, f.nextFault()) },
	"cut off, others rejected": func(f *testFleet, name string) { f.isolateOrReject(name) },
}

// markHost adds a host to a set of hosts that the store treats differently.
func (f *testFleet) markHost(set *map[string]bool, name string) {
	f.store.mu.Lock()
	defer f.store.mu.Unlock()
	f.failed[name] = true
	updated := map[string]bool{name: true}
	maps.Copy(updated, *set)
	*set = updated
}

// isolate applies a network fault to a host; the store does not answer it either.
func (f *testFleet) isolate(name string, fault network.Fault) {
	f.markHost(&f.store.unanswered, name)
	f.net.SetFault(f.running[name].address, fault)
}

func (f *testFleet) nextFault() network.Fault {
	if len(f.failed)%2 == 0 {
		return network.Frozen
	}
	return network.Partitioned
}

func (f *testFleet) isolateOrReject(name string) {
	if len(f.failed)%2 == 0 {
		f.isolate(name, network.Partitioned)
		return
	}
	f.markHost(&f.store.rejected, name)
}

// maxLag returns the longest time for which a host that did not fail has been using an older
// configuration than the newest acknowledged one.
func (f *testFleet) maxLag() (longest time.Duration, host string) {
	f.store.mu.Lock()
	acknowledged := slices.Clone(f.store.acknowledged)
	f.store.mu.Unlock()
	for name, p := range f.running {
		has := int(p.tracker.Snapshot().Configuration().Version()) - firstVersion
		if f.failed[name] || has >= len(acknowledged) {
			continue
		}
		if lag := time.Since(acknowledged[has]); lag > longest {
			longest, host = lag, name
		}
	}
	return longest, host
}

// Guards against healthy hosts that use an old configuration for too long when their parents fail.
func TestConfigurationLagStaysBelowBound(t *testing.T) {
	for fleetName, fleet := range map[string]struct {
		size                int
		maxConfigurationAge time.Duration
		// failing is how many hosts fail.
		failing map[string]int
	}{
		"eight hosts":       {8, 2 * time.Second, map[string]int{"the readers": 2, "three heads": 3}},
		"thirty hosts":      {30, 2 * time.Second, map[string]int{"the readers": 2, "three heads": 3, "a third": 10}},
		"ninety hosts":      {90, 3 * time.Second, map[string]int{"three heads": 3, "a third": 30}},
		"two hundred hosts": {200, 4 * time.Second, map[string]int{"a third": 66}},
	} {
		for failing, count := range fleet.failing {
			for mode, apply := range failureModes {
				t.Run(fleetName+"/"+failing+" "+mode, func(t *testing.T) {
					t.Parallel()
					synctest.Test(t, func(t *testing.T) {
						f := newTestFleet(t)
						defer f.stop()
						f.size, f.maxConfigurationAge, f.maxDrainDelay = fleet.size, fleet.maxConfigurationAge, fleet.maxConfigurationAge
						f.startAll(true)
						f.waitUntilInitialized()
						time.Sleep(5 * time.Second)
						longest, host := f.maxLagDuring(failure{count, apply})
						require.Less(t, longest, fleet.maxConfigurationAge, host)
					})
				})
			}
		}
	}
}

// Guards against hosts that use an old configuration because the store was unavailable shortly
// before.
func TestConfigurationLagStaysBelowBoundAfterOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newTestFleet(t)
		defer f.stop()
		f.size, f.maxConfigurationAge, f.maxDrainDelay = 90, 3*time.Second, 3*time.Second
		f.startAll(true)
		f.waitUntilInitialized()
		time.Sleep(5 * time.Second)
		f.store.setUnavailable(true)
		time.Sleep(3 * time.Second)
		f.store.setUnavailable(false)
		time.Sleep(2 * time.Second)
		longest, host := f.maxLagDuring(failure{30, failureModes["rejected by the store"]})
		require.Less(t, longest, f.maxConfigurationAge, host)
	})
}

// maxLagDuring makes hosts fail while the configuration changes, and returns the longest lag of the
// other hosts.
func (f *testFleet) maxLagDuring(fail failure) (longest time.Duration, host string) {
	const (
		changeInterval = 50 * time.Millisecond
		burstChanges   = 14
		duration       = 6 * time.Second
	)
	names := f.namesByDepth()
	for i := range duration / changeInterval {
		if i == burstChanges/2 {
			for _, name := range names[:fail.hosts] {
				fail.apply(f, name)
			}
		}
		if i < burstChanges || i%burstChanges == 0 {
			f.store.publishVersion()
		}
		time.Sleep(changeInterval)
		if lag, name := f.maxLag(); lag > longest {
			longest, host = lag, name
		}
	}
	return longest, host
}
