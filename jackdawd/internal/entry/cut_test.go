package entry

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"jackdawhinge/standin/network"
)

// cutScopes says which hosts of a fleet lose which pool; an empty pool stands for all.
var cutScopes = map[string]struct {
	hosts []int
	pool  string
}{
	"one host, all upstreams":         {hosts: []int{0}},
	"failure domain, all upstreams":   {hosts: []int{0, 2, 4}},
	"all hosts but one":               {hosts: []int{0, 1, 2, 3, 4}},
	"failure domain, one pool":        {hosts: []int{1, 3, 5}, pool: "mailbox"},
	"two hosts, engines":              {hosts: []int{1, 2}, pool: "reader"},
	"all hosts, service or engines":   {hosts: []int{0, 1, 2, 3, 4, 5}, pool: "split"},
	"failure domain and one from all": {hosts: []int{0, 2, 4, 5}},
}

// Hosts that cannot reach the upstreams refuse requests that hosts that reach them would serve.
func TestHostsCutOffFromUpstreamsServeCallers(t *testing.T) {
	for scope, test := range cutScopes {
		for _, how := range []network.Cut{network.Hang, network.Reset, network.Refuse} {
			t.Run(scope+"/"+string(how), func(t *testing.T) {
				runFleet(t, 6, func(t *testing.T, f *testFleet) {
					f.callAll(3*time.Second, 100*time.Millisecond)
					for _, i := range test.hosts {
						f.cut(f.hosts[i], cutPool(test.pool, i), how)
					}
					if how == network.Refuse {
						// Idle connections live on and would carry requests until they expire.
						time.Sleep(10 * time.Second)
					}
					f.callAll(stable, 200*time.Millisecond)
					for host, counts := range f.callAll(6*time.Second, 100*time.Millisecond) {
						require.GreaterOrEqual(t, 50*counts.served, 49*counts.sent, "%s: %d of %d, %v", host, counts.served, counts.sent, counts.failures)
					}
					f.requireRunOnce()
				})
			})
		}
	}
}

// cutPool returns the pool that a host loses; half of the hosts lose each if the scope is split.
func cutPool(pool string, host int) string {
	switch {
	case pool != "split":
		return pool
	case host%2 == 0:
		return "mailbox"
	}
	return "reader"
}

// Requests for upstreams that no host reaches must be refused at once, not after a timeout for each
// upstream.
func TestUnreachableUpstreamsAreRefusedAtOnce(t *testing.T) {
	for _, how := range []network.Cut{network.Hang, network.Reset} {
		t.Run(string(how), func(t *testing.T) {
			runFleet(t, 6, func(t *testing.T, f *testFleet) {
				for _, h := range f.hosts {
					f.cut(h, "", how)
				}
				f.callAll(stable, 100*time.Millisecond)
				var total time.Duration
				const calls = 50
				for i := range calls {
					start := time.Now()
					require.Contains(t, f.call(t.Context(), f.hosts[i%6], "notice", fmt.Sprintf("notice-%d", i)), "not-run")
					total += time.Since(start)
					time.Sleep(20 * time.Millisecond)
				}
				require.Less(t, total/calls, 100*time.Millisecond)
			})
		})
	}
}
