package overload

import (
	"math"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// levelsTTL is how long levels are in force: three plans. Older ones would refuse requests after an
	// overload has ended.
	levelsTTL = 1500 * time.Millisecond
	// minRetryAfter is the least Retry-After time: a full service works off its queue within about that
	// time.
	minRetryAfter = 240 * time.Millisecond
	// retryJitter is the part of a Retry-After time by which it is spread.
	retryJitter = 0.5
)

// A Reason says why a request is refused.
type Reason string

// The reasons.
const (
	// OverShare: the workspace asks for more than its share.
	OverShare Reason = "over-share"
	// LessUrgent: more urgent requests take the room.
	LessUrgent Reason = "less-urgent"
	// PoolFull: the pool is full of requests that are alike.
	PoolFull Reason = "full"
	// Returned: the request came back after a refusal and can no longer be on time.
	Returned Reason = "returning"
)

// A Verdict is the decision on one request.
type Verdict struct {
	// Known is false if this host has no levels in force; it then decides by itself.
	Known    bool
	Admitted bool
	// Limited is set if the pool is full, so that not all of what is asked for is admitted.
	Limited bool
	// Reason is why the request is refused.
	Reason Reason
	// RetryAfter is when a refused request should come back.
	RetryAfter time.Duration
	// Ratio is the part that is admitted of requests like this one.
	Ratio float64
	// Excess is set if the request is beyond the usual rate of a workspace that surges.
	Excess bool
}

// A Gate admits or refuses requests at one host by the levels of the region. It is safe for concurrent use.
type Gate struct {
	mu         sync.Mutex
	levels     *Levels
	computedAt time.Time
	// logged is the state that was logged last.
	logged LevelsState
}

// NewGate returns a gate without levels.
func NewGate() *Gate { return &Gate{logged: NoLevels} }

// Apply puts levels into force that were computed at a time; nil ends those in force.
func (g *Gate) Apply(l *Levels, computedAt time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.levels, g.computedAt = l, computedAt
}

// Decide returns whether a request is admitted. All hosts with the same levels decide alike.
func (g *Gate) Decide(now time.Time, q Request) Verdict {
	levels := g.inForce(now)
	if levels == nil {
		return Verdict{}
	}
	p := levels.Pools[q.Pool]
	if p == nil && levels.Partial {
		return Verdict{}
	}
	if p == nil {
		return Verdict{Known: true, Admitted: true, Ratio: 1}
	}
	draw, admitDraw := draws(q.ID)
	excessRatio := p.Workspaces[q.Workspace&workspaceIDMask].Excess
	excess := draw < excessRatio
	ratio, reason := p.ratio(q, excess)
	// The draw that tells excess from the rest can't be used again.
	v := Verdict{Known: true, Limited: true, Ratio: ratio, Admitted: admitDraw < ratio, Excess: excess}
	if !v.Admitted {
		v.Reason = reason
		v.RetryAfter = spread(max(p.RetryAfter, minRetryAfter), rescale(draw, excessRatio))
	}
	return v
}

// inForce returns the levels in force, or nil.
func (g *Gate) inForce(now time.Time) *Levels {
	if levels, state, _ := g.observe(now); state == LevelsInForce {
		return levels
	}
	return nil
}

// ratio returns the part that is admitted of requests like this one, and why others are refused. Excess is set for
// a request beyond the usual rate of its workspace.
func (p *PoolLevels) ratio(q Request, excess bool) (float64, Reason) {
	level, limited := p.Ranks[clampRank(q.Rank)]
	if !limited {
		return 1, ""
	}
	w, listed := p.Workspaces[q.Workspace&workspaceIDMask]
	switch {
	case excess:
		return level.Excess, OverShare
	case q.isLate():
		return level.Late, Returned
	case listed && w.Rate > level.Share:
		return level.Share / w.Rate, OverShare
	case listed:
		return 1, ""
	case level.Displaced:
		return level.Others, LessUrgent
	}
	return level.Others, PoolFull
}

// draws returns two independent numbers in [0, 1) that are the same at all hosts.
func draws(id string) (first, second float64) {
	h := xxhash.Sum64String(id)
	return float64(uint32(h)) / (math.MaxUint32 + 1), float64(h>>32) / (math.MaxUint32 + 1)
}

// rescale returns a number that is uniform in [0, 1) both for draws below a ratio and for the others.
func rescale(draw, ratio float64) float64 {
	if draw < ratio {
		return draw / ratio
	}
	return (draw - ratio) / (1 - ratio)
}

// spread returns a time between d and half as much more, by a number in [0, 1).
func spread(d time.Duration, draw float64) time.Duration {
	return d + time.Duration(retryJitter*draw*float64(d))
}
