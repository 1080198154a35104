package fleet

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"jackdawhinge/jackdawd/internal/overload"
	"jackdawhinge/jackdawd/internal/placement"
)

// Guards against a demand that is lost because a call leaves it out: at a parent that does not keep it or is a new one,
// after a plan, or when no plans come any more.
func TestDemandIsLeftOutOnlyWhereKept(t *testing.T) {
	for name, test := range map[string]struct {
		between func(child *Source)
		keeps   bool
		parent  string
		kept    bool
	}{
		"nothing new":                {func(*Source) {}, true, "entry-1", true},
		"parent of an earlier build": {func(*Source) {}, false, "entry-1", false},
		"another parent":             {func(*Source) {}, true, "entry-2", false},
		"call failed":                {func(child *Source) { child.forgetReported() }, true, "entry-1", false},
		"no plans":                   {func(*Source) { time.Sleep(planInterval) }, true, "entry-1", false},
		"new plan": {func(child *Source) {
			child.applyExchange(time.Now(), &ExchangeReply{Plan: &placement.Plan{}, KeepsDemand: true})
		}, true, "entry-1", false},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				m := newMixedTree(t, func(*simulation, *simulatedHost) bool { return false })
				child, parent := m.byDepth[0], newSubtree()
				m.load(child)
				args := child.source.exchangeArgs(time.Now(), Peer{Name: "entry-1"})
				require.NotEmpty(t, args.Demand)
				parent.record(time.Now(), &args)
				child.source.applyExchange(time.Now(), &ExchangeReply{KeepsDemand: test.keeps})
				test.between(child.source)
				args = child.source.exchangeArgs(time.Now(), Peer{Name: test.parent})
				require.Equal(t, test.kept, args.DemandKept)
				require.Equal(t, test.kept, args.Demand == nil)
				parent.record(time.Now(), &args)
				demand := parent.sumInProgress(time.Now(), placement.InProgress{}, "").Demand
				require.Positive(t, demand.Pools[overload.PoolID(simulatedPool)].Arrivals())
			})
		})
	}
}
