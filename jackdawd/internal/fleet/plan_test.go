package fleet

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"jackdawhinge/jackdawd/internal/placement"
)

// Requests arrive at the leaves of the tree, and the root's next plan must include them all:
// reports pass through all levels within one poll instead of one poll per level.
func TestPlanIncludesRequestsOfLeafHosts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newTestFleet(t)
		f.startAll(true)
		f.waitUntilInitialized()
		time.Sleep(5 * time.Second)
		requests := 0
		for _, p := range f.running {
			plans := p.source.options.Plans.(*placement.Balancer)
			plans.Begin(7 << 33)
			requests++
		}
		time.Sleep(2 * planInterval)
		for _, p := range f.running {
			if _, hasParent := p.source.directory.ExchangeParent(time.Now()); hasParent {
				continue
			}
			all := p.source.inProgress(time.Now())
			require.Equal(t, requests, all.Prompts[placement.PromptHash(7<<33)])
		}
		f.stop()
	})
}
