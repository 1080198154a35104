package relay

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
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
