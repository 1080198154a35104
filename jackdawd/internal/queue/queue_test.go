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

// unboundedLoad is a LoadCounter without a load bound.
type unboundedLoad struct{}

func (unboundedLoad) Fits(int64, targets.Urgency) bool { return true }
func (unboundedLoad) Start(int64)                      {}
func (unboundedLoad) Finish(int64)                     {}

func newTicket(class string, urgency targets.Urgency, share float64, workspace string) Ticket {
	return Ticket{Workspace: workspace, Class: class, Urgency: urgency, Share: share, Cost: 10, BeginDeadline: time.Now().Add(time.Hour)}
}

// admitOrder returns the order in which waiting tickets are admitted when one runs at a time.
func admitOrder(t *testing.T, capacity int64, tickets map[string]Ticket, arrivals ...string) []string {
	t.Helper()
	names := map[*Waiter]string{}
	var admitted []string
	var lastAdmitted *Waiter
	scheduler := NewScheduler(NewLimit(capacity), unboundedLoad{}, func(w *Waiter) {
		if name, ok := names[w]; ok {
			admitted = append(admitted, name)
			lastAdmitted = w
		}
	})
	blocker, err := scheduler.Enqueue(time.Now(), Ticket{Class: "blocker", Urgency: targets.Urgent, Cost: capacity, BeginDeadline: time.Now().Add(time.Hour)})
	require.NoError(t, err)
	for _, name := range arrivals {
		w, err := scheduler.Enqueue(time.Now(), tickets[name])
		require.NoError(t, err)
		names[w] = name
	}
	lastAdmitted = blocker
	for range arrivals {
		w := lastAdmitted
		scheduler.Release(time.Now(), w.Ticket)
	}
	return admitted
}

func TestAdmitOrder(t *testing.T) {
	returning := newTicket("portal", targets.Normal, 0, "a")
	returning.Returning = true
	tickets := map[string]Ticket{
		"batch": newTicket("digest", targets.Batch, 0, "a"), "normal": newTicket("portal", targets.Normal, 0, "a"),
		"urgent": newTicket("clerk-tag", targets.Urgent, 0, "a"), "normal of b": newTicket("portal", targets.Normal, 0, "b"),
		"returning": returning, "batch with share": newTicket("nightly", targets.Batch, 0.9, "a"),
	}
	tests := map[string]struct {
		arrivals []string
		want     []string
	}{
		"more urgent first":                     {[]string{"batch", "normal", "urgent"}, []string{"urgent", "normal", "batch"}},
		"workspaces take turns":                 {[]string{"normal", "normal", "normal of b"}, []string{"normal", "normal of b", "normal"}},
		"returning chats first":                 {[]string{"normal", "returning"}, []string{"returning", "normal"}},
		"class below its share first":           {[]string{"urgent", "batch with share"}, []string{"batch with share", "urgent"}},
		"first come, first served among equals": {[]string{"batch", "batch"}, []string{"batch", "batch"}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			require.Equal(t, test.want, admitOrder(t, 10, tickets, test.arrivals...))
		})
	}
}

// A request waits until its deadline passes or its context ends. Acquire must return at
// that time, and must leave neither a waiter nor used room behind.
func TestAcquireTimeout(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		q := New(NewLimit(10), unboundedLoad{})
		release, err := q.Acquire(t.Context(), newTicket("portal", targets.Normal, 0.5, "a"))
		require.NoError(t, err)

		late := newTicket("portal", targets.Normal, 0.5, "a")
		late.BeginDeadline = time.Now().Add(time.Second)
		begin := time.Now()
		_, err = q.Acquire(t.Context(), late)
		require.ErrorIs(t, err, ErrTooLate)
		require.Equal(t, time.Second, time.Since(begin))

		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		_, err = q.Acquire(ctx, newTicket("portal", targets.Normal, 0.5, "a"))
		require.ErrorIs(t, err, context.DeadlineExceeded)

		release()
		release, err = q.Acquire(t.Context(), newTicket("portal", targets.Normal, 0.5, "a"))
		require.NoError(t, err)
		release()
		waiting, _ := q.Waiting()
		require.Zero(t, waiting)
	})
}

