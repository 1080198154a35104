package queue

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"jackdawhinge/common/targets"
)

// unbounded is a counter without a load multiple.
type unbounded struct{}

func (unbounded) Fits(int64, targets.Urgency) bool { return true }
func (unbounded) Start(int64)                      {}
func (unbounded) Finish(int64)                     {}

func ticket(class string, urgency targets.Urgency, share float64, workspace string) Ticket {
	return Ticket{Workspace: workspace, Class: class, Urgency: urgency, Share: share, Cost: 10, BeginBy: time.Now().Add(time.Hour)}
}

// order returns the order in which waiting tickets are passed on while one runs at a time.
func order(t *testing.T, capacity int64, tickets map[string]Ticket, entered ...string) []string {
	t.Helper()
	names := map[*Waiter]string{}
	var passed []string
	var last *Waiter
	line := NewLine(NewLimit(capacity), unbounded{}, func(w *Waiter) {
		if name, ok := names[w]; ok {
			passed = append(passed, name)
			last = w
		}
	})
	blocker, err := line.Enter(time.Now(), Ticket{Class: "blocker", Urgency: targets.Urgent, Cost: capacity, BeginBy: time.Now().Add(time.Hour)})
	require.NoError(t, err)
	for _, name := range entered {
		w, err := line.Enter(time.Now(), tickets[name])
		require.NoError(t, err)
		names[w] = name
	}
	last = blocker
	for range entered {
		w := last
		line.Release(time.Now(), w.Ticket)
	}
	return passed
}

func TestOrder(t *testing.T) {
	returning := ticket("portal", targets.Normal, 0, "a")
	returning.Returning = true
	tickets := map[string]Ticket{
		"batch": ticket("digest", targets.Batch, 0, "a"), "normal": ticket("portal", targets.Normal, 0, "a"),
		"urgent": ticket("clerk-tag", targets.Urgent, 0, "a"), "normal of b": ticket("portal", targets.Normal, 0, "b"),
		"returning": returning, "batch with share": ticket("nightly", targets.Batch, 0.9, "a"),
	}
	tests := map[string]struct {
		entered []string
		want    []string
	}{
		"more urgent first":          {[]string{"batch", "normal", "urgent"}, []string{"urgent", "normal", "batch"}},
		"workspaces in turn":         {[]string{"normal", "normal", "normal of b"}, []string{"normal", "normal of b", "normal"}},
		"returning chats first":      {[]string{"normal", "returning"}, []string{"returning", "normal"}},
		"a class below its share":    {[]string{"urgent", "batch with share"}, []string{"batch with share", "urgent"}},
		"first come where all alike": {[]string{"batch", "batch"}, []string{"batch", "batch"}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			require.Equal(t, test.want, order(t, 10, tickets, test.entered...))
		})
	}
}

// A request waits until its target has passed, or its caller leaves. The caller
// is told at once, and the room it never had goes to nobody twice.
func TestAcquireGivesUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		q := New(NewLimit(10), unbounded{})
		release, err := q.Acquire(t.Context(), ticket("portal", targets.Normal, 0.5, "a"))
		require.NoError(t, err)

		late := ticket("portal", targets.Normal, 0.5, "a")
		late.BeginBy = time.Now().Add(time.Second)
		begin := time.Now()
		_, err = q.Acquire(t.Context(), late)
		require.ErrorIs(t, err, ErrTooLate)
		require.Equal(t, time.Second, time.Since(begin))

		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		_, err = q.Acquire(ctx, ticket("portal", targets.Normal, 0.5, "a"))
		require.ErrorIs(t, err, context.DeadlineExceeded)

		release()
		release, err = q.Acquire(t.Context(), ticket("portal", targets.Normal, 0.5, "a"))
		require.NoError(t, err)
		release()
		waiting, _ := q.Waiting()
		require.Zero(t, waiting)
	})
}

