package entry

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"jackdawhinge/common/traffic"
	"jackdawhinge/standin/network"
)

// Guards against a response through another host that is lost because that host stops, reads other settings or a list
// without the upstream, or because the direct path is back, while the upstream is silent.
func TestResponseThroughOtherHostArrives(t *testing.T) {
	for name, disturb := range map[string]func(f *testFleet){
		"nothing":          func(*testFleet) {},
		"other host stops": func(f *testFleet) { f.stopHost(1) },
		"settings change": func(f *testFleet) {
			for _, h := range f.hosts {
				b := *h.bounds.Load()
				b.RetryRatio, b.EntryTTL, b.MaxDrainDelay = 0.1, time.Second, time.Second
				h.SetBounds(b)
			}
		},
		"list without upstreams": func(f *testFleet) {
			f.store.mu.Lock()
			defer f.store.mu.Unlock()
			f.store.upstreams = nil
		},
		"upstreams leave": func(f *testFleet) {
			f.store.mu.Lock()
			defer f.store.mu.Unlock()
			for i := range f.store.upstreams {
				f.store.upstreams[i].State = traffic.Leaving
				f.store.upstreams[i].Sequence++
			}
		},
		"path restored": func(f *testFleet) { f.cut(f.hosts[0], "", "") },
	} {
		t.Run(name, func(t *testing.T) {
			runFleet(t, 2, func(t *testing.T, f *testFleet) {
				upstreams := f.store.upstreams
				f.cut(f.hosts[0], "", network.Reset)
				for _, r := range f.runners {
					r.SetBehavior(func(http.ResponseWriter, *http.Request, []byte) bool {
						time.Sleep(3 * time.Second)
						return false
					})
				}
				conn := f.startCall(f.hosts[0], "slow", "slow-1")
				time.Sleep(500 * time.Millisecond)
				require.EqualValues(t, 1, f.hosts[1].tunnels.Tunnels())
				disturb(f)
				require.Equal(t, http.StatusOK, readResponse(t, conn))
				f.store.upstreams = upstreams
			})
		})
	}
}