// The queue drains ten requests a second and a hundred wait. A request that must begin
// within a second is refused immediately rather than at its deadline.
func TestLateRequestIsRefusedImmediately(t *testing.T) {
	scheduler := NewScheduler(NewLimit(10), unboundedLoad{}, func(*Waiter) {})
	now := time.Now()
	blocker, err := scheduler.Enqueue(now, newTicket("portal", targets.Normal, 0.1, "a"))
	require.NoError(t, err)
	for range 150 {
		_, err = scheduler.Enqueue(now, newTicket("portal", targets.Normal, 0.1, "a"))
		require.NoError(t, err)
	}
	for range 50 {
		now = now.Add(100 * time.Millisecond)
		scheduler.Release(now, blocker.Ticket)
	}
	late := newTicket("portal", targets.Normal, 0.1, "a")
	late.BeginDeadline = now.Add(time.Second)
	_, err = scheduler.Enqueue(now, late)
	require.ErrorIs(t, err, ErrTooLate)
	var tooLate *LateError
	require.ErrorAs(t, err, &tooLate)
	require.InDelta(t, 10, tooLate.Wait.Seconds(), 3, "a hundred requests at ten a second, plus the rest of a window")
}

// An engine's gaps between tokens exceed the target. Its limit must decrease to the
// minimum, and increase again to the capacity once the gaps are within the target.
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

// An engine's limit has just been lowered below the tokens in progress. Urgent requests
// within their share must still be admitted, up to the capacity; others wait.
func TestUrgentBypassesLoweredLimit(t *testing.T) {
	limit := NewLimit(100)
	limit.tokens = 50
	scheduler := NewScheduler(limit, unboundedLoad{}, func(*Waiter) {})
	big := newTicket("digest", targets.Batch, 0, "a")
	big.Cost = 80
	w, err := scheduler.Enqueue(time.Now(), big)
	require.NoError(t, err)
	require.True(t, w.Admitted())
	normal, err := scheduler.Enqueue(time.Now(), newTicket("portal", targets.Normal, 0.5, "a"))
	require.NoError(t, err)
	require.False(t, normal.Admitted())
	scheduler.Remove(normal)
	urgent, err := scheduler.Enqueue(time.Now(), newTicket("clerk-tag", targets.Urgent, 0.5, "a"))
	require.NoError(t, err)
	require.True(t, urgent.Admitted())
}

// For any sequence of arrivals, cancellations and completions, the tokens in progress
// are within the limit or belong to a single request, and in the end nothing waits.
func TestSchedulerKeepsLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var running []*Waiter
		inUseTokens := int64(0)
		scheduler := NewScheduler(NewLimit(100), unboundedLoad{}, func(w *Waiter) {
			running = append(running, w)
			inUseTokens += w.Cost
		})
		now := time.Now()
		var waiting []*Waiter
		for range rapid.IntRange(1, 100).Draw(t, "steps") {
			switch rapid.IntRange(0, 2).Draw(t, "what") {
			case 0:
				request := newTicket(rapid.SampledFrom([]string{"a", "b"}).Draw(t, "class"), targets.Normal, 0.3, rapid.SampledFrom([]string{"x", "y"}).Draw(t, "workspace"))
				request.Cost = rapid.Int64Range(1, 150).Draw(t, "cost")
				if w, err := scheduler.Enqueue(now, request); err == nil {
					waiting = append(waiting, w)
				}
			case 1:
				if len(running) > 0 {
					w := running[0]
					running = running[1:]
					inUseTokens -= w.Cost
					scheduler.Release(now, w.Ticket)
				}
			case 2:
				if len(waiting) > 0 {
					scheduler.Remove(waiting[0])
					waiting = waiting[1:]
				}
			}
			require.True(t, inUseTokens <= 100 || len(running) == 1)
		}
		for len(running) > 0 {
			w := running[0]
			running = running[1:]
			inUseTokens -= w.Cost
			scheduler.Release(now, w.Ticket)
		}
		n, tokens := scheduler.Waiting()
		require.Zero(t, n)
		require.Zero(t, tokens)
	})
}
