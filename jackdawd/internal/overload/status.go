package overload

import (
	"math"
	"time"

	"github.com/sirupsen/logrus"
)

// A LevelsState says by what a host decides.
type LevelsState string

// The states.
const (
	// NoLevels: the newest plan has no levels. The host decides by itself.
	NoLevels LevelsState = "none"
	// LevelsInForce: the host decides by the levels of the region.
	LevelsInForce LevelsState = "in-force"
	// LevelsExpired: no plan has come since the levels became too old. The host decides by itself.
	LevelsExpired LevelsState = "expired"
)

// State returns whether levels are in force, and the age of the newest ones, 0 without any. It logs changes, so that
// it must be called regularly at hosts without requests.
func (g *Gate) State(now time.Time) (LevelsState, time.Duration) {
	_, state, age := g.observe(now)
	return state, age
}

// observe returns the newest levels with their state and age, and logs if the state differs from that of the previous
// call.
func (g *Gate) observe(now time.Time) (*Levels, LevelsState, time.Duration) {
	g.mu.Lock()
	levels, state, age := g.levels, NoLevels, time.Duration(0)
	if levels != nil {
		state, age = LevelsInForce, now.Sub(g.computedAt)
		if age > levelsTTL {
			state = LevelsExpired
		}
	}
	changed := state != g.logged
	g.logged = state
	g.mu.Unlock()
	if changed {
		logState(state, age)
	}
	return levels, state, age
}

func logState(state LevelsState, age time.Duration) {
	log := logrus.WithField("age", age.String())
	switch state {
	case LevelsInForce:
		log.Info("overload: Levels are in force.")
	case LevelsExpired:
		log.Warn("overload: The levels expired. This host decides by itself.")
	case NoLevels:
		logrus.Info("overload: The plan has no levels. This host decides by itself.")
	}
}

// A PoolStatus describes the levels of one pool to operators.
type PoolStatus struct {
	Pool   uint32
	Levels PoolLevels
}

// Status returns the levels in force, in no particular order.
func (g *Gate) Status(now time.Time) []PoolStatus {
	levels := g.inForce(now)
	if levels == nil {
		return nil
	}
	var out []PoolStatus
	for id, p := range levels.Pools {
		out = append(out, PoolStatus{Pool: id, Levels: *p})
	}
	return out
}

// ListedWorkspaces returns the given number of listed workspaces at most, those with the most requests first.
func (p *PoolLevels) ListedWorkspaces(limit int) []uint32 {
	listed := p.byRate()
	return listed[:min(len(listed), limit)]
}

// LimitedWorkspaces returns the listed workspaces of whose requests not all are admitted, those with the most requests
// first.
func (p *PoolLevels) LimitedWorkspaces() []uint32 {
	limitsExcess := false
	for _, level := range p.Ranks {
		limitsExcess = limitsExcess || level.Excess < 1
	}
	var limited []uint32
	for _, id := range p.byRate() {
		if p.WorkspaceRatio(id) < 1 || limitsExcess && p.Workspaces[id].Excess > 0 {
			limited = append(limited, id)
		}
	}
	return limited
}

// WorkspaceRatio returns the part that is admitted of a listed workspace's requests, without its excess, at the rank
// that admits least of them.
func (p *PoolLevels) WorkspaceRatio(id uint32) float64 {
	share := math.Inf(1)
	for _, level := range p.Ranks {
		share = min(share, level.Share)
	}
	return ratioWithin(share, p.Workspaces[id].Rate)
}

// ratioWithin returns the part of a rate that is within a share.
func ratioWithin(share, rate float64) float64 {
	if rate <= share {
		return 1
	}
	return share / rate
}

// lowestRatio returns the part that a rank admits of the requests of the workspace of which it admits least, excess
// and late requests aside.
func (p *PoolLevels) lowestRatio(rank int) float64 {
	lowest := p.Ranks[rank].Others
	for _, w := range p.Workspaces {
		lowest = min(lowest, ratioWithin(p.Ranks[rank].Share, w.Rate))
	}
	return lowest
}
