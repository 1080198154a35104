package relay

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"jackdawhinge/common/traffic"
)

// Guards against requests to an evacuated failure domain, and against refusals while another domain
// has upstreams. Without any a request is refused at once, as not run.
func TestEvacuatedFailureDomainGetsNothing(t *testing.T) {
	for name, test := range map[string]struct {
		evacuated []string
		status    int
		runs      map[string]int
	}{
		"none evacuated": {nil, http.StatusOK, map[string]int{"mailbox-1": 5, "mailbox-2": 5}},
		"one evacuated":  {[]string{"domain-1"}, http.StatusOK, map[string]int{"mailbox-1": 0, "mailbox-2": 10}},
		"all evacuated":  {[]string{"domain-1", "domain-2"}, http.StatusServiceUnavailable, map[string]int{"mailbox-1": 0, "mailbox-2": 0}},
	} {
		t.Run(name, func(t *testing.T) {
			runFixture(t, []string{"mailbox-1", "mailbox-2"}, func(t *testing.T, f *fixture) {
				f.store.updateUpstreams(func(u *traffic.Upstream) { u.FailureDomain = "domain-" + u.ID[len("mailbox-"):] })
				f.store.setEvacuated(5, test.evacuated...)
				for n := range 10 {
					start := time.Now()
					got := f.do(f.request(http.MethodPost, "/notice/x", fmt.Sprint("r", n), "hello"))
					require.NoError(t, got.err)
					require.Equal(t, test.status, got.status)
					if test.status != http.StatusOK {
						require.Zero(t, time.Since(start))
						require.NotEmpty(t, got.header.Get("Retry-After"))
						require.Equal(t, 2, f.recorder.lastRecord().Steps[0].Evacuated)
					}
				}
				if len(test.evacuated) == 0 {
					return
				}
				for id, runs := range test.runs {
					require.Len(t, f.runners[id].Runs(), runs, id)
				}
			})
		})
	}
}

// Guards against retries that go to a failure domain that was evacuated since the first attempt.
func TestRetrySkipsDomainEvacuatedMeanwhile(t *testing.T) {
	runFixture(t, []string{"mailbox-1", "mailbox-2", "mailbox-3"}, func(t *testing.T, f *fixture) {
		f.store.updateUpstreams(func(u *traffic.Upstream) { u.FailureDomain = "domain-" + u.ID[len("mailbox-"):] })
		f.store.setEvacuated(5, "domain-1", "domain-2")
		j := &job{Handler: f.handler, snapshot: f.handler.Membership.Snapshot(), arrived: time.Now(), route: &traffic.Route{Name: "scan"}}
		j.pool, _ = j.snapshot.Configuration().Pool("mailbox")
		require.Equal(t, "mailbox-3", j.place().ID)
		f.store.setEvacuated(6, "domain-2", "domain-3")
		require.Equal(t, "mailbox-1", j.place().ID)
	})
}

// Guards against requests to cold engines while a warm one accepts them, and against more of them
// than a cold engine bears. What cannot be sent is refused at once, as not run.
func TestColdEnginesAreLimited(t *testing.T) {
	for name, test := range map[string]struct {
		cold map[string]bool
		// minServed and maxServed bound how many of the requests are served.
		minServed, maxServed int
	}{
		"none cold": {nil, 6, 6},
		"one cold":  {map[string]bool{"reader-1": true}, 6, 6},
		"all cold":  {map[string]bool{"reader-1": true, "reader-2": true, "reader-3": true}, 3, 5},
	} {
		t.Run(name, func(t *testing.T) {
			runFixture(t, []string{"reader-1", "reader-2", "reader-3"}, func(t *testing.T, f *fixture) {
				f.store.updateUpstreams(func(u *traffic.Upstream) {
					if test.cold[u.ID] {
						u.ColdFor = 3 * time.Second
					}
				})
				served := 0
				for n := range 6 {
					got := f.do(f.streamRequest("/digest/x", fmt.Sprint("r", n), 1))
					require.NoError(t, got.err)
					if got.status == http.StatusOK {
						served++
						continue
					}
					require.Equal(t, http.StatusServiceUnavailable, got.status)
					require.NotEmpty(t, got.header.Get("Retry-After"))
					require.Zero(t, f.runCount(fmt.Sprint("r", n)))
					require.Equal(t, reasonCold, f.recorder.lastRecord().Steps[0].Reason)
				}
				require.GreaterOrEqual(t, served, test.minServed)
				require.LessOrEqual(t, served, test.maxServed)
				if len(test.cold) == 1 {
					require.Empty(t, f.runners["reader-1"].Runs())
				}
				f.store.updateUpstreams(func(u *traffic.Upstream) { u.ColdFor = 0 })
				got := f.do(f.streamRequest("/digest/x", "later", 1))
				require.Equal(t, http.StatusOK, got.status)
			})
		})
	}
}
