package relay

import (
	"fmt"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"jackdawhinge/platform/standin"
)

// maxLeavingDelay is how long an upstream may get requests after it first reported that it is
// leaving.
const maxLeavingDelay = 2 * time.Second

// An engine began to leave while the store was unavailable. It said so in its responses, but its
// entry in the store still said ready until the store accepted writes again 12 s later. The host
// went by the entry only and sent it new requests for all that time.
func TestUpstreamReportingLeavingGetsNoRequests(t *testing.T) {
	tests := map[string]struct {
		runners []string
		send    func(f *fixture, id string) *http.Request
	}{
		"engine":  {[]string{"reader-1", "reader-2"}, func(f *fixture, id string) *http.Request { return f.streamRequest("/digest/x", id, 2) }},
		"service": {[]string{"mailbox-1", "mailbox-2"}, func(f *fixture, id string) *http.Request { return f.request(http.MethodPost, "/notice/x", id, id) }},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			runFixture(t, test.runners, func(t *testing.T, f *fixture) {
				leaving := f.runners[test.runners[0]]
				leaving.SetLeaving(true)
				for n := range 100 {
					require.Equal(t, http.StatusOK, f.do(test.send(f, fmt.Sprintf("r%d", n))).status)
					time.Sleep(100 * time.Millisecond)
				}
				runs := leaving.Runs()
				require.NotEmpty(t, runs)
				for _, r := range runs {
					require.LessOrEqual(t, r.Started.Sub(runs[0].Started), maxLeavingDelay)
				}
			})
		})
	}
}

// askForBackoff returns a behavior that rejects requests with the given Retry-After time.
func askForBackoff(seconds string) func(u *standin.Runner) standin.Behavior {
	return func(u *standin.Runner) standin.Behavior {
		return func(w http.ResponseWriter, r *http.Request, body []byte) bool {
			u.RecordRun(r, body)
			w.Header().Set("Retry-After", seconds)
			standin.RejectNotExecuted(w)
			return true
		}
	}
}

// maxDuringBackoff is how many requests an upstream may get from one host after it has asked for a
// backoff, counted from backoffSettleTime on.
const (
	maxDuringBackoff  = 2
	backoffSettleTime = 500 * time.Millisecond
)

// An upstream that rejects a request with a Retry-After of 20 s must not get more. The host took
// the rejection for an ordinary failure and kept sending requests, each of which was rejected and
// cost a delay and a retry.
func TestRetryAfterOfUpstreamIsHonored(t *testing.T) {
	runFixture(t, []string{"mailbox-1", "mailbox-2"}, func(t *testing.T, f *fixture) {
		busy := f.runners["mailbox-1"]
		busy.SetBehavior(askForBackoff("20")(busy))
		for n := range 190 {
			f.do(f.request(http.MethodGet, fmt.Sprintf("/scan/%d", n), fmt.Sprintf("r%d", n), ""))
			time.Sleep(100 * time.Millisecond)
		}
		rejected := busy.Runs()
		require.NotEmpty(t, rejected)
		late := 0
		for _, r := range rejected {
			if r.Started.Sub(rejected[0].Started) > backoffSettleTime {
				late++
			}
		}
		require.LessOrEqual(t, late, maxDuringBackoff)
		busy.SetBehavior(nil)
		time.Sleep(12 * time.Second)
		for n := range 20 {
			require.Equal(t, http.StatusOK, f.do(f.request(http.MethodGet, fmt.Sprintf("/scan/%d", n), fmt.Sprintf("s%d", n), "")).status)
		}
		require.Greater(t, len(busy.Runs()), len(rejected), "requests resume after the backoff")
	})
}

// An upstream that asks for short backoffs again and again must not be avoided for it, and gets
// requests as soon as each backoff ends.
func TestRetryAfterDoesNotCountAsFailure(t *testing.T) {
	runFixture(t, []string{"mailbox-1", "mailbox-2"}, func(t *testing.T, f *fixture) {
		busy := f.runners["mailbox-1"]
		busy.SetBehavior(askForBackoff("0.1")(busy))
		for n := range 300 {
			f.do(f.request(http.MethodGet, fmt.Sprintf("/scan/%d", n), fmt.Sprintf("r%d", n), ""))
			time.Sleep(50 * time.Millisecond)
			require.False(t, f.handler.Membership.Snapshot().Avoided("mailbox-1"))
		}
		require.Greater(t, len(busy.Runs()), 5)
	})
}

// While all upstreams of a pool have asked for a backoff, callers are refused immediately with a
// Retry-After, and nothing is tried.
func TestPoolInBackoffRefusesImmediately(t *testing.T) {
	runFixture(t, []string{"mailbox-1", "mailbox-2"}, func(t *testing.T, f *fixture) {
		f.setBehaviors(askForBackoff("4.5"))
		for n := range 4 {
			f.do(f.request(http.MethodGet, fmt.Sprintf("/scan/%d", n), fmt.Sprintf("r%d", n), ""))
		}
		time.Sleep(backoffSettleTime)
		start := time.Now()
		got := f.do(f.request(http.MethodPost, "/notice/x", "late", "body"))
		require.Equal(t, http.StatusServiceUnavailable, got.status)
		require.Zero(t, time.Since(start))
		require.Zero(t, f.runCount("late"))
		seconds, err := strconv.ParseFloat(got.header.Get("Retry-After"), 64)
		require.NoError(t, err)
		backoffs := slices.Sorted(maps.Values(f.handler.Backoffs.Remaining(start)))
		require.GreaterOrEqual(t, backoffs[0], 4*time.Second, "4.5 s less the time since")
		require.Less(t, backoffs[0], 4*time.Second+maxBackoffJitter)
		const rounding = 0.005
		require.GreaterOrEqual(t, seconds, backoffs[0].Seconds()-rounding)
		require.LessOrEqual(t, seconds, 1.5*backoffs[0].Seconds()+rounding, "jitter of up to half")
	})
}

// Another upstream has taken over an address and reports that it is leaving. The report must not
// apply to the upstream that had the address, which gets requests when it is back.
func TestLeavingReportOfReplacementIsIgnored(t *testing.T) {
	runFixture(t, []string{"mailbox-1", "mailbox-2"}, func(t *testing.T, f *fixture) {
		address := f.store.upstreams[0].Address
		replacement := standin.NewRunner("replacement", 8)
		replacement.SetLeaving(true)
		f.net.Kill(address)
		f.net.Serve(address, replacement)
		for n := range 10 {
			f.do(f.request(http.MethodPost, "/notice/x", fmt.Sprintf("r%d", n), "body"))
		}
		require.Empty(t, f.runners["mailbox-1"].Runs())
		f.net.Kill(address)
		f.net.Serve(address, f.runners["mailbox-1"])
		f.store.mu.Lock()
		f.store.upstreams[0].Sequence++
		f.store.mu.Unlock()
		time.Sleep(2 * time.Second)
		for n := range 10 {
			f.do(f.request(http.MethodPost, "/notice/x", fmt.Sprintf("s%d", n), "body"))
		}
		require.NotEmpty(t, f.runners["mailbox-1"].Runs())
	})
}
