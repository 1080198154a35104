package relay

import (
	"fmt"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"jackdawhinge/common/traffic"
	"jackdawhinge/jackdawd/internal/resumption"
	"jackdawhinge/platform/standin"
)

// setVersions sets the software versions of runners and waits until the host knows.
func (f *fixture) setVersions(versions map[string]string) {
	for id, version := range versions {
		f.runners[id].SetVersion(version)
	}
	f.store.updateUpstreams(func(u *traffic.Upstream) { u.SoftwareVersion = versions[u.ID] })
}

// breakFirstAttempts makes the first attempt of each request end within its stream, after a number of
// events.
func (f *fixture) breakFirstAttempts(events int) {
	f.setBehaviors(func(u *standin.Runner) standin.Behavior {
		return func(w http.ResponseWriter, r *http.Request, body []byte) bool {
			if f.runCount(r.Header.Get(standin.RequestIDHeader)) > 0 {
				return false
			}
			return truncatedStream(u, events)(w, r, body)
		}
	})
}

// versionsOf returns the versions of the runners that ran a request.
func (f *fixture) versionsOf(id string, versions map[string]string) map[string]bool {
	found := map[string]bool{}
	for runner, version := range versions {
		for _, run := range f.runners[runner].Runs() {
			if run.ID == id {
				found[version] = true
			}
		}
	}
	return found
}

// A stream whose engine crashes must not go on at an engine of another software version: callers get
// pieces that do not fit together.
func TestStreamIsResumedAtItsVersion(t *testing.T) {
	versions := map[string]string{"reader-1": "v1", "reader-2": "v1", "reader-3": "v2", "reader-4": "v2"}
	runFixture(t, []string{"reader-1", "reader-2", "reader-3", "reader-4"}, func(t *testing.T, f *fixture) {
		f.setVersions(versions)
		f.breakFirstAttempts(3)
		for i := range 40 {
			id := fmt.Sprintf("r%d", i)
			// Each request begins with a whole budget of retries.
			time.Sleep(10 * time.Second)
			req, err := testCaller.Stream(t.Context(), "/digest/x", id, id, 9)
			require.NoError(t, err)
			got := f.do(req)
			require.NoError(t, got.err)
			require.Len(t, f.versionsOf(id, versions), 1, "%s: %s", id, got.body)
			require.Equal(t, 2, f.runCount(id))
		}
	})
}

// A stream for whose software version no other engine is left must end as truncated at once, without
// a run at another version.
func TestStreamEndsWithoutEngineOfItsVersion(t *testing.T) {
	versions := map[string]string{"reader-1": "v1", "reader-2": "v2"}
	runFixture(t, []string{"reader-1", "reader-2"}, func(t *testing.T, f *fixture) {
		f.setVersions(versions)
		f.breakFirstAttempts(3)
		got := f.do(f.streamRequest("/digest/x", "r1", 9))
		require.Error(t, got.err)
		require.Len(t, f.versionsOf("r1", versions), 1)
	})
}

// An attempt that failed before its first event leaves nothing to resume: the stream may begin at any
// version.
func TestStreamWithoutEventsMayBeginAtAnotherVersion(t *testing.T) {
	versions := map[string]string{"reader-1": "v1", "reader-2": "v2"}
	runFixture(t, []string{"reader-1", "reader-2"}, func(t *testing.T, f *fixture) {
		f.setVersions(versions)
		var crashed atomic.Bool
		f.setBehaviors(func(*standin.Runner) standin.Behavior {
			return func(http.ResponseWriter, *http.Request, []byte) bool {
				if crashed.Swap(true) {
					return false
				}
				panic(http.ErrAbortHandler)
			}
		})
		got := f.do(f.streamRequest("/digest/x", "r1", 9))
		require.NoError(t, got.err)
		require.Equal(t, http.StatusOK, got.status)
	})
}

// resumeRequest returns request r2, by which a caller takes a stream up after event 4; an empty value
// leaves its header out.
func (f *fixture) resumeRequest(lastEvent, resumed string) *http.Request {
	req := f.streamRequest("/digest/x", "r2", 9)
	for name, value := range map[string]string{standin.LastEventIDHeader: lastEvent, standin.ResumesHeader: resumed} {
		if value != "" {
			req.Header.Set(name, value)
		}
	}
	return req
}

