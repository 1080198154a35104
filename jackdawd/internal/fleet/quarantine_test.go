package fleet

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"jackdawhinge/common/pause"
	"jackdawhinge/common/traffic"
	"jackdawhinge/jackdawd/internal/quarantine"
)

const (
	// crashingRequest is the request that crashes upstreams in these tests.
	crashingRequest = quarantine.Fingerprint(0xc0ffee)
	// maxQuarantineDelay is how long after the third crash all hosts must have quarantined the
	// request.
	maxQuarantineDelay = 3 * time.Second
	// maxStartupDelay is how long after a start of all hosts they must have received the state of
	// the store.
	maxStartupDelay = time.Second
)

// copiesOf returns the subjects of copies of a request.
func copiesOf(f quarantine.Fingerprint) []quarantine.Subject {
	return []quarantine.Subject{{Fingerprint: f, Kind: quarantine.WholeRequest}}
}

// quarantineNotice is one notice in the store.
type quarantineNotice struct {
	request string
	notice  []byte
}

// quarantineStoreView is the store of quarantine notices as seen by one process.
type quarantineStoreView struct {
	*storeView
	initialized bool
	nextIndex   int
	readEra     int64
}

// Put stores a notice.
func (v *quarantineStoreView) Put(ctx context.Context, request string, notice []byte) (traffic.LogPosition, error) {
	if err := v.call(ctx); err != nil {
		return traffic.LogPosition{}, err
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	v.quarantineLog = append(v.quarantineLog, quarantineNotice{request, notice})
	return traffic.LogPosition{Era: v.countingStore.era, Offset: int64(len(v.quarantineLog))}, nil
}

// PutAtEnd stores a notice if the log ends at a position.
func (v *quarantineStoreView) PutAtEnd(ctx context.Context, request string, notice []byte, end traffic.LogPosition) (traffic.LogPosition, error) {
	if err := v.call(ctx); err != nil {
		return traffic.LogPosition{}, err
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	if end.Offset != int64(len(v.quarantineLog)) {
		return traffic.LogPosition{}, errConflict
	}
	v.quarantineLog = append(v.quarantineLog, quarantineNotice{request, notice})
	return traffic.LogPosition{Era: v.countingStore.era, Offset: int64(len(v.quarantineLog))}, nil
}

var errConflict = errors.New("the log has grown")

// Next waits up to wait for changed notices and returns them.
func (v *quarantineStoreView) Next(ctx context.Context, wait time.Duration) (notices map[string]traffic.StoredRecord, whole bool, until traffic.LogPosition, err error) {
	const interval = 10 * time.Millisecond
	if err := v.call(ctx); err != nil {
		return nil, false, traffic.LogPosition{}, err
	}
	for end := time.Now().Add(wait); ; pause.For(ctx, interval) {
		notices, whole, until = v.next()
		if whole || len(notices) > 0 || ctx.Err() != nil || time.Now().After(end) {
			return notices, whole, until, ctx.Err()
		}
	}
}

// next returns the changed notices. It returns all notices the first time, after a restore of the
// store, and if the changes since the last call were trimmed.
func (v *quarantineStoreView) next() (notices map[string]traffic.StoredRecord, whole bool, until traffic.LogPosition) {
	v.mu.Lock()
	defer v.mu.Unlock()
	whole = !v.initialized || v.readEra != v.countingStore.era || v.nextIndex < v.trimmedTo
	if whole {
		v.initialized, v.readEra, v.nextIndex = true, v.countingStore.era, 0
	}
	notices = map[string]traffic.StoredRecord{}
	for i, r := range v.quarantineLog[v.nextIndex:] {
		notices[r.request] = traffic.StoredRecord{Value: r.notice, End: traffic.LogPosition{Era: v.readEra, Offset: int64(v.nextIndex + i + 1)}}
	}
	if whole {
		maps.DeleteFunc(notices, func(_ string, notice traffic.StoredRecord) bool { return notice.Value == nil })
	}
	v.nextIndex = len(v.quarantineLog)
	return notices, whole, traffic.LogPosition{Era: v.readEra, Offset: int64(v.nextIndex)}
}

// crash makes a host see a crash of an upstream under the request.
func (f *testFleet) crash(host, upstream int) {
	f.running[fmt.Sprintf("entry-%d", host)].quarantine.RecordCrash(time.Now(), copiesOf(crashingRequest), quarantine.CrashRecord{Start: uint32(upstream), Ran: 60 * time.Millisecond})
}

// countQuarantining returns the number of hosts that have quarantined the request.
func (f *testFleet) countQuarantining() int {
	n := 0
	for _, p := range f.running {
		if _, quarantined := p.quarantine.Quarantined(time.Now(), crashingRequest); quarantined {
			n++
		}
	}
	return n
}

// waitUntilAllQuarantine waits until all hosts have quarantined the request, and fails after the
// given time.
func (f *testFleet) waitUntilAllQuarantine(timeout time.Duration) {
	f.t.Helper()
	since := time.Now()
	for f.countQuarantining() < len(f.running) {
		require.Less(f.t, time.Since(since), timeout, "%d of %d hosts have quarantined the request", f.countQuarantining(), len(f.running))
		time.Sleep(10 * time.Millisecond)
	}
}

// Copies of a request that crashes upstreams arrive at three hosts, each of which sees one crash.
// If hosts counted only their own crashes, a fleet of 200 hosts would let the request crash three
// upstreams per host. Reports are added up, and within three seconds all hosts have quarantined the
// request, also while the store is unavailable.
func TestCrashesAtSeveralHostsAddUp(t *testing.T) {
	for name, test := range map[string]struct {
		size        int
		unavailable bool
	}{
		"eight hosts":                          {8, false},
		"ninety hosts":                         {90, false},
		"two hundred hosts":                    {200, false},
		"eight hosts, store unavailable":       {8, true},
		"two hundred hosts, store unavailable": {200, true},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newTestFleet(t)
				defer f.stop()
				f.size = test.size
				f.startAll(true)
				f.waitUntilInitialized()
				time.Sleep(5 * time.Second)
				f.store.setUnavailable(test.unavailable)
				for n, host := range []int{1, test.size / 2, test.size - 1} {
					f.crash(host, n)
					time.Sleep(500 * time.Millisecond)
				}
				f.waitUntilAllQuarantine(maxQuarantineDelay - 500*time.Millisecond)
			})
		})
	}
}

