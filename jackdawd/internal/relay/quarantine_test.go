package relay

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"jackdawhinge/jackdawd/internal/work"
)

const (
	// crashingPath is the path of the request that crashes upstreams.
	crashingPath = "/digest/crashing"
	// crashDelay is how long after its start such a request crashes the upstream, downtime how long
	// the upstream is down.
	crashDelay = 60 * time.Millisecond
	downtime   = 3 * time.Second
	// maxCrashes is how many upstreams may crash before hosts must recognize the request,
	// detectionTimeout how long after that they may take to act, and maxRepeats how often the
	// request may still reach upstreams afterwards.
	maxCrashes       = 3
	detectionTimeout = 3 * time.Second
	maxRepeats       = 3
)

// crashes records when upstreams crashed and when requests reached them.
type crashes struct {
	mu        sync.Mutex
	crashedAt []time.Time
	reachedAt []time.Time
}

// add appends the current time to one of the lists.
func (c *crashes) add(times *[]time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	*times = append(*times, time.Now())
}

// crashOnPath makes each upstream crash when it runs a request to a path, and restart after a
// while.
func (f *fixture) crashOnPath(path string) *crashes {
	return f.crashOn(func(r *http.Request) bool { return strings.HasPrefix(r.URL.Path, path) })
}

// crashOn makes each upstream crash when it runs a request that matches, and restart after a while.
func (f *fixture) crashOn(matches func(r *http.Request) bool) *crashes {
	c := &crashes{}
	for _, u := range f.store.upstreams {
		runner := f.runners[u.ID]
		runner.SetBehavior(func(_ http.ResponseWriter, r *http.Request, body []byte) bool {
			if !matches(r) {
				return false
			}
			runner.RecordRun(r, body)
			c.add(&c.reachedAt)
			time.Sleep(crashDelay)
			c.add(&c.crashedAt)
			f.net.Kill(u.Address)
			time.AfterFunc(downtime, func() { f.net.Serve(u.Address, runner) })
			return true
		})
	}
	return c
}

// lateRepeats returns how often the request reached upstreams after hosts had to recognize it.
func (c *crashes) lateRepeats() int {
	if len(c.crashedAt) < maxCrashes {
		return 0
	}
	n := 0
	for _, at := range c.reachedAt {
		if at.After(c.crashedAt[maxCrashes-1].Add(detectionTimeout)) {
			n++
		}
	}
	return n
}

// A request that crashed each engine 60 ms after it began was sent again and again by its caller.
// The host took each copy for a new request and moved it from engine to engine, so that 33 engines
// crashed, and with each all other streams there broke off.
func TestCrashingStreamIsQuarantined(t *testing.T) {
	runners := []string{"reader-1", "reader-2", "reader-3", "reader-4", "reader-5", "reader-6", "reader-7", "reader-8"}
	runFixture(t, runners, func(t *testing.T, f *fixture) {
		c := f.crashOnPath(crashingPath)
		var last callerResponse
		for n := range 40 {
			last = f.do(f.streamRequest(crashingPath, fmt.Sprintf("crashing-%d", n), 4))
			time.Sleep(500 * time.Millisecond)
		}
		require.GreaterOrEqual(t, len(c.crashedAt), maxCrashes)
		require.LessOrEqual(t, c.lateRepeats(), maxRepeats, "%d upstreams crashed", len(c.crashedAt))
		require.Equal(t, http.StatusServiceUnavailable, last.status, "the request was not executed")
		require.NotEmpty(t, last.header.Get("Retry-After"))
		require.Zero(t, f.runCount("crashing-39"))
		require.Equal(t, http.StatusOK, f.do(f.streamRequest("/digest/other", "other", 4)).status)
		time.Sleep(2 * downtime)
	})
}

