package fleet

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"jackdawhinge/common/traffic"
	"jackdawhinge/jackdawd/internal/placement"
)

// Guards against hosts that go on sending requests to an upstream that others find silent.
func TestAllHostsLearnOfSilentUpstreams(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newTestFleet(t)
		f.size = 60
		defer f.stop()
		f.startAll(true)
		f.waitUntilInitialized()
		time.Sleep(5 * time.Second)
		var upstreams []*traffic.Upstream
		for _, id := range []string{"a", "b", "c"} {
			upstreams = append(upstreams, &traffic.Upstream{ID: id, Hash: traffic.HashID(id)})
		}
		silent := func(name string) *placement.SilentUpstreams {
			return f.running[name].source.options.Silent.(*placement.SilentUpstreams)
		}
		names := f.namesByDepth()
		for _, name := range names[len(names)-2:] {
			silent(name).RecordOverdue(time.Now(), upstreams[0], time.Now().Add(-time.Second))
			time.Sleep(5 * time.Millisecond)
		}
		time.Sleep(silenceReportDelay)
		for name := range f.running {
			require.Len(t, silent(name).Responding(time.Now(), upstreams), 2, name)
		}

		// A child of an earlier build would otherwise call again and again.
		start := time.Now()
		require.NoError(t, (&service{source: f.running[names[0]].source}).Cases(&CasesArgs{Wait: time.Second}, &CasesReply{}))
		require.Equal(t, time.Second, time.Since(start))
	})
}