// When an upstream crashes, all its requests are reported by their hosts. These reports must not
// delay the quarantine of the request that caused the crash.
func TestOtherCrashedRequestsDoNotDelayQuarantine(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newTestFleet(t)
		defer f.stop()
		f.startAll(true)
		f.waitUntilInitialized()
		time.Sleep(5 * time.Second)
		for n, host := range []int{1, 100, 199} {
			for i, p := range slices.Collect(maps.Values(f.running)) {
				for victim := range 50 {
					p.quarantine.RecordCrash(time.Now(), copiesOf(quarantine.Fingerprint(1000*n+100*i+victim)), quarantine.CrashRecord{Start: uint32(n), Ran: time.Second})
				}
			}
			f.crash(host, n)
			time.Sleep(500 * time.Millisecond)
		}
		f.waitUntilAllQuarantine(maxQuarantineDelay - 500*time.Millisecond)
	})
}

// All hosts are killed after a request was quarantined. Restarted hosts must have it quarantined
// within a second, or a client that keeps sending it would crash three more upstreams.
func TestQuarantineSurvivesRestartOfAllHosts(t *testing.T) {
	for name, size := range map[string]int{"eight hosts": 8, "two hundred hosts": 200} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newTestFleet(t)
				defer f.stop()
				f.size = size
				f.startAll(true)
				f.waitUntilInitialized()
				time.Sleep(5 * time.Second)
				for n := range 3 {
					f.crash(1, n)
					time.Sleep(500 * time.Millisecond)
				}
				f.waitUntilAllQuarantine(maxQuarantineDelay)
				f.killAll()
				time.Sleep(time.Second)
				f.startAll(false)
				f.waitUntilInitialized()
				f.waitUntilAllQuarantine(maxStartupDelay)
				calls := f.store.callCount()
				time.Sleep(10 * time.Second)
				require.Less(t, f.store.callCount()-calls, 10*8, "the two readers read the store as before and poll for notices")
			})
		})
	}
}