// Requests of all kinds that crash plain services are quarantined too. Those that are refused as
// not executed must not have been executed.
func TestCrashingServiceRequestIsQuarantined(t *testing.T) {
	tests := map[string]struct{ method, path string }{
		"non-idempotent": {http.MethodPost, "/notice/crashing"},
		"idempotent":     {http.MethodGet, "/scan/crashing"},
		"public":         {http.MethodGet, "/open/crashing"},
	}
	runners := []string{"mailbox-1", "mailbox-2", "mailbox-3", "mailbox-4", "mailbox-5", "mailbox-6"}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			runFixture(t, runners, func(t *testing.T, f *fixture) {
				c := f.crashOnPath(test.path)
				refused := 0
				for n := range 20 {
					id := fmt.Sprintf("crashing-%d", n)
					got := f.do(f.request(test.method, test.path, id, ""))
					if got.err == nil && got.status == http.StatusServiceUnavailable {
						refused++
						require.Zero(t, f.runCount(id), "refused as not executed")
					}
					time.Sleep(500 * time.Millisecond)
				}
				require.LessOrEqual(t, c.lateRepeats(), maxRepeats)
				require.Greater(t, refused, 10)
				require.Equal(t, http.StatusOK, f.do(f.request(test.method, strings.TrimSuffix(test.path, "crashing")+"sound", "other", "")).status)
				time.Sleep(2 * downtime)
			})
		})
	}
}

// Upstreams fail one after the other while they serve a popular page, and others serve it. The page
// is not the cause, and callers must continue to get it.
func TestPopularRequestIsNotQuarantined(t *testing.T) {
	runFixture(t, []string{"mailbox-1", "mailbox-2", "mailbox-3", "mailbox-4"}, func(t *testing.T, f *fixture) {
		for n, u := range f.store.upstreams {
			runner := f.runners[u.ID]
			runner.SetBehavior(dropConnection(runner))
			for i := range 8 {
				f.do(f.request(http.MethodGet, "/scan/popular", fmt.Sprintf("during-%d-%d", n, i), ""))
				time.Sleep(100 * time.Millisecond)
			}
			runner.SetBehavior(nil)
			for i := range 8 {
				got := f.do(f.request(http.MethodGet, "/scan/popular", fmt.Sprintf("after-%d-%d", n, i), ""))
				require.Equal(t, http.StatusOK, got.status)
				time.Sleep(100 * time.Millisecond)
			}
		}
	})
}

// All upstreams fail at the same moment, as when a switch fails. The callers' retries of the same
// request must be served.
func TestSimultaneousUpstreamLossQuarantinesNothing(t *testing.T) {
	runFixture(t, []string{"reader-1", "reader-2", "reader-3", "reader-4"}, func(t *testing.T, f *fixture) {
		var callers sync.WaitGroup
		for n := range 40 {
			callers.Go(func() { f.do(f.streamRequest("/digest/same", fmt.Sprintf("lost-%d", n), 50)) })
		}
		time.Sleep(200 * time.Millisecond)
		for _, u := range f.store.upstreams {
			f.net.Kill(u.Address)
		}
		callers.Wait()
		for _, u := range f.store.upstreams {
			f.net.Serve(u.Address, f.runners[u.ID])
		}
		time.Sleep(downtime)
		require.Equal(t, http.StatusOK, f.do(f.streamRequest("/digest/same", "again", 4)).status)
	})
}

// A request that was just quarantined must not be retried at another upstream.
func TestQuarantinedRequestIsNotRetried(t *testing.T) {
	runFixture(t, []string{"reader-1", "reader-2", "reader-3", "reader-4"}, func(t *testing.T, f *fixture) {
		c := f.crashOnPath(crashingPath)
		for n := range 4 {
			f.do(f.streamRequest(crashingPath, fmt.Sprintf("crashing-%d", n), 4))
		}
		require.Len(t, c.reachedAt, maxCrashes)
		steps := f.recorder.records[1].Steps
		require.Equal(t, reasonQuarantined, steps[len(steps)-1].Reason)
		require.NotZero(t, f.recorder.lastRecord().Fingerprint)
		require.Equal(t, work.Quarantined, f.recorder.lastRecord().Refusal.Code)
		time.Sleep(2 * downtime)
	})
}
