package control

import (
	"context"
	"encoding/json"
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"jackdawhinge/common/journal"
	"jackdawhinge/common/register"
	"jackdawhinge/common/roster"
	"jackdawhinge/common/targets"
	"jackdawhinge/jackdawd/internal/routing"
	"jackdawhinge/standin/platform"
)

// fakeList is the platform's host list without HTTP.
type fakeList struct {
	list *platform.HostList
}

func (f fakeList) Read(_ context.Context, _ string) (roster.List, string, bool, error) {
	return f.list.List(), "", true, nil
}

// fakePeers asks other controllers directly.
type fakePeers map[string]*Controller

func (f fakePeers) Checkpoint(_ context.Context, from routing.EntryHost) (register.Checkpoint, bool, error) {
	c, ok := f[from.Name()]
	if !ok {
		return register.Checkpoint{}, false, journal.ErrUnavailable
	}
	cp, whole := c.Folded()
	return cp, whole, nil
}

// bench is a few controllers on one log.
type bench struct {
	log   *platform.Log
	list  *platform.HostList
	peers fakePeers
}

func newBench(hosts ...string) *bench {
	b := &bench{log: platform.NewLog(), list: platform.NewHostList(), peers: fakePeers{}}
	for _, name := range hosts {
		b.list.Put(roster.Host{Name: name, Role: roster.EntryHost, State: roster.Live, FailureDomain: "r/a"})
	}
	return b
}

func (b *bench) start(name string) *Controller {
	c := NewController(Options{Self: name, Region: "r", Journal: b.log, List: fakeList{b.list}, Peers: b.peers})
	b.peers[name] = c
	return c
}

func (b *bench) close() {
	b.log.SetDown(false)
	for _, c := range b.peers {
		c.Close()
	}
	time.Sleep(time.Minute)
}

func (b *bench) change(t *testing.T, id string, base int64, share float64) {
	t.Helper()
	class := targets.Class{FirstTokenWithin: targets.Duration(time.Second), Share: share, Urgency: targets.Normal, Idempotent: true}
	b.publish(t, register.Change{ID: id, Base: base, Patch: register.Patch{Classes: map[string]*targets.Class{"portal": &class}}})
}

func (b *bench) publish(t *testing.T, c register.Change) {
	t.Helper()
	data, err := register.Record{Kind: register.ChangeRecord, Change: &c}.Encode()
	require.NoError(t, err)
	_, err = b.log.Append(t.Context(), register.Stream, data)
	require.NoError(t, err)
}

func settle() {
	time.Sleep(3 * time.Second)
	synctest.Wait()
}

// oneHost runs a test with one controller that is ready.
func oneHost(t *testing.T, test func(t *testing.T, b *bench, c *Controller)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		b := newBench("entry-1")
		defer b.close()
		c := b.start("entry-1")
		settle()
		test(t, b, c)
	})
}

// Two operators change the same class from the same revision. Every host, one
// that starts later too, has the first by offset in force and not the second.
func TestRacingChanges(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench("entry-1", "entry-2")
		defer b.close()
		early := b.start("entry-1")
		settle()
		b.change(t, "first", 0, 0.1)
		b.change(t, "second", 0, 0.2)
		settle()
		late := b.start("entry-2")
		settle()
		for _, c := range []*Controller{early, late} {
			require.EqualValues(t, 1, c.View().Revision())
			require.InDelta(t, 0.1, c.View().Document().Classes["portal"].Share, 0)
		}
	})
}

// The log is down. A host that runs goes on with what it has; one that starts
// takes it from the other and is ready. When the log is back both move on.
func TestStartWhileLogIsDown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench("entry-1", "entry-2")
		defer b.close()
		running := b.start("entry-1")
		settle()
		b.change(t, "first", 0, 0.1)
		settle()
		b.log.SetDown(true)
		time.Sleep(time.Hour)
		require.True(t, running.Ready())
		starting := b.start("entry-2")
		settle()
		require.True(t, starting.Ready())
		require.EqualValues(t, 1, starting.View().Revision())
		b.log.SetDown(false)
		b.change(t, "second", 1, 0.2)
		settle()
		require.EqualValues(t, 2, starting.View().Revision())
		require.EqualValues(t, 2, running.View().Revision())
	})
}

// Retention trims the change itself. Checkpoints have been written in time, so a
// host that starts alone has the configuration, and none reverts.
func TestRetentionRunsPastChange(t *testing.T) {
	oneHost(t, func(t *testing.T, b *bench, c *Controller) {
		b.change(t, "first", 0, 0.1)
		time.Sleep(3 * CheckpointEvery)
		synctest.Wait()
		b.log.Trim(register.Stream, 1)
		c.Close()
		delete(b.peers, "entry-1")
		again := b.start("entry-1")
		settle()
		require.True(t, again.Ready())
		require.EqualValues(t, 1, again.View().Revision())
	})
}

// A record is malformed, or of a newer version. It is skipped by every host, and
// the changes after it are decided as if it were not there.
func TestBadRecordIsSkipped(t *testing.T) {
	oneHost(t, func(t *testing.T, b *bench, c *Controller) {
		for _, bad := range []string{`"rubbish"`, `{"format":99,"kind":"change"}`, `{"format":1,"kind":"change","change":{"id":"x","colour":"red"}}`} {
			_, err := b.log.Append(t.Context(), register.Stream, json.RawMessage(bad))
			require.NoError(t, err)
		}
		b.change(t, "first", 0, 0.1)
		settle()
		require.EqualValues(t, 4, c.View().Revision())
	})
}

