package relay

import (
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"jackdawhinge/standin/clock"
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

// Guards against budgets that forget requests, and so refuse retries, or forget retries, and so allow more, when the
// settings file is read.
func TestSettingsKeepBudget(t *testing.T) {
	const requests, spent = 100, 10
	for name, test := range map[string]struct {
		ratio  float64
		window time.Duration
		want   int64
	}{
		"same":           {0.2, 10 * time.Second, 17 - spent},
		"higher ratio":   {0.4, 10 * time.Second, 32 - spent},
		"lower ratio":    {0.05, 10 * time.Second, 6 - spent},
		"longer window":  {0.2, 20 * time.Second, 17 - spent},
		"shorter window": {0.2, 5 * time.Second, 17 - spent},
		"past requests":  {0.2, time.Second, minRetries},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := NewRetryBudgets(0.2, 10*time.Second)
				for range requests {
					b.Deposit(time.Now(), "reader")
				}
				for range spent {
					require.True(t, b.TryWithdraw(time.Now(), "reader"))
				}
				time.Sleep(3 * time.Second)
				b.SetRatio(test.ratio, test.window)
				require.Equal(t, test.want, b.Remaining()["reader"])
			})
		})
	}
}

// Guards against budgets that are spent again, or lost, on hosts whose time of day jumps: clock.AfterJump stands for the
// jump, with the monotonic clock unchanged.
func TestClockJumpsKeepBudget(t *testing.T) {
	const requests = 100
	for name, jumps := range map[string][]int{
		"backward":               {-3},
		"forward":                {3},
		"far backward":           {-3600},
		"far forward":            {3600},
		"backward and forward":   {-3, 0, -2, 0},
		"forward and backward":   {60, 0},
		"backward several times": {-3, -6, -9, -12, -15},
	} {
		t.Run(name, func(t *testing.T) {
			b, now, retries := NewRetryBudgets(0.2, 10*time.Second), time.Now(), 0
			spend := func(jump int) {
				for b.TryWithdraw(clock.AfterJump(now, jump), "reader") {
					retries++
				}
			}
			for range requests {
				b.Deposit(now, "reader")
			}
			spend(0)
			require.Equal(t, 17, retries)
			for _, jump := range jumps {
				now = now.Add(100 * time.Millisecond)
				require.False(t, b.CanWithdraw(clock.AfterJump(now, jump), "reader"))
				spend(jump)
			}
			require.Equal(t, 17, retries, "retries in a window")
			now = now.Add(11 * time.Second)
			spend(jumps[0])
			require.Equal(t, 19, retries, "the next window")
		})
	}
}
