package placement

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"jackdawhinge/common/traffic"
)

var brittleUpstream = traffic.Upstream{ID: "mailbox-1", Pool: "mailbox", Slots: 6}

// All hosts together must not send a brittle upstream more than it has room for.
func TestSharesOfBrittleUpstream(t *testing.T) {
	tests := map[string]struct{ hosts, want int }{
		"one host":         {hosts: 1, want: 6},
		"three hosts":      {hosts: 3, want: 2},
		"four hosts":       {hosts: 4, want: 1},
		"as many as slots": {hosts: 6, want: 1},
		"hosts not known":  {hosts: 0, want: 6},
		"more than enough": {hosts: 8, want: 1},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			b, now, share := NewBrittleness(), time.Now(), BrittleShare{Hosts: test.hosts}
			b.Record(now, "mailbox", 3)
			accepted := 0
			for b.Accepts(now, &brittleUpstream, Load{Own: float64(accepted)}, share) {
				accepted++
			}
			require.Equal(t, test.want, accepted)
			ok, needsLease := b.Take(now, &brittleUpstream, accepted, share)
			require.True(t, ok)
			require.False(t, needsLease)
			ok, _ = b.Take(now, &brittleUpstream, accepted+1, share)
			require.False(t, ok)
		})
	}
}

// Where one request of each host is too much, each needs a lease; while nobody grants any, their rate
// must be low.
func TestManyHostsNeedLeases(t *testing.T) {
	b, now, share := NewBrittleness(), time.Now(), BrittleShare{Hosts: 60, MeanDuration: 60 * time.Millisecond}
	b.Record(now, "mailbox", 3)
	ok, needsLease := b.Take(now, &brittleUpstream, 1, share)
	require.True(t, ok)
	require.True(t, needsLease)
	require.False(t, b.Accepts(now, &brittleUpstream, Load{Own: 2, Others: 4}, share), "it reported that it is full")
	require.True(t, b.Accepts(now, &brittleUpstream, Load{Own: 2, Others: 4, Age: brittleReportTTL}, share))
	sent := 0
	for range 1000 {
		now = now.Add(10 * time.Millisecond)
		b.Record(now, "mailbox", 3)
		if b.TakeWithoutLease(now, &brittleUpstream, 1, share) {
			sent++
		}
	}
	require.Positive(t, sent)
	require.LessOrEqual(t, 60*sent, 10*6*1000/60, "60 hosts within 10 s")
}

// A host that was rejected must leave a brittle upstream alone for a while, and use it again after.
func TestRejectedHostPauses(t *testing.T) {
	b, now, share := NewBrittleness(), time.Now(), BrittleShare{Hosts: 8}
	b.RecordRejection(now, &brittleUpstream, share)
	require.True(t, b.Accepts(now, &brittleUpstream, Load{}, share), "it is not brittle")
	b.Record(now, "mailbox", 3)
	b.RecordRejection(now, &brittleUpstream, share)
	require.False(t, b.Accepts(now.Add(minBrittlePause), &brittleUpstream, Load{}, share))
	later := now.Add(2 * maxBrittlePause)
	b.Record(later, "mailbox", 3)
	require.True(t, b.Accepts(later, &brittleUpstream, Load{}, share))
}

// The limits must end with the brittle time, also if no response says so.
func TestBrittleTimeEnds(t *testing.T) {
	b, now, share := NewBrittleness(), time.Now(), BrittleShare{Hosts: 8}
	b.Record(now, "mailbox", 3)
	b.Record(now, "mailbox", 0)
	require.True(t, b.IsBrittle(now, "mailbox"), "a single response without the header says nothing")
	require.False(t, b.Accepts(now, &brittleUpstream, Load{Own: 1}, share))
	require.False(t, b.IsBrittle(now.Add(brittleTTL+1), "mailbox"))
	require.True(t, b.Accepts(now.Add(brittleTTL+1), &brittleUpstream, Load{Own: 1}, share))
}

// Guards against a host that gets almost all requests and refuses them for its small share while the
// shares of the others are idle, and against hosts that all use more than their shares as load grows.
func TestDominantHostUsesIdleShares(t *testing.T) {
	for name, test := range map[string]struct {
		own, others float64
		want        int
	}{
		"dominant":            {own: 3, others: 0, want: 5},
		"dominant, some left": {own: 3, others: 1, want: 4},
		"equal":               {own: 2, others: 2, want: 0},
		"one of many":         {own: 1, others: 4, want: 0},
		"no free slot":        {own: 6, others: 0, want: 0},
	} {
		t.Run(name, func(t *testing.T) {
			b, now, share := NewBrittleness(), time.Now(), BrittleShare{Hosts: 8}
			load := Load{Own: test.own, Others: test.others}
			for range 300 {
				b.Record(now, "mailbox", 3)
				b.Accepts(now, &brittleUpstream, load, share)
				now = now.Add(10 * time.Millisecond)
			}
			require.Equal(t, test.want, b.SpareSlots(now, &brittleUpstream, load, share))
			load.Age = brittleReportTTL
			require.Zero(t, b.SpareSlots(now, &brittleUpstream, load, share), "the report is old")
		})
	}
	b, now := NewBrittleness(), time.Now()
	b.Record(now, "mailbox", 3)
	require.Zero(t, b.SpareSlots(now, &brittleUpstream, Load{Own: 3}, BrittleShare{Hosts: 8}), "a moment says nothing")
}