// The platform's list is empty for a while. The hosts known before stay in use.
func TestEmptyListIsIgnored(t *testing.T) {
	oneHost(t, func(t *testing.T, b *bench, c *Controller) {
		b.list.Remove("entry-1")
		settle()
		require.Len(t, c.View().Hosts(), 1)
	})
}

// remoteLog is the log as a host reaches it, over a network that takes time and may be cut.
type remoteLog struct {
	Journal
	delay time.Duration
	cut   atomic.Bool
}

func (r *remoteLog) Read(ctx context.Context, stream string, from int64, wait time.Duration) (journal.Batch, error) {
	time.Sleep(r.delay)
	if r.cut.Load() {
		return journal.Batch{}, journal.ErrUnavailable
	}
	return r.Journal.Read(ctx, stream, from, wait)
}

// Nine hosts, 50 ms from the log, of which four cannot reach it for an hour: a
// region cut off. A change is in force on the five within a second. The four keep
// what they had and stay ready; joined again they have the change within two.
func TestRegionCutOff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench()
		defer b.close()
		var logs []*remoteLog
		var hosts []*Controller
		for i := range 9 {
			log := &remoteLog{Journal: b.log, delay: 50 * time.Millisecond}
			name := fmt.Sprintf("entry-%d", i)
			b.list.Put(roster.Host{Name: name, Role: roster.EntryHost, State: roster.Live, FailureDomain: fmt.Sprintf("r%d/a", i%2)})
			c := NewController(Options{Self: name, Region: fmt.Sprintf("r%d", i%2), Journal: log, List: fakeList{b.list}, Peers: fakePeers{}})
			b.peers[name] = c
			logs, hosts = append(logs, log), append(hosts, c)
		}
		settle()
		b.change(t, "first", 0, 0.1)
		inForce := func(share float64, within time.Duration, of int) {
			t.Helper()
			time.Sleep(within)
			synctest.Wait()
			n := 0
			for _, c := range hosts {
				require.True(t, c.Ready())
				if c.View().Document().Classes["portal"].Share == share {
					n++
				}
			}
			require.Equal(t, of, n)
		}
		inForce(0.1, time.Second, 9)
		for i := 1; i < 9; i += 2 {
			logs[i].cut.Store(true)
		}
		time.Sleep(time.Hour)
		b.change(t, "second", 1, 0.2)
		inForce(0.2, time.Second, 5)
		for _, l := range logs {
			l.cut.Store(false)
		}
		inForce(0.2, 2*time.Second, 9)
	})
}

// A host is cut off from the log until retention has trimmed a change that it has
// not read. Joined again it takes the configuration from a peer, rather than waiting
// minutes for a checkpoint, and never falls back.
func TestCutOffPastRetention(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench("entry-1", "entry-2")
		defer b.close()
		log := &remoteLog{Journal: b.log}
		b.start("entry-1")
		far := NewController(Options{Self: "entry-2", Region: "r", Journal: log, List: fakeList{b.list}, Peers: b.peers})
		b.peers["entry-2"] = far
		settle()
		b.change(t, "first", 0, 0.1)
		settle()
		log.cut.Store(true)
		time.Sleep(time.Minute)
		b.change(t, "second", 1, 0.2)
		settle()
		b.log.Trim(register.Stream, 2)
		log.cut.Store(false)
		settle()
		require.EqualValues(t, 2, far.View().Revision())
	})
}

// Two of four hosts are replaced at once. The new ones are ready within seconds, with
// the revision that the others have, and all take the next change.
func TestHalfTheHostsReplaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		names := []string{"entry-1", "entry-2", "entry-3", "entry-4"}
		b := newBench(names...)
		defer b.close()
		for _, name := range names {
			b.start(name)
		}
		settle()
		b.change(t, "first", 0, 0.1)
		settle()
		for _, name := range names[:2] {
			b.peers[name].Close()
			b.start(name)
		}
		for revision := int64(1); revision <= 2; revision++ {
			settle()
			for _, c := range b.peers {
				require.True(t, c.Ready())
				require.Equal(t, revision, c.View().Revision())
			}
			b.change(t, fmt.Sprint(revision), revision, 0.2)
		}
	})
}

// A leaving upstream is out of every host's view within two seconds.
func TestLeavingUpstream(t *testing.T) {
	oneHost(t, func(t *testing.T, b *bench, c *Controller) {
		engine := roster.Host{Name: "engine-1", Role: roster.Upstream, State: roster.Live, FailureDomain: "r/a", Models: []string{"reader"}}
		b.list.Put(engine)
		b.publish(t, register.Change{ID: "models", Patch: register.Patch{Models: map[string]*targets.Model{"reader": {Kind: targets.Engine}}}})
		settle()
		pool, _ := c.View().Pool("reader")
		require.Len(t, pool.Upstreams(), 1)
		engine.State = roster.Leaving
		b.list.Put(engine)
		time.Sleep(2 * listEvery)
		synctest.Wait()
		pool, _ = c.View().Pool("reader")
		require.Empty(t, pool.Upstreams())
	})
}
