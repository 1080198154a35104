package membership

import (
	"context"
	"errors"
	"io"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"jackdawhinge/common/pause"
	"jackdawhinge/common/traffic"
)

// fakeStore is a store whose contents and failures a test sets.
type fakeStore struct {
	mu             sync.Mutex
	configurations []*traffic.Configuration
	changes        []traffic.UpstreamChange
	// lastReadOK is set if the last read succeeded, so that the next one waits first.
	lastReadOK bool
	// unavailable makes reads fail at once, timingOut after a second.
	unavailable bool
	timingOut   bool
	// age is the age that the store reports for the configuration.
	age   time.Duration
	delay time.Duration
	reads int
}

func (s *fakeStore) update(change func(s *fakeStore)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change(s)
}

func (s *fakeStore) startRead(ctx context.Context) error {
	s.mu.Lock()
	s.reads++
	unavailable, timingOut, delay := s.unavailable, s.timingOut, s.delay
	s.mu.Unlock()
	pause.For(ctx, delay)
	if timingOut {
		pause.For(ctx, time.Second)
		return errors.New("read timed out")
	}
	if unavailable {
		return errors.New("store is unavailable")
	}
	return nil
}

type fakeConfigurations struct{ *fakeStore }

func (c fakeConfigurations) Next(ctx context.Context, wait time.Duration) (*traffic.Configuration, time.Duration, error) {
	if err := c.startRead(ctx); err != nil {
		return nil, 0, err
	}
	if next := c.pop(); next != nil {
		return next, 0, nil
	}
	pause.For(ctx, wait)
	c.mu.Lock()
	age := c.age
	c.mu.Unlock()
	return c.pop(), age, nil
}

func (c fakeConfigurations) pop() *traffic.Configuration {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.configurations) == 0 {
		return nil
	}
	next := c.configurations[0]
	c.configurations = c.configurations[1:]
	return next
}

type fakeUpstreams struct{ *fakeStore }

