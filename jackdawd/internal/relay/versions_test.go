package relay

import (
	"fmt"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"jackdawhinge/common/traffic"
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
