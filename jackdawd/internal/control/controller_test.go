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

// fakeList reads the host list without HTTP.
type fakeList struct {
	list *platform.HostList
}

func (f fakeList) Read(_ context.Context, _ string) (roster.List, string, bool, error) {
	return f.list.List(), "", true, nil
}

// fakePeers fetches checkpoints directly from other controllers, by host name.
type fakePeers map[string]*Controller

func (f fakePeers) Checkpoint(_ context.Context, from routing.EntryHost) (register.Checkpoint, bool, error) {
	c, ok := f[from.Name()]
	if !ok {
		return register.Checkpoint{}, false, journal.ErrUnavailable
	}
	cp, complete := c.LatestCheckpoint()
	return cp, complete, nil
}

// cluster is a set of controllers that share one log.
type cluster struct {
	log   *platform.Log
	list  *platform.HostList
	peers fakePeers
}

func newCluster(hosts ...string) *cluster {
	cl := &cluster{log: platform.NewLog(), list: platform.NewHostList(), peers: fakePeers{}}
	for _, name := range hosts {
		cl.list.Put(roster.Host{Name: name, Role: roster.EntryHost, State: roster.Live, FailureDomain: "r/a"})
	}
	return cl
}

func (cl *cluster) start(name string) *Controller {
	controller := NewController(Options{Self: name, Region: "r", Log: cl.log, HostList: fakeList{cl.list}, Peers: cl.peers})
	cl.peers[name] = controller
	return controller
}

func (cl *cluster) close() {
	cl.log.SetDown(false)
	for _, controller := range cl.peers {
		controller.Close()
	}
	time.Sleep(time.Minute)
}

func (cl *cluster) appendShareChange(t *testing.T, id string, base int64, share float64) {
	t.Helper()
	class := targets.Class{FirstTokenWithin: targets.Duration(time.Second), Share: share, Urgency: targets.Normal, Idempotent: true}
	cl.appendChange(t, register.Change{ID: id, BaseRevision: base, Patch: register.Patch{Classes: map[string]*targets.Class{"portal": &class}}})
}

func (cl *cluster) appendChange(t *testing.T, change register.Change) {
	t.Helper()
	data, err := register.Record{Kind: register.ChangeRecord, Change: &change}.Encode()
	require.NoError(t, err)
	_, err = cl.log.Append(t.Context(), register.StreamName, data)
	require.NoError(t, err)
}

func settle() {
	time.Sleep(3 * time.Second)
	synctest.Wait()
}

// withOneHost runs a test with one ready controller.
func withOneHost(t *testing.T, test func(t *testing.T, cl *cluster, c *Controller)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		cl := newCluster("entry-1")
		defer cl.close()
		c := cl.start("entry-1")
		settle()
		test(t, cl, c)
	})
}

// Two operators change the same class from the same revision. Every host, also one that
// starts later, must apply the change with the lower offset and reject the other.
func TestConcurrentChanges(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cl := newCluster("entry-1", "entry-2")
		defer cl.close()
		early := cl.start("entry-1")
		settle()
		cl.appendShareChange(t, "first", 0, 0.1)
		cl.appendShareChange(t, "second", 0, 0.2)
		settle()
		late := cl.start("entry-2")
		settle()
		for _, c := range []*Controller{early, late} {
			require.EqualValues(t, 1, c.View().Revision())
			require.InDelta(t, 0.1, c.View().Document().Classes["portal"].Share, 0)
		}
	})
}

// The log is down for an hour. A running host stays ready with its configuration, and a
// starting one fetches it from a peer. Both apply new changes once the log is back.
func TestStartWhileLogIsDown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cl := newCluster("entry-1", "entry-2")
		defer cl.close()
		running := cl.start("entry-1")
		settle()
		cl.appendShareChange(t, "first", 0, 0.1)
		settle()
		cl.log.SetDown(true)
		time.Sleep(time.Hour)
		require.True(t, running.Ready())
		starting := cl.start("entry-2")
		settle()
		require.True(t, starting.Ready())
		require.EqualValues(t, 1, starting.View().Revision())
		cl.log.SetDown(false)
		cl.appendShareChange(t, "second", 1, 0.2)
		settle()
		require.EqualValues(t, 2, starting.View().Revision())
		require.EqualValues(t, 2, running.View().Revision())
	})
}

// Retention trims the change record. A checkpoint has been written before, so a host
// that starts alone must still have the configuration.
func TestCheckpointSurvivesTrim(t *testing.T) {
	withOneHost(t, func(t *testing.T, cl *cluster, c *Controller) {
		cl.appendShareChange(t, "first", 0, 0.1)
		time.Sleep(3 * CheckpointInterval)
		synctest.Wait()
		cl.log.Trim(register.StreamName, 1)
		c.Close()
		delete(cl.peers, "entry-1")
		restarted := cl.start("entry-1")
		settle()
		require.True(t, restarted.Ready())
		require.EqualValues(t, 1, restarted.View().Revision())
	})
}

// Malformed records and records of a newer format are skipped, and later changes are
// applied as if they were absent.
func TestBadRecordIsSkipped(t *testing.T) {
	withOneHost(t, func(t *testing.T, cl *cluster, c *Controller) {
		for _, bad := range []string{`"rubbish"`, `{"format":99,"kind":"change"}`, `{"format":1,"kind":"change","change":{"id":"x","colour":"red"}}`} {
			_, err := cl.log.Append(t.Context(), register.StreamName, json.RawMessage(bad))
			require.NoError(t, err)
		}
		cl.appendShareChange(t, "first", 0, 0.1)
		settle()
		require.EqualValues(t, 4, c.View().Revision())
	})
}