// A caller must not get events of a version that did not begin its stream, whatever it says of the
// stream.
func TestResumptionByCaller(t *testing.T) {
	versions := map[string]string{"reader-1": "v1", "reader-2": "v2"}
	for name, test := range map[string]struct {
		lastEvent, resumed string
		status             int
		body               string
	}{
		"the first attempt":        {"4", "r1", http.StatusOK, "same"},
		"an unknown attempt":       {"4", "r9", http.StatusServiceUnavailable, ""},
		"its own ID":               {"4", "r2", http.StatusServiceUnavailable, ""},
		"no attempt":               {"4", "", http.StatusServiceUnavailable, ""},
		"an attempt, but no event": {"", "r1", http.StatusOK, "any"},
		"neither":                  {"", "", http.StatusOK, "any"},
		"a long ID":                {"4", strings.Repeat("x", 3000), http.StatusServiceUnavailable, ""},
	} {
		t.Run(name, func(t *testing.T) {
			runFixture(t, []string{"reader-1", "reader-2"}, func(t *testing.T, f *fixture) {
				f.setVersions(versions)
				f.streams.unrecorded = resumption.Origin{Source: resumption.Unknown}
				first := f.do(f.streamRequest("/digest/x", "r1", 9))
				require.NoError(t, first.err)
				got := f.do(f.resumeRequest(test.lastEvent, test.resumed))
				require.NoError(t, got.err)
				require.Equal(t, test.status, got.status, got.body)
				switch test.body {
				case "same":
					require.True(t, strings.HasSuffix(first.body, got.body))
					require.Contains(t, got.body, "id: 5\n")
				case "any":
					require.Contains(t, got.body, "id: 1\n")
				default:
					require.Zero(t, f.runCount("r2"), "refused as not run")
					require.NotEmpty(t, got.header.Get("Retry-After"))
				}
			})
		})
	}
}

// A host that resumes a stream must find it again under the ID of the attempt that began it, which its
// caller names the next time as well.
func TestResumedStreamKeepsItsFirstID(t *testing.T) {
	runFixture(t, []string{"reader-1"}, func(t *testing.T, f *fixture) {
		require.Equal(t, http.StatusOK, f.do(f.resumeRequest("4", "r1")).status)
		_, found := f.streams.table.Find(time.Now(), resumption.NewKey("mailroom", "r1"))
		require.True(t, found)
	})
}

// Another workspace that names an attempt must not learn of its stream.
func TestOtherWorkspaceResumesNothing(t *testing.T) {
	runFixture(t, []string{"reader-1"}, func(t *testing.T, f *fixture) {
		f.streams.unrecorded = resumption.Origin{Source: resumption.Unknown}
		f.streams.RecordStream("reader", resumption.Record{Key: resumption.NewKey("other", "r1"), Software: traffic.NewSoftware("reader", ""), Expiry: time.Now().Add(time.Minute)})
		require.Equal(t, http.StatusServiceUnavailable, f.do(f.resumeRequest("4", "r1")).status)
	})
}

// A stream whose version has no upstream that takes requests must be refused at once, not after its
// caller's deadline.
func TestStreamWithoutUpstreamOfItsVersionIsRefusedAtOnce(t *testing.T) {
	versions := map[string]string{"reader-1": "v1", "reader-2": "v1"}
	runFixture(t, []string{"reader-1", "reader-2"}, func(t *testing.T, f *fixture) {
		f.setVersions(versions)
		f.streams.RecordStream("reader", resumption.Record{Key: resumption.NewKey("mailroom", "r1"), Software: traffic.NewSoftware("reader", "v0"), Expiry: time.Now().Add(time.Minute)})
		start := time.Now()
		got := f.do(f.resumeRequest("4", "r1"))
		require.Equal(t, http.StatusServiceUnavailable, got.status)
		require.Less(t, time.Since(start), 50*time.Millisecond)
		require.Zero(t, f.runCount("r2"))
		steps := f.recorder.lastRecord().Steps
		require.Equal(t, reasonNoSoftware, steps[len(steps)-1].Reason)
	})
}

// A stream that is taken up again may queue for longer than a new one, as fewer upstreams can resume
// it, but not without a limit: its caller would wait until its deadline in an overload.
func TestResumedStreamMayQueueForItsTarget(t *testing.T) {
	for name, test := range map[string]struct {
		software traffic.Software
		delay    time.Duration
		tooLate  bool
	}{
		"new, short queue":     {0, 100 * time.Millisecond, false},
		"new, longer queue":    {0, 900 * time.Millisecond, true},
		"resumed, same queue":  {1, 900 * time.Millisecond, false},
		"resumed, beyond that": {1, 1100 * time.Millisecond, true},
	} {
		t.Run(name, func(t *testing.T) {
			runFixture(t, []string{"reader-1"}, func(t *testing.T, f *fixture) {
				j := &job{Handler: f.handler, arrived: time.Now(), software: test.software, delay: test.delay, pool: traffic.Pool{Engine: true}, route: &traffic.Route{FirstByteTarget: time.Second}}
				require.Equal(t, test.tooLate, j.wouldStartTooLate(&traffic.Upstream{}, j.maxDelay()))
			})
		})
	}
}
