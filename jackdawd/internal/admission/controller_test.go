package admission

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"jackdawhinge/common/traffic"
	"jackdawhinge/jackdawd/internal/placement"
)

var (
	startTime = time.Unix(1_800_000_000, 0)
	engine    = &traffic.Upstream{ID: "engine-1", Slots: 8}
)

func newRequest(class string, rank int) Request {
	return Request{Pool: "reader", Class: class, Rank: rank, Target: 400 * time.Millisecond}
}

// serve simulates a request whose response begins after the given time and takes a second in total.
func serve(c *Controller, now time.Time, r Request, timeToFirstByte time.Duration) {
	attempt := c.RecordSent(now, r, engine.Instance(), 0)
	attempt.RecordFirstByte(now.Add(timeToFirstByte))
	attempt.RecordEnd(now.Add(time.Second), true)
}

func delay(c *Controller, now time.Time, r Request, b placement.Backlog) time.Duration {
	return c.Delay(now, r, engine.Instance(), b)
}

// With four requests waiting and eight running for a second each, a slot becomes free every 125 ms.
func TestDelayWithQueue(t *testing.T) {
	c := NewController()
	serve(c, startTime, newRequest("sort", 0), 10*time.Millisecond)
	require.InDelta(t, 0.5, delay(c, startTime, newRequest("sort", 0), placement.Backlog{Running: 8, Waiting: 4}).Seconds(), 0.01)
	require.Zero(t, delay(c, startTime, newRequest("sort", 0), placement.Backlog{Running: 8}))
}

// If only less urgent requests have waited recently, the queue consists of those and an urgent
// request goes before it.
func TestUrgentRequestsSkipLessUrgentQueue(t *testing.T) {
	c, now := NewController(), startTime
	for range 20 {
		serve(c, now, newRequest("sort", 0), 10*time.Millisecond)
		serve(c, now, newRequest("tag", 2), 10*time.Millisecond)
	}
	for range 20 {
		now = now.Add(50 * time.Millisecond)
		serve(c, now, newRequest("sort", 0), 10*time.Millisecond)
		serve(c, now, newRequest("tag", 2), 700*time.Millisecond)
	}
	queue := placement.Backlog{Running: 8, Waiting: 8}
	require.Less(t, delay(c, now, newRequest("sort", 0), queue), 50*time.Millisecond)
	require.Greater(t, delay(c, now, newRequest("tag", 2), queue), 700*time.Millisecond)
}

// If an engine stops responding, it reports nothing. A request that has waited there beyond its
// target counts as a delay for requests that are no more urgent, until it ends.
func TestDelayAtASilentUpstream(t *testing.T) {
	c := NewController()
	attempt := c.RecordSent(startTime, newRequest("sort", 1), engine.Instance(), 0)
	require.Zero(t, delay(c, startTime.Add(300*time.Millisecond), newRequest("sort", 1), placement.Backlog{}))
	late := startTime.Add(time.Second)
	require.Equal(t, time.Second, delay(c, late, newRequest("sort", 1), placement.Backlog{}))
	require.Zero(t, delay(c, late, newRequest("urgent", 0), placement.Backlog{}))
	attempt.RecordEnd(late, false)
	require.Zero(t, delay(c, late, newRequest("sort", 1), placement.Backlog{}))
}

// In an overload, a class with less than a tenth of the running requests goes first, so that more
// urgent classes don't starve it.
func TestMinClassShare(t *testing.T) {
	c := NewController()
	require.Equal(t, Usual, c.Precedence(startTime, newRequest("tag", 2)), "no overload")
	c.RecordRefusal(startTime, newRequest("tag", 2), engine.Instance())
	for range 20 {
		c.RecordSent(startTime, newRequest("sort", 0), engine.Instance(), 0)
	}
	require.Equal(t, BelowMinShare, c.Precedence(startTime, newRequest("tag", 2)))
	for range 3 {
		c.RecordSent(startTime, newRequest("tag", 2), engine.Instance(), 0)
	}
	require.Equal(t, Usual, c.Precedence(startTime, newRequest("tag", 2)))
}

// After a refusal, less urgent requests are refused for the same upstream for a while, or they would
// take the slots that the refused request needed. Other upstreams are not affected.
func TestLessUrgentRequestsYieldAfterRefusal(t *testing.T) {
	c := NewController()
	c.RecordRefusal(startTime, newRequest("sort", 1), engine.Instance())
	require.True(t, c.MoreUrgentRefused(startTime, newRequest("tag", 2), engine.Instance()))
	require.False(t, c.MoreUrgentRefused(startTime, newRequest("sort", 1), engine.Instance()))
	require.False(t, c.MoreUrgentRefused(startTime, newRequest("tag", 2), traffic.UpstreamInstance{ID: "engine-2"}))
	require.False(t, c.MoreUrgentRefused(startTime.Add(refusalWindow), newRequest("tag", 2), engine.Instance()))
}

