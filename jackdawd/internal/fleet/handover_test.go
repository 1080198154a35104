package fleet

import (
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"jackdawhinge/standin/network"
)

// Guards against a host that reads the store in step with its parent: its list is then always newer than the one that
// its parent sends, and it reads the store forever.
func TestHostStopsReadingStoreWhateverThePhase(t *testing.T) {
	for name, offset := range map[string]time.Duration{
		"before the parent":          -3 * time.Millisecond,
		"with the parent":            0,
		"just after the parent":      time.Millisecond,
		"as the parent's reply ends": storeLatency,
		"after the parent":           10 * time.Millisecond,
		"halfway":                    700 * time.Millisecond,
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newTestFleet(t)
				defer f.stop()
				f.size = maxReaders + 1
				f.startAll(true)
				f.waitUntilInitialized()
				time.Sleep(5 * time.Second)
				names := f.namesByDepth()
				follower := f.running[names[maxReaders]]
				parent := f.running[follower.source.Following()]
				time.Sleep(time.Until(f.nextListRead(parent).Add(offset)))
				for _, reader := range names[:maxReaders] {
					f.net.CutRoute(follower.address, f.running[reader].address, network.Reset)
				}
				time.Sleep(100 * time.Millisecond)
				require.Empty(t, follower.source.Following())
				for _, reader := range names[:maxReaders] {
					f.net.CutRoute(follower.address, f.running[reader].address, "")
				}
				time.Sleep(maxSuspectBackoff / 4)
				require.True(t, slices.Contains(names[:maxReaders], follower.source.Following()))
			})
		})
	}
}

// nextListRead returns when a reader reads the list of upstreams the next time but one.
func (f *testFleet) nextListRead(p *process) time.Time {
	period := p.source.readerInterval() + storeLatency
	return f.startTime.Add(time.Duration(p.source.listTime.Load()) + 2*period)
}
