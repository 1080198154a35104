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
	// crashingPath is what the request asks for that crashes upstreams.
	crashingPath = "/digest/crashing"
	// crashesAfter is how long after it has begun such a request ends its upstream, downFor how
	// long the upstream is gone.
	crashesAfter = 60 * time.Millisecond
	downFor      = 3 * time.Second
	// mostCrashes is how many upstreams may crash before the request is known, knownWithin within
	// which time hosts must act on that, and mostRepeats how often it may reach upstreams after that.
	mostCrashes = 3
	knownWithin = 3 * time.Second
	mostRepeats = 3
)

// crashes are the upstreams that ended under a request, and what reached others of it.
type crashes struct {
	mu      sync.Mutex
	at      []time.Time
	reached []time.Time
}

func (c *crashes) note(moments *[]time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	*moments = append(*moments, time.Now())
}

// crashOn makes all upstreams end as soon as they run requests to a path; each is back after a while.
func (f *fixture) crashOn(path string) *crashes {
	c := &crashes{}
	for _, u := range f.feed.upstreams {
		runner := f.runners[u.ID]
		runner.SetBehavior(func(_ http.ResponseWriter, r *http.Request, body []byte) bool {
			if !strings.HasPrefix(r.URL.Path, path) {
				return false
			}
			runner.Note(r, body)
			c.note(&c.reached)
			time.Sleep(crashesAfter)
			c.note(&c.at)
			f.net.Kill(u.Address)
			time.AfterFunc(downFor, func() { f.net.Serve(u.Address, runner) })
			return true
		})
	}
	return c
}

// repeats returns how often the request reached upstreams once it had to be known.
func (c *crashes) repeats() int {
	if len(c.at) < mostCrashes {
		return 0
	}
	n := 0
	for _, at := range c.reached {
		if at.After(c.at[mostCrashes-1].Add(knownWithin)) {
			n++
		}
	}
	return n
}

// A caller's request ended each engine that began to run it, some 60 ms after its begin, and the
// caller sent it again and again, twice a second. To the host each of these was a new request that
// had met engines which broke off, so that it went to the next engine and, sent again, to three
// more: 33 engines ended, 17 of them more than three seconds after the third ("relay: A try ended.
// error=answer broke off: unexpected EOF verdict=broken", up to 25 requests at once for each
// engine), and with each the streams of everybody else there broke off ("relay: The answer
// broke off.").
func TestRequestThatCrashesUpstreamsIsKeptAway(t *testing.T) {
	runners := []string{"reader-1", "reader-2", "reader-3", "reader-4", "reader-5", "reader-6", "reader-7", "reader-8"}
	run(t, runners, func(t *testing.T, f *fixture) {
		c := f.crashOn(crashingPath)
		var last answer
		for n := range 40 {
			last = f.do(f.stream(crashingPath, fmt.Sprintf("crashing-%d", n), 4))
			time.Sleep(500 * time.Millisecond)
		}
		require.GreaterOrEqual(t, len(c.at), mostCrashes)
		require.LessOrEqual(t, c.repeats(), mostRepeats, "%d upstreams crashed", len(c.at))
		require.Equal(t, http.StatusServiceUnavailable, last.status, "it did not run")
		require.NotEmpty(t, last.header.Get("Retry-After"))
		require.Zero(t, f.runs("crashing-39"))
		require.Equal(t, http.StatusOK, f.do(f.stream("/digest/other", "other", 4)).status)
		time.Sleep(2 * downFor)
	})
}

// The same with a request that must not run twice, and with one that may be repeated, at plain services. What
// is refused as not run has not run.
func TestRequestsOfAllKindsAreKeptAway(t *testing.T) {
	tests := map[string]struct{ method, path string }{
		"non-idempotent": {http.MethodPost, "/notice/crashing"},
		"idempotent":     {http.MethodGet, "/scan/crashing"},
		"public":         {http.MethodGet, "/open/crashing"},
	}
	runners := []string{"mailbox-1", "mailbox-2", "mailbox-3", "mailbox-4", "mailbox-5", "mailbox-6"}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			run(t, runners, func(t *testing.T, f *fixture) {
				c := f.crashOn(test.path)
				refused := 0
				for n := range 20 {
					id := fmt.Sprintf("crashing-%d", n)
					got := f.do(f.request(test.method, test.path, id, ""))
					if got.err == nil && got.status == http.StatusServiceUnavailable {
						refused++
						require.Zero(t, f.runs(id), "refused as not run")
					}
					time.Sleep(500 * time.Millisecond)
				}
				require.LessOrEqual(t, c.repeats(), mostRepeats)
				require.Greater(t, refused, 10)
				require.Equal(t, http.StatusOK, f.do(f.request(test.method, strings.TrimSuffix(test.path, "crashing")+"sound", "other", "")).status)
				time.Sleep(2 * downFor)
			})
		})
	}
}

// Many callers ask for the same page. Upstreams are lost one after the other while they work on it, and
// others answer. The page is not at fault, and callers go on to get it.
func TestPopularRequestIsNotTakenForTheCause(t *testing.T) {
	run(t, []string{"mailbox-1", "mailbox-2", "mailbox-3", "mailbox-4"}, func(t *testing.T, f *fixture) {
		for n, u := range f.feed.upstreams {
			runner := f.runners[u.ID]
			runner.SetBehavior(dropped(runner))
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

// All upstreams are lost at one moment, as when a switch fails. Those who were served there come back with the
// same request and are served.
func TestLossOfManyUpstreamsSpeaksAgainstNoRequest(t *testing.T) {
	run(t, []string{"reader-1", "reader-2", "reader-3", "reader-4"}, func(t *testing.T, f *fixture) {
		var callers sync.WaitGroup
		for n := range 40 {
			callers.Go(func() { f.do(f.stream("/digest/same", fmt.Sprintf("lost-%d", n), 50)) })
		}
		time.Sleep(200 * time.Millisecond)
		for _, u := range f.feed.upstreams {
			f.net.Kill(u.Address)
		}
		callers.Wait()
		for _, u := range f.feed.upstreams {
			f.net.Serve(u.Address, f.runners[u.ID])
		}
		time.Sleep(downFor)
		require.Equal(t, http.StatusOK, f.do(f.stream("/digest/same", "again", 4)).status)
	})
}

// A request that was just barred does not go on to its next upstream.
func TestBarredRequestIsNotTriedAgain(t *testing.T) {
	run(t, []string{"reader-1", "reader-2", "reader-3", "reader-4"}, func(t *testing.T, f *fixture) {
		c := f.crashOn(crashingPath)
		for n := range 4 {
			f.do(f.stream(crashingPath, fmt.Sprintf("crashing-%d", n), 4))
		}
		require.Len(t, c.reached, mostCrashes)
		steps := f.journal.stories[1].Steps
		require.Equal(t, barredReason, steps[len(steps)-1].Reason)
		require.NotZero(t, f.journal.last().Fingerprint)
		require.Equal(t, work.Quarantined, f.journal.last().Refusal.Code)
		time.Sleep(2 * downFor)
	})
}