func TestOverloadDuration(t *testing.T) {
	c := NewController()
	require.Zero(t, c.OverloadDuration(startTime, "reader"))
	for i := range 5 {
		c.RecordRefusal(startTime.Add(time.Duration(i)*900*time.Millisecond), newRequest("sort", 0), engine.Instance())
	}
	end := startTime.Add(4 * 900 * time.Millisecond)
	require.Equal(t, 3600*time.Millisecond, c.OverloadDuration(end, "reader"))
	require.Zero(t, c.OverloadDuration(end.Add(overloadGap+1), "reader"))
	c.RecordRefusal(end.Add(5*time.Second), newRequest("sort", 0), engine.Instance())
	require.Zero(t, c.OverloadDuration(end.Add(5*time.Second), "reader"), "another overload")
}

func TestWaitedBeforeRetry(t *testing.T) {
	c := NewController()
	for range 5 {
		require.Zero(t, c.WaitedBeforeRetry("sort", 12*time.Second))
	}
	require.Equal(t, 3*time.Second, c.WaitedBeforeRetry("sort", 9*time.Second))
	require.Zero(t, c.WaitedBeforeRetry("tag", 3*time.Second))
}

// One caller that will wait for a minute doesn't make the others look like retries.
func TestCallerWithLongTimeoutDoesNotShiftOthers(t *testing.T) {
	c := NewController()
	for range 5 {
		c.WaitedBeforeRetry("sort", 12*time.Second)
	}
	require.Zero(t, c.WaitedBeforeRetry("sort", time.Minute))
	require.Zero(t, c.WaitedBeforeRetry("sort", 12*time.Second))
	for range 2 * maxVotes {
		c.WaitedBeforeRetry("sort", 20*time.Second)
	}
	require.Equal(t, 8*time.Second, c.WaitedBeforeRetry("sort", 12*time.Second), "most callers now wait longer")
}

func TestStaleStateIsPruned(t *testing.T) {
	c := NewController()
	for i := range 100 {
		c.RecordRefusal(startTime.Add(time.Duration(i)*time.Second), newRequest("sort", 0), traffic.UpstreamInstance{ID: "engine", Incarnation: traffic.Incarnation(i)})
	}
	require.LessOrEqual(t, len(c.refusals), 2)
	for range 3 {
		serve(c, startTime, newRequest("sort", 0), time.Millisecond)
	}
	require.Empty(t, c.waiting)
}

// While upstreams are full, a workspace that sends many times its usual requests ranks below the
// others, and its refusals block no less urgent requests of other workspaces.
func TestSurgingWorkspaceYields(t *testing.T) {
	c, now := NewController(), startTime
	usual, surging := newRequest("sort", 0), newRequest("sort", 0)
	usual.Workspace, surging.Workspace = "usual", "surging"
	for range 300 {
		now = now.Add(100 * time.Millisecond)
		c.RecordArrival(now, usual)
		c.RecordArrival(now, surging)
	}
	for range 300 {
		now = now.Add(10 * time.Millisecond)
		c.RecordArrival(now, surging)
	}
	require.Equal(t, Usual, c.Precedence(now, surging), "no overload")
	c.RecordSurgeRefusal(now, "reader")
	require.Equal(t, Surging, c.Precedence(now, surging))
	require.Equal(t, Usual, c.Precedence(now, usual))
	require.False(t, c.MoreUrgentRefused(now, newRequest("tag", 2), engine.Instance()))
}

// Two requests that wait much longer than the usual time to first byte indicate a queue that the
// engine has not reported yet. A single one may have a long prompt.
func TestStuckUpstream(t *testing.T) {
	c := NewController()
	serve(c, startTime, newRequest("sort", 0), 50*time.Millisecond)
	first := c.RecordSent(startTime, newRequest("sort", 0), engine.Instance(), 0)
	late := startTime.Add(150 * time.Millisecond)
	require.False(t, c.IsStuck(late, engine.Instance()))
	c.RecordSent(startTime, newRequest("sort", 0), engine.Instance(), 0)
	require.False(t, c.IsStuck(startTime.Add(90*time.Millisecond), engine.Instance()))
	require.True(t, c.IsStuck(late, engine.Instance()))
	require.False(t, c.IsStuck(late, traffic.UpstreamInstance{ID: "engine-2"}))
	first.RecordFirstByte(late)
	require.False(t, c.IsStuck(late, engine.Instance()))
}