// The platform's host list becomes empty. The previous hosts stay in use.
func TestEmptyListIsIgnored(t *testing.T) {
	withOneHost(t, func(t *testing.T, cl *cluster, c *Controller) {
		cl.list.Remove("entry-1")
		settle()
		require.Len(t, c.View().Hosts(), 1)
	})
}

// remoteLog is the log behind a network with a delay, which can be disconnected.
type remoteLog struct {
	Log
	delay        time.Duration
	disconnected atomic.Bool
}

func (r *remoteLog) Read(ctx context.Context, stream string, from int64, wait time.Duration) (journal.Batch, error) {
	time.Sleep(r.delay)
	if r.disconnected.Load() {
		return journal.Batch{}, journal.ErrUnavailable
	}
	return r.Log.Read(ctx, stream, from, wait)
}

// Four of nine hosts, 50 ms from the log, lose their connection to it for an hour, like
// a region. The other five apply a change within a second; the four stay ready with the
// old configuration and apply the change within two seconds of reconnecting.
func TestRegionDisconnected(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cl := newCluster()
		defer cl.close()
		var logs []*remoteLog
		var hosts []*Controller
		for i := range 9 {
			log := &remoteLog{Log: cl.log, delay: 50 * time.Millisecond}
			name := fmt.Sprintf("entry-%d", i)
			cl.list.Put(roster.Host{Name: name, Role: roster.EntryHost, State: roster.Live, FailureDomain: fmt.Sprintf("r%d/a", i%2)})
			c := NewController(Options{Self: name, Region: fmt.Sprintf("r%d", i%2), Log: log, HostList: fakeList{cl.list}, Peers: fakePeers{}})
			cl.peers[name] = c
			logs, hosts = append(logs, log), append(hosts, c)
		}
		settle()
		cl.appendShareChange(t, "first", 0, 0.1)
		requireInForce := func(share float64, wait time.Duration, want int) {
			t.Helper()
			time.Sleep(wait)
			synctest.Wait()
			n := 0
			for _, c := range hosts {
				require.True(t, c.Ready())
				if c.View().Document().Classes["portal"].Share == share {
					n++
				}
			}
			require.Equal(t, want, n)
		}
		requireInForce(0.1, time.Second, 9)
		for i := 1; i < 9; i += 2 {
			logs[i].disconnected.Store(true)
		}
		time.Sleep(time.Hour)
		cl.appendShareChange(t, "second", 1, 0.2)
		requireInForce(0.2, time.Second, 5)
		for _, l := range logs {
			l.disconnected.Store(false)
		}
		requireInForce(0.2, 2*time.Second, 9)
	})
}

// A host loses its connection to the log until retention has trimmed a change that it
// has not read. After reconnecting it must fetch the configuration from a peer instead of
// waiting minutes for a checkpoint, and must not revert.
func TestReconnectAfterTrim(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cl := newCluster("entry-1", "entry-2")
		defer cl.close()
		log := &remoteLog{Log: cl.log}
		cl.start("entry-1")
		remote := NewController(Options{Self: "entry-2", Region: "r", Log: log, HostList: fakeList{cl.list}, Peers: cl.peers})
		cl.peers["entry-2"] = remote
		settle()
		cl.appendShareChange(t, "first", 0, 0.1)
		settle()
		log.disconnected.Store(true)
		time.Sleep(time.Minute)
		cl.appendShareChange(t, "second", 1, 0.2)
		settle()
		cl.log.Trim(register.StreamName, 2)
		log.disconnected.Store(false)
		settle()
		require.EqualValues(t, 2, remote.View().Revision())
	})
}

// Two of four hosts are replaced at once. The new ones must be ready within seconds with
// the same revision as the others, and all must apply the next change.
func TestHalfTheHostsReplaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		names := []string{"entry-1", "entry-2", "entry-3", "entry-4"}
		cl := newCluster(names...)
		defer cl.close()
		for _, name := range names {
			cl.start(name)
		}
		settle()
		cl.appendShareChange(t, "first", 0, 0.1)
		settle()
		for _, name := range names[:2] {
			cl.peers[name].Close()
			cl.start(name)
		}
		for revision := int64(1); revision <= 2; revision++ {
			settle()
			for _, c := range cl.peers {
				require.True(t, c.Ready())
				require.Equal(t, revision, c.View().Revision())
			}
			cl.appendShareChange(t, fmt.Sprint(revision), revision, 0.2)
		}
	})
}

// A leaving upstream must be out of the view within two reads of the host list.
func TestLeavingUpstream(t *testing.T) {
	withOneHost(t, func(t *testing.T, cl *cluster, c *Controller) {
		engine := roster.Host{Name: "engine-1", Role: roster.Upstream, State: roster.Live, FailureDomain: "r/a", Models: []string{"reader"}}
		cl.list.Put(engine)
		cl.appendChange(t, register.Change{ID: "models", Patch: register.Patch{Models: map[string]*targets.Model{"reader": {Kind: targets.Engine}}}})
		settle()
		pool, _ := c.View().Pool("reader")
		require.Len(t, pool.Upstreams(), 1)
		engine.State = roster.Leaving
		cl.list.Put(engine)
		time.Sleep(2 * hostListInterval)
		synctest.Wait()
		pool, _ = c.View().Pool("reader")
		require.Empty(t, pool.Upstreams())
	})
}