func (u fakeUpstreams) Next(ctx context.Context, wait time.Duration) (traffic.UpstreamChange, error) {
	u.mu.Lock()
	waitFirst := u.lastReadOK
	u.lastReadOK = false
	u.mu.Unlock()
	if waitFirst {
		pause.For(ctx, wait)
	}
	if err := u.startRead(ctx); err != nil {
		return traffic.UpstreamChange{}, err
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	u.lastReadOK = true
	if len(u.changes) == 0 {
		return traffic.UpstreamChange{}, nil
	}
	next := u.changes[0]
	u.changes = u.changes[1:]
	return next, nil
}

func configuration(n int64, keys ...string) *traffic.Configuration {
	in := traffic.ConfigurationInput{Version: n, Keys: map[string]traffic.Workspace{}}
	for _, key := range keys {
		in.Keys[key] = traffic.Workspace{Name: "mailroom"}
	}
	return traffic.NewConfiguration(in)
}

func entry(id string, sequence int64, state traffic.UpstreamState) traffic.UpstreamEntry {
	return traffic.ListedEntry(traffic.Upstream{ID: id, Pool: "reader", Address: id + ".example:80", State: state, Sequence: sequence})
}

// runTest runs a test with a tracker on a fake clock; suspended is added to the tracker's uptime.
func runTest(t *testing.T, test func(t *testing.T, tracker *Tracker, store *fakeStore, suspended *atomic.Int64)) {
	t.Helper()
	logrus.SetOutput(io.Discard)
	synctest.Test(t, func(t *testing.T) {
		begin := time.Now()
		var suspended atomic.Int64
		store := &fakeStore{configurations: []*traffic.Configuration{configuration(7, "key-1")}}
		tracker := NewTracker(Options{
			Configurations: fakeConfigurations{store}, Upstreams: fakeUpstreams{store},
			Uptime: func() time.Duration { return time.Since(begin) + time.Duration(suspended.Load()) },
			Bounds: Bounds{MaxRevocationDelay: 5 * time.Second, MaxDrainDelay: 2 * time.Second, EntryTTL: 3600 * time.Millisecond},
		})
		defer tracker.Close()
		synctest.Wait()
		test(t, tracker, store, &suspended)
	})
}

func ids(upstreams []*traffic.Upstream) []string {
	var list []string
	for _, u := range upstreams {
		list = append(list, u.ID)
	}
	return list
}

func TestNotReadyBeforeFirstRead(t *testing.T) {
	logrus.SetOutput(io.Discard)
	synctest.Test(t, func(t *testing.T) {
		store := &fakeStore{unavailable: true}
		tracker := NewTracker(Options{
			Configurations: fakeConfigurations{store}, Upstreams: fakeUpstreams{store}, Uptime: func() time.Duration { return 0 },
			Bounds: Bounds{MaxRevocationDelay: 5 * time.Second, MaxDrainDelay: 2 * time.Second},
		})
		defer tracker.Close()
		synctest.Wait()
		require.False(t, tracker.Ready())
		require.False(t, tracker.HonorsKeys())
		require.False(t, tracker.IsCurrent())
		require.Nil(t, tracker.Snapshot().Configuration())
	})
}

func TestOlderConfigurationIsIgnored(t *testing.T) {
	runTest(t, func(t *testing.T, tracker *Tracker, store *fakeStore, _ *atomic.Int64) {
		require.True(t, tracker.Ready())
		store.update(func(store *fakeStore) {
			store.configurations = []*traffic.Configuration{configuration(12), configuration(9)}
		})
		time.Sleep(2 * time.Second)
		require.Equal(t, int64(12), tracker.Snapshot().Configuration().Version())
	})
}

// The store stops answering just after a key may have been revoked. The host honors the key no
// longer than the bound, counted from when the last answered read was sent, and recovers when the
// store does.
func TestKeysAreNotHonoredPastRevocationBound(t *testing.T) {
	runTest(t, func(t *testing.T, tracker *Tracker, store *fakeStore, _ *atomic.Int64) {
		store.update(func(store *fakeStore) { store.timingOut = true })
		// The read in progress is still answered.
		time.Sleep(2 * time.Second)
		time.Sleep(5*time.Second - tracker.Age())
		require.False(t, tracker.HonorsKeys())
		require.False(t, tracker.Ready())
		store.update(func(store *fakeStore) { store.timingOut = false })
		time.Sleep(2 * time.Second)
		require.True(t, tracker.HonorsKeys())
		require.True(t, tracker.Ready())
	})
}

// One read times out. The next one succeeds early enough that keys are honored all the time.
func TestOneFailedReadKeepsKeysHonored(t *testing.T) {
	runTest(t, func(t *testing.T, tracker *Tracker, store *fakeStore, _ *atomic.Int64) {
		time.Sleep(4 * time.Second)
		store.update(func(store *fakeStore) { store.timingOut = true })
		time.Sleep(1500 * time.Millisecond)
		store.update(func(store *fakeStore) { store.timingOut = false })
		for range 50 {
			require.True(t, tracker.HonorsKeys())
			time.Sleep(100 * time.Millisecond)
		}
	})
}

// A catchingUpSource has an old snapshot, and the latest one after the first read.
type catchingUpSource struct {
	age      time.Duration
	snapshot *Snapshot
	latest   *Snapshot
}

func (s *catchingUpSource) Age() time.Duration {
	defer s.catchUp()
	return s.age
}

func (s *catchingUpSource) Snapshot() *Snapshot {
	defer s.catchUp()
	return s.snapshot
}

func (s *catchingUpSource) catchUp() { s.age, s.snapshot = 0, s.latest }

// Guards against a revoked key that is accepted by an old configuration, as the host catches up between the reads of the
// configuration and its age.
func TestOldConfigurationDoesNotGetAgeOfNext(t *testing.T) {
	tracker := &Tracker{}
	tracker.SetBounds(Bounds{MaxRevocationDelay: 5 * time.Second, MaxDrainDelay: 2 * time.Second})
	source := &catchingUpSource{age: time.Minute, snapshot: &Snapshot{}, latest: &Snapshot{}}
	view := tracker.readView(source)
	require.False(t, view.HonorsKeys() && view.Snapshot() != source.latest)
	require.False(t, view.IsCurrent() && view.Snapshot() != source.latest)
	view = tracker.readView(source)
	require.True(t, view.HonorsKeys())
	require.True(t, view.IsCurrent())
}

// The host is suspended for a minute. Its monotonic clock stopped, but the configuration has aged.
func TestSuspendedTimeCountsAsAge(t *testing.T) {
	runTest(t, func(t *testing.T, tracker *Tracker, _ *fakeStore, suspended *atomic.Int64) {
		require.True(t, tracker.HonorsKeys())
		suspended.Store(int64(time.Minute))
		require.False(t, tracker.HonorsKeys())
		time.Sleep(4 * time.Second)
		require.True(t, tracker.HonorsKeys())
	})
}

// Reads cost the operators money: a host makes about two in three seconds for each of configuration
// and upstreams.
func TestReadRate(t *testing.T) {
	runTest(t, func(t *testing.T, _ *Tracker, store *fakeStore, _ *atomic.Int64) {
		store.update(func(store *fakeStore) { store.reads = 0 })
		time.Sleep(30 * time.Second)
		store.update(func(store *fakeStore) { require.LessOrEqual(t, store.reads, 60) })
	})
}

// Reads also cost money while the store is unavailable, so they become fewer; its return is still
// noticed within about a second.
func TestReadRateDuringOutage(t *testing.T) {
	runTest(t, func(t *testing.T, tracker *Tracker, store *fakeStore, _ *atomic.Int64) {
		store.update(func(store *fakeStore) { store.unavailable, store.reads = true, 0 })
		time.Sleep(30 * time.Second)
		store.update(func(store *fakeStore) {
			require.LessOrEqual(t, store.reads, 80)
			store.unavailable = false
		})
		time.Sleep(maxRetryInterval + maxRetryInterval/2)
		require.True(t, tracker.IsCurrent())
	})
}

// A read waits for a change before it is answered. A change that is written just after the read was
// sent may be missing in the answer, so the age counts from when the read was sent.
func TestAgeCountsFromReadStart(t *testing.T) {
	runTest(t, func(t *testing.T, tracker *Tracker, _ *fakeStore, _ *atomic.Int64) {
		time.Sleep(tracker.pollWait() + time.Millisecond)
		require.Equal(t, tracker.pollWait()+time.Millisecond, tracker.Age())
	})
}

// Another host sends a configuration that is older than what this host has read before. That does
// not increase the age.
func TestOlderReplyDoesNotIncreaseAge(t *testing.T) {
	runTest(t, func(t *testing.T, tracker *Tracker, store *fakeStore, _ *atomic.Int64) {
		time.Sleep(tracker.pollWait() + time.Millisecond)
		store.update(func(store *fakeStore) { store.age = time.Minute })
		before := tracker.Age()
		time.Sleep(tracker.pollWait())
		require.Equal(t, before+tracker.pollWait(), tracker.Age())
	})
}

// The store is unavailable for ten seconds. The metric shows for how long the configuration was not
// current.
func TestStaleTimeIsCounted(t *testing.T) {
	runTest(t, func(t *testing.T, tracker *Tracker, store *fakeStore, _ *atomic.Int64) {
		store.update(func(store *fakeStore) { store.unavailable = true })
		time.Sleep(10 * time.Second)
		store.update(func(store *fakeStore) { store.unavailable = false })
		time.Sleep(10 * time.Second)
		require.InDelta(t, 10, tracker.StaleTime().Seconds(), 4)
		before := tracker.StaleTime()
		time.Sleep(10 * time.Second)
		require.Equal(t, before, tracker.StaleTime())
	})
}

// scriptedUpstreams returns given changes and calls onNext at each call of Next.
type scriptedUpstreams struct {
	changes []traffic.UpstreamChange
	onNext  func()
}

func (f *scriptedUpstreams) Next(ctx context.Context, _ time.Duration) (traffic.UpstreamChange, error) {
	f.onNext()
	if len(f.changes) == 0 {
		<-ctx.Done()
		return traffic.UpstreamChange{}, ctx.Err()
	}
	next := f.changes[0]
	f.changes = f.changes[1:]
	return next, nil
}

// A source tells other hosts how old its list is by when Next is called: a call means that the
// change before is applied. An earlier call would make it report an old list as a new one.
func TestChangeIsAppliedBeforeNextRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var tracker *Tracker
		var counts []int64
		created := make(chan struct{})
		upstreams := &scriptedUpstreams{}
		for n := range 20 {
			upstreams.changes = append(upstreams.changes, traffic.UpstreamChange{Entries: []traffic.UpstreamEntry{
				traffic.ListedEntry(traffic.Upstream{ID: string(rune('a' + n)), Pool: "reader", Address: string(rune('a'+n)) + ":80", State: traffic.Ready}),
			}})
		}
		upstreams.onNext = func() {
			<-created
			counts = append(counts, int64(len(tracker.Snapshot().AllUpstreams("reader"))))
		}
		tracker = NewTracker(Options{
			Configurations: fakeConfigurations{&fakeStore{}}, Upstreams: upstreams, Uptime: func() time.Duration { return 0 },
			Bounds: Bounds{MaxRevocationDelay: 5 * time.Second, MaxDrainDelay: 2 * time.Second},
		})
		close(created)
		synctest.Wait()
		tracker.Close()
		for n, count := range counts {
			require.Equal(t, int64(n), count)
		}
		require.Len(t, counts, 21)
	})
}

