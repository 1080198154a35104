package fleet

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"jackdawhinge/jackdawd/internal/placement"
)

// Requests come to hosts at the bottom of the tree. The plan that the region's first host draws
// a second later knows of them all: what the lowest hosts tell passes all steps within one
// call, and not a call later for each.
func TestPlanKnowsWhatTheLowestHostsHave(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newHosts(t)
		f.startAll(true)
		f.untilAllKnow()
		time.Sleep(5 * time.Second)
		requests := 0
		for _, p := range f.running {
			plans := p.source.options.Plans.(*placement.Balancer)
			plans.Begin(7 << 33)
			requests++
		}
		time.Sleep(2 * planInterval)
		for _, p := range f.running {
			if _, follows := p.source.directory.ExchangeParent(time.Now()); follows {
				continue
			}
			all := p.source.inProgress(time.Now())
			require.Equal(t, requests, all.Prompts[placement.PromptHash(7<<33)])
		}
		f.end()
	})
}