// The queue drains ten requests a second and a hundred wait. A request that must
// begin within a second is refused at once, not at its deadline.
func TestRefusedAtOnce(t *testing.T) {
	line := NewLine(NewLimit(10), unbounded{}, func(*Waiter) {})
	now := time.Now()
	blocker, err := line.Enter(now, ticket("portal", targets.Normal, 0.1, "a"))
	require.NoError(t, err)
	for range 150 {
		_, err = line.Enter(now, ticket("portal", targets.Normal, 0.1, "a"))
		require.NoError(t, err)
	}
	for range 50 {
		now = now.Add(100 * time.Millisecond)
		line.Release(now, blocker.Ticket)
	}
	late := ticket("portal", targets.Normal, 0.1, "a")
	late.BeginBy = now.Add(time.Second)
	_, err = line.Enter(now, late)
	require.ErrorIs(t, err, ErrTooLate)
	var tooLate *LateError
	require.ErrorAs(t, err, &tooLate)
	require.InDelta(t, 10, tooLate.Wait.Seconds(), 3, "a hundred at ten a second, and the rest of a window")
}

// An engine gets slower than the target between tokens. Its limit falls, down to
// a floor, and rises again to its capacity once it keeps the target.
func TestLimitAdapts(t *testing.T) {
	l := NewLimit(32_000)
	now := time.Unix(1_800_000_000, 0)
	observe := func(gap time.Duration, times int) {
		for range times {
			now = now.Add(50 * time.Millisecond)
			l.Observe(now, gap)
		}
	}
	observe(2*tokenGapTarget, 5000)
	require.EqualValues(t, 1000, l.Tokens())
	observe(tokenGapTarget/2, 5000)
	require.EqualValues(t, 32_000, l.Tokens())
}

// An engine's limit has just been lowered below what is in progress. Urgent work
// inside its share is passed on all the same, up to the engine's capacity; other
// work waits for the rest to drain.
func TestUrgentPassesLoweredLimit(t *testing.T) {
	limit := NewLimit(100)
	limit.tokens = 50
	line := NewLine(limit, unbounded{}, func(*Waiter) {})
	big := ticket("digest", targets.Batch, 0, "a")
	big.Cost = 80
	w, err := line.Enter(time.Now(), big)
	require.NoError(t, err)
	require.True(t, w.Released())
	normal, err := line.Enter(time.Now(), ticket("portal", targets.Normal, 0.5, "a"))
	require.NoError(t, err)
	require.False(t, normal.Released())
	line.Leave(normal)
	urgent, err := line.Enter(time.Now(), ticket("clerk-tag", targets.Urgent, 0.5, "a"))
	require.NoError(t, err)
	require.True(t, urgent.Released())
}

// Whatever enters, leaves and ends, the tokens in progress are inside the limit
// or one request alone, and in the end nothing waits.
func TestLineKeepsLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var running []*Waiter
		inUse := int64(0)
		line := NewLine(NewLimit(100), unbounded{}, func(w *Waiter) {
			running = append(running, w)
			inUse += w.Cost
		})
		now := time.Now()
		var waiting []*Waiter
		for range rapid.IntRange(1, 100).Draw(t, "steps") {
			switch rapid.IntRange(0, 2).Draw(t, "what") {
			case 0:
				c := ticket(rapid.SampledFrom([]string{"a", "b"}).Draw(t, "class"), targets.Normal, 0.3, rapid.SampledFrom([]string{"x", "y"}).Draw(t, "workspace"))
				c.Cost = rapid.Int64Range(1, 150).Draw(t, "cost")
				if w, err := line.Enter(now, c); err == nil {
					waiting = append(waiting, w)
				}
			case 1:
				if len(running) > 0 {
					w := running[0]
					running = running[1:]
					inUse -= w.Cost
					line.Release(now, w.Ticket)
				}
			case 2:
				if len(waiting) > 0 {
					line.Leave(waiting[0])
					waiting = waiting[1:]
				}
			}
			require.True(t, inUse <= 100 || len(running) == 1)
		}
		for len(running) > 0 {
			w := running[0]
			running = running[1:]
			inUse -= w.Cost
			line.Release(now, w.Ticket)
		}
		n, tokens := line.Waiting()
		require.Zero(t, n)
		require.Zero(t, tokens)
	})
}
