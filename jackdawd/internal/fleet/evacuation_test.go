package fleet

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// waitForEvacuation waits until all hosts that did not fail agree on whether a failure domain is
// evacuated, and fails after the given time.
func (f *testFleet) waitForEvacuation(domain string, evacuated bool, timeout time.Duration) {
	f.t.Helper()
	since := time.Now()
	for {
		disagreeing := ""
		for name, p := range f.running {
			if !f.failed[name] && p.tracker.Snapshot().IsEvacuated(domain) != evacuated {
				disagreeing = name
			}
		}
		if disagreeing == "" {
			return
		}
		require.Less(f.t, time.Since(since), timeout, "%s, evacuated: %t", disagreeing, evacuated)
		time.Sleep(20 * time.Millisecond)
	}
}

// newEvacuationFleet returns a fleet whose hosts have all data.
func newEvacuationFleet(t *testing.T, size int) *testFleet {
	t.Helper()
	f := newTestFleet(t)
	f.size, f.maxConfigurationAge, f.maxDrainDelay = size, 3*time.Second, 3*time.Second
	f.startAll(true)
	f.waitUntilInitialized()
	time.Sleep(3 * time.Second)
	return f
}

// Guards against hosts that learn of an evacuation, or of its end, too late or never.
func TestEvacuationReachesAllHosts(t *testing.T) {
	for _, size := range []int{9, 30, 86, 300} {
		for mode, apply := range failureModes {
			t.Run(fmt.Sprintf("%d hosts, readers %s", size, mode), func(t *testing.T) {
				t.Parallel()
				synctest.Test(t, func(t *testing.T) {
					f := newEvacuationFleet(t, size)
					defer f.stop()
					f.store.setEvacuated("domain-1", true)
					f.waitForEvacuation("domain-1", true, f.maxConfigurationAge)
					for _, name := range f.namesByDepth()[:2] {
						apply(f, name)
					}
					f.store.setEvacuated("domain-2", true)
					f.waitForEvacuation("domain-2", true, f.maxConfigurationAge)
					f.store.setEvacuated("domain-1", false)
					f.waitForEvacuation("domain-1", false, f.maxConfigurationAge)
					f.waitForEvacuation("domain-2", true, 0)
				})
			})
		}
	}
}

// Guards against hosts that start, one alone or all at once, and send to an evacuated failure
// domain.
func TestStartingHostsKnowEvacuations(t *testing.T) {
	for _, size := range []int{9, 86} {
		t.Run(fmt.Sprintf("%d hosts", size), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newEvacuationFleet(t, size)
				defer f.stop()
				f.store.setEvacuated("domain-1", true)
				f.start(1000, false)
				f.waitUntilInitialized()
				require.True(t, f.running["entry-1000"].tracker.Snapshot().IsEvacuated("domain-1"))
				f.killAll()
				f.startAll(false)
				f.waitUntilInitialized()
				f.waitForEvacuation("domain-1", true, 0)
				f.store.setEvacuated("domain-1", false)
				f.waitForEvacuation("domain-1", false, f.maxConfigurationAge)
			})
		})
	}
}

// Guards against an evacuation that ends because the store was restored from a backup without it,
// and against one that stands for ever because operators did not write it again.
func TestEvacuationMissingFromBackup(t *testing.T) {
	for name, rewritten := range map[string]bool{"written again": true, "not written again": false} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newEvacuationFleet(t, 30)
				defer f.stop()
				f.store.setEvacuated("domain-1", true)
				f.waitForEvacuation("domain-1", true, f.maxConfigurationAge)
				f.store.forgetEvacuation("domain-1")
				const interval = 50 * time.Millisecond
				for range 5 * time.Second / interval {
					time.Sleep(interval)
					f.waitForEvacuation("domain-1", true, 0)
				}
				if rewritten {
					f.store.setEvacuated("domain-1", true)
				}
				time.Sleep(30 * time.Second)
				f.waitForEvacuation("domain-1", rewritten, 0)
			})
		})
	}
}