// A single host that restarts receives the quarantined requests from its parent.
func TestStartingHostReceivesQuarantinedRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newTestFleet(t)
		defer f.stop()
		f.size = 30
		f.startAll(true)
		f.waitUntilInitialized()
		time.Sleep(5 * time.Second)
		for n := range 3 {
			f.crash(2, n)
			time.Sleep(200 * time.Millisecond)
		}
		f.waitUntilAllQuarantine(maxQuarantineDelay)
		f.kill("entry-17")
		f.start(17, false)
		f.waitUntilAllQuarantine(maxStartupDelay)
	})
}

// The root of the region, which adds up the reports, fails after the second crash. The hosts that
// reported to it report the third one to the new root.
func TestCrashesAddUpWhenRootFails(t *testing.T) {
	for name, size := range map[string]int{"eight hosts": 8, "ninety hosts": 90, "two hundred hosts": 200} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newTestFleet(t)
				defer f.stop()
				f.size = size
				f.startAll(true)
				f.waitUntilInitialized()
				time.Sleep(5 * time.Second)
				others := f.runningNames()
				rootIndex := slices.IndexFunc(others, func(name string) bool {
					_, hasParent := f.running[name].source.directory.ExchangeParent(time.Now())
					return !hasParent
				})
				root := others[rootIndex]
				others = slices.Delete(others, rootIndex, rootIndex+1)
				for n := range 3 {
					if n == 2 {
						f.kill(root)
					}
					f.running[others[n*len(others)/3]].quarantine.RecordCrash(time.Now(), copiesOf(crashingRequest), quarantine.CrashRecord{Start: uint32(n), Ran: 60 * time.Millisecond})
					time.Sleep(500 * time.Millisecond)
				}
				f.waitUntilAllQuarantine(maxQuarantineDelay - 500*time.Millisecond)
			})
		})
	}
}

// runningNames returns the names of the running hosts.
func (f *testFleet) runningNames() []string { return slices.Sorted(maps.Keys(f.running)) }

// An operator removes the notice of a request from the store because the upstreams were fixed. All
// hosts must serve the request again.
func TestOperatorReleasesRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newTestFleet(t)
		defer f.stop()
		f.size = 30
		f.startAll(true)
		f.waitUntilInitialized()
		time.Sleep(5 * time.Second)
		for n := range 3 {
			f.crash(n, n)
			time.Sleep(500 * time.Millisecond)
		}
		f.waitUntilAllQuarantine(maxQuarantineDelay)
		time.Sleep(2 * time.Second)
		f.release()
		time.Sleep(maxQuarantineDelay)
		require.Zero(t, f.countQuarantining())
		require.Empty(t, f.storedNotices(), "no host writes the notice again")
	})
}

// A notice is removed that a host has written but not read back, and the store has trimmed its
// record. The request must not stay quarantined.
func TestReleaseOfNoticeThatWasNotReadBack(t *testing.T) {
	for name, test := range map[string]struct {
		// uptime is how long the hosts have run, trimmed whether the store no longer holds the
		// removal.
		uptime  time.Duration
		trimmed bool
	}{
		"hosts have just started": {0, false},
		"records were trimmed":    {10 * time.Second, true},
		"trimmed after a start":   {0, true},
		"records are still there": {10 * time.Second, false},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newTestFleet(t)
				defer f.stop()
				f.size = 8
				f.startAll(true)
				time.Sleep(test.uptime)
				f.quarantineAndAwaitNotice()
				f.release()
				if test.trimmed {
					f.store.trim()
				}
				time.Sleep(maxQuarantineDelay)
				require.Zero(t, f.countQuarantining())
				require.Empty(t, f.storedNotices(), "no host writes the notice again")
			})
		})
	}
}