// Without this count operators do not see for how long a host used a configuration that may have
// been older than the bound.
func TestOverAgeTimeIsCounted(t *testing.T) {
	runTest(t, func(t *testing.T, tracker *Tracker, store *fakeStore, _ *atomic.Int64) {
		tracker.SetBounds(Bounds{MaxRevocationDelay: 5 * time.Second, MaxConfigurationAge: 3500 * time.Millisecond, MaxDrainDelay: 2 * time.Second})
		time.Sleep(10 * time.Second)
		require.Zero(t, tracker.OverAgeTime())
		store.update(func(store *fakeStore) { store.timingOut = true })
		time.Sleep(6 * time.Second)
		store.update(func(store *fakeStore) { store.timingOut = false })
		time.Sleep(3 * time.Second)
		overAge := tracker.OverAgeTime()
		require.GreaterOrEqual(t, overAge, 6*time.Second-3500*time.Millisecond-tickInterval)
		require.LessOrEqual(t, overAge, 6*time.Second)
		time.Sleep(5 * time.Second)
		require.Equal(t, overAge, tracker.OverAgeTime())
	})
}

// The store is restored from an older copy. An upstream that the copy lacks must not be removed at
// once, and one that leaves must not become ready again.
func TestRestoredListGetsGracePeriod(t *testing.T) {
	runTest(t, func(t *testing.T, tracker *Tracker, store *fakeStore, _ *atomic.Int64) {
		entries := []traffic.UpstreamEntry{entry("old", 1, traffic.Ready), entry("leaves", 1, traffic.Ready), entry("older", 1, traffic.Ready)}
		store.update(func(store *fakeStore) {
			store.changes = []traffic.UpstreamChange{{Complete: true, Entries: entries}, {Entries: []traffic.UpstreamEntry{entry("new", 1, traffic.Ready), entry("leaves", 2, traffic.Leaving)}}}
		})
		time.Sleep(4 * time.Second)
		require.Equal(t, []string{"new", "old", "older"}, ids(tracker.Snapshot().ReadyUpstreams("reader")))
		store.update(func(store *fakeStore) {
			store.changes = []traffic.UpstreamChange{{Complete: true, Restored: true, Entries: entries}}
		})
		time.Sleep(1600 * time.Millisecond)
		require.Equal(t, []string{"new", "old", "older"}, ids(tracker.Snapshot().ReadyUpstreams("reader")))
		time.Sleep(3 * time.Second)
		require.Equal(t, []string{"old", "older"}, ids(tracker.Snapshot().ReadyUpstreams("reader")), "it has not written its entry again")
	})
}
