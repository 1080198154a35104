package relay

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against retries beyond the operators' ratio in any window, and against refused retries while
// the window has room: part of all requests fail for a few seconds.
func TestRetriesStayWithinWindow(t *testing.T) {
	const (
		ratio, window = 0.2, 10 * time.Second
		rate          = 40
	)
	for name, test := range map[string]struct {
		failing float64
		// faultTime is for how long requests fail, minServed the ratio of failures then that are
		// retried.
		faultTime time.Duration
		minServed float64
	}{
		"a tenth fail":           {0.1, 4 * time.Second, 1},
		"a third fail briefly":   {0.33, 3 * time.Second, 0.95},
		"half fail for a while":  {0.5, 20 * time.Second, 0.2},
		"all fail for a moment":  {1, time.Second, 0.95},
		"all fail for a minute":  {1, time.Minute, 0.1},
		"a few fail all the way": {0.02, time.Minute, 1},
	} {
		t.Run(name, func(t *testing.T) {
			random := rand.New(rand.NewPCG(1, 2))
			b := NewRetryBudgets(ratio, window)
			start := time.Unix(1000, 0)
			var requests, retries []time.Time
			failed := 0
			for now := start; now.Sub(start) < 90*time.Second; now = now.Add(time.Duration(random.ExpFloat64() / rate * float64(time.Second))) {
				b.Deposit(now, "reader")
				requests = append(requests, now)
				if at := now.Sub(start) - 15*time.Second; at < 0 || at > test.faultTime || random.Float64() >= test.failing {
					continue
				}
				failed++
				if b.TryWithdraw(now, "reader") {
					retries = append(retries, now)
				}
			}
			require.GreaterOrEqual(t, float64(len(retries))/float64(failed), test.minServed)
			for _, end := range retries {
				inWindow := func(times []time.Time) (n int) {
					for _, at := range times {
						if !at.After(end) && end.Sub(at) < window {
							n++
						}
					}
					return n
				}
				require.LessOrEqual(t, float64(inWindow(retries)), ratio*float64(inWindow(requests))+minRetries)
			}
		})
	}
}

// Guards against budgets that are reset, and so allow more, each time the settings file is read.
func TestSameRatioKeepsBudget(t *testing.T) {
	now := time.Unix(1000, 0)
	b := NewRetryBudgets(0.2, 10*time.Second)
	for b.TryWithdraw(now, "reader") {
	}
	b.SetRatio(0.2, 10*time.Second)
	require.False(t, b.TryWithdraw(now, "reader"))
	b.SetRatio(0.3, 10*time.Second)
	require.True(t, b.TryWithdraw(now, "reader"))
}