// A notice missing from a restored store does not count as removed.
func TestQuarantineSurvivesStoreRestore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newTestFleet(t)
		defer f.stop()
		f.size = 8
		f.startAll(true)
		f.quarantineAndAwaitNotice()
		f.store.restore(f.store.registrationCount())
		time.Sleep(maxQuarantineDelay)
		require.Equal(t, f.size, f.countQuarantining())
		require.NotEmpty(t, f.storedNotices(), "the notice is written again")
	})
}

// release removes the notice of the request, as an operator does.
func (f *testFleet) release() {
	operator := &quarantineStoreView{storeView: &storeView{countingStore: f.store, host: "operator"}}
	_, err := operator.Put(f.t.Context(), crashingRequest.String(), nil)
	require.NoError(f.t, err)
}

// quarantineAndAwaitNotice makes a host see three crashes under the request and waits until its
// notice is in the store.
func (f *testFleet) quarantineAndAwaitNotice() {
	f.t.Helper()
	for n := range 3 {
		f.crash(1, n)
		time.Sleep(40 * time.Millisecond)
	}
	for since := time.Now(); len(f.storedNotices()) == 0; {
		require.Less(f.t, time.Since(since), maxQuarantineDelay)
		time.Sleep(time.Millisecond)
	}
}

// storedNotices returns the quarantine notices in the store.
func (f *testFleet) storedNotices() map[string]traffic.StoredRecord {
	reader := &quarantineStoreView{storeView: &storeView{countingStore: f.store}}
	notices, _, _ := reader.next()
	return notices
}

// BenchmarkCases measures the bytes of the calls about requests that crash upstreams: a fetch that
// returns no records, and a report of the requests that were at a crashed upstream.
func BenchmarkCases(b *testing.B) {
	for _, n := range []int{0, 10, 100} {
		b.Run(fmt.Sprintf("told=%d", n), func(b *testing.B) {
			p := newPairWithUpstreams(b, 1)
			parent := p.reader.directory.Self()
			for i := range n {
				p.follower.options.Quarantine.Merge(time.Now(), []quarantine.Record{{Request: quarantine.Fingerprint(i) << 50, Crashes: []quarantine.CrashRecord{{Start: 1 << 30, Age: time.Second, Ran: time.Second}}}})
			}
			before := p.follower.Bytes()
			for b.Loop() {
				if n > 0 {
					p.follower.sendReport(b.Context(), parent, quarantine.Position{})
					continue
				}
				var reply CasesReply
				if err := p.follower.quarantineClientFor(parent).Call(b.Context(), parent.Address, casesCall, &CasesArgs{}, &reply); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(p.follower.Bytes()-before)/float64(b.N), "bytes/call")
		})
	}
}

// A canceled call closes its connection. If calls about crashes shared the connection used to
// follow the parent, a cancellation would fail the follow call and make the host leave its parent.
func TestQuarantineCallsUseTheirOwnConnection(t *testing.T) {
	p := newPair(t)
	parent := p.reader.directory.Self()
	require.NotSame(t, p.follower.clientFor(parent), p.follower.quarantineClientFor(parent))
	require.Same(t, p.follower.quarantineClientFor(parent), p.follower.quarantineClientFor(parent))
	p.follower.options.Quarantine.Merge(time.Now(), []quarantine.Record{{Request: crashingRequest, Crashes: []quarantine.CrashRecord{{Start: 1}}}})
	_, _, err := p.follow(t)
	require.NoError(t, err)
	canceled, cancel := context.WithCancel(t.Context())
	cancel()
	require.Equal(t, quarantine.Position{}, p.follower.sendReport(canceled, parent, quarantine.Position{}), "the report is retried from the same position")
	_, _, err = p.follow(t)
	require.NoError(t, err)
}
