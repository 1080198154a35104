package placement

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// simulateRequests sends requests at a constant rate, each with the duration took. It returns the
// end of the simulation and how often requests were faster than reports.
func simulateRequests(stats *RequestStats, from time.Time, perSecond int, span, took time.Duration) (end time.Time, lagging int) {
	for at := from; at.Before(from.Add(span)); at = at.Add(time.Second / time.Duration(perSecond)) {
		stats.RecordStart(at, "reader")
		if stats.ReportsLag(at, "reader") {
			lagging++
		}
		stats.RecordEnd(at, "reader", "class", took)
	}
	return from.Add(span), lagging
}

func TestSteadyRequestsAreNotFasterThanReports(t *testing.T) {
	for name, perSecond := range map[string]int{"few": 3, "many": 200} {
		t.Run(name, func(t *testing.T) {
			_, lagging := simulateRequests(NewRequestStats(), time.Unix(1_800_000_000, 0), perSecond, 20*time.Second, time.Second)
			require.Zero(t, lagging)
		})
	}
}

func TestShortRequestsAreFasterThanReports(t *testing.T) {
	stats := NewRequestStats()
	now, _ := simulateRequests(stats, time.Unix(1_800_000_000, 0), 20, 5*time.Second, 200*time.Millisecond)
	require.True(t, stats.ReportsLag(now, "reader"))
	require.False(t, stats.ReportsLag(now, "another"))
	now, _ = simulateRequests(stats, now, 20, 5*time.Second, time.Second)
	require.False(t, stats.ReportsLag(now, "reader"))
}

// A host detects a burst from its own requests before any report can show it, and uses reports again
// once they include the burst.
func TestBurstIsDetectedAtOnce(t *testing.T) {
	stats := NewRequestStats()
	now, lagging := simulateRequests(stats, time.Unix(1_800_000_000, 0), 3, 20*time.Second, time.Second)
	require.Zero(t, lagging)
	now, lagging = simulateRequests(stats, now, 35, 300*time.Millisecond, time.Second)
	require.GreaterOrEqual(t, lagging, 5)
	now, _ = simulateRequests(stats, now, 35, 5*time.Second, time.Second)
	_, lagging = simulateRequests(stats, now, 35, 5*time.Second, time.Second)
	require.Zero(t, lagging)
}

// Most requests in progress are long ones, even if most requests that arrive are short.
func TestInProgressLifetimeExceedsMean(t *testing.T) {
	stats, now := NewRequestStats(), time.Unix(1_800_000_000, 0)
	for n := range 1000 {
		took := 100 * time.Millisecond
		if n%4 == 0 {
			took = 1500 * time.Millisecond
		}
		stats.RecordEnd(now, "reader", "class", took)
	}
	require.InDelta(t, 1.27, stats.MeanLifetime(now, "reader").Seconds(), 0.25)
	require.InDelta(t, 0.45, stats.MeanDuration("class").Seconds(), 0.2)
	require.Equal(t, initialDuration, stats.MeanLifetime(now, "another"))
	require.Equal(t, initialDuration, stats.MeanDuration("another"))
}
