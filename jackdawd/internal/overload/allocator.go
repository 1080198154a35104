package overload

import (
	"math"
	"time"
)

const (
	// engineOccupancy is the ratio of an engine pool's slots that is to be used. Prompts tie requests to engines, so that
	// with more some engines have queues while others have free slots.
	engineOccupancy = 0.95
	// serviceQueueRatio is how many requests a service is to have for each of its slots. Its requests are short: with two
	// that wait for each one that runs no slot is idle, and they wait for twice as long as they run.
	serviceQueueRatio = 3
	// serviceCapacityRatio makes up for the times in slots of services, which contain a part of the wait. What is
	// admitted in error shows in the requests in progress.
	serviceCapacityRatio = 1.3
	// correctionTime is the time within which the requests in progress are brought to the target. What is known of
	// them is half as old.
	correctionTime = time.Second
	// minBudgetRatio and maxBudgetRatio bound the budget, as ratios of what the pool gets done: the most urgent
	// requests get in while a queue drains, and old news must not fill an idle pool at once.
	minBudgetRatio = 0.2
	maxBudgetRatio = 1.2
	// releasedWindow is the time over which the work of requests that end is averaged.
	releasedWindow = 700 * time.Millisecond
	// minShareRatio is the part of the budget up to which each rank is admitted before more urgent ones, as
	// far as it asks for it.
	minShareRatio = 0.1
	// minAdmissionRatio is the part of the ratio admitted over all ranks that each rank gets at least. It
	// is twice what makes a class starve.
	minAdmissionRatio = 0.5
	// batchSlowdown is by how much longer a request takes at an upstream that batches with all slots in use than alone.
	// A step of a batch takes longer with each request, and so do the prompts that are read between steps.
	batchSlowdown = 0.5
	// initialSlotTime is the time in a slot that is assumed for a rank before any of its requests has ended.
	initialSlotTime = 500 * time.Millisecond
	// slotTimeWindow is the time over which times in slots are averaged. A longer one lags behind an overload, which
	// makes requests take longer.
	slotTimeWindow = 2 * time.Second
	// risingDemandWindow is the time over which demand is averaged while it rises, fallingDemandWindow while it falls.
	// An overload fills all slots within a second; the pause between two clumps of arrivals is none.
	risingDemandWindow  = 100 * time.Millisecond
	fallingDemandWindow = 400 * time.Millisecond
	// newsAge is how old the requests in progress are that a computation knows, until its levels are in force.
	newsAge = 500 * time.Millisecond
	// maxDemandScale bounds the factor that makes up for hosts that don't report.
	maxDemandScale = 3
	// minDemandScale is the factor from which it is applied: counts of requests and of demand reach the root
	// at slightly different times.
	minDemandScale = 1.25
	// restartGap is the time without demand after which a pool is forgotten.
	restartGap = 10 * time.Second
	// surplusTime is how long an overload is expected to last at least in which twice as much is asked for as fits.
	surplusTime = 2 * time.Second
	// overloadGap is how long after its last limited level an overload is over.
	overloadGap = time.Second
	// maxRetryAfter bounds Retry-After times.
	maxRetryAfter = 10 * time.Second
	// fixedPointSteps is how often the minimums of ranks are lowered to the ratios of more urgent ones. Each
	// step settles at least one rank.
	fixedPointSteps = NumRanks
)

// A PoolState is what is known of a pool from other sources than the demand.
type PoolState struct {
	Pool uint32
	// Batches is set if its upstreams work on all requests together, so that each takes longer the more there are.
	Batches bool
	// Slots is the number of requests that its upstreams work on at the same time.
	Slots float64
	// Running is the number of requests in progress there, waiting ones included.
	Running float64
}

// An Allocator computes levels from the demand of all hosts of a region. It is used by one goroutine at a time.
type Allocator struct {
	pools map[uint32]*poolState
}

// poolState is what is kept of a pool from one computation to the next.
type poolState struct {
	computedAt time.Time
	ranks      [NumRanks]rankState
	workspaces *workspaces
	// occupancy is the ratio of the slots that were in use, averaged as times in slots are.
	occupancy float64
	// admitted is the work that the last levels let in, and released that of the requests that end, in slots.
	admitted, released float64
	// limitedSince and limitedAt are when the current overload has begun and when it was last seen.
	limitedSince, limitedAt time.Time
}

// rankState holds averages of one rank.
type rankState struct {
	// newRate and lateRate are arrivals per second.
	newRate, lateRate float64
	// ended and busy decay over slotTimeWindow.
	ended float64
	busy  time.Duration
}

// NewAllocator returns an allocator that knows no pools.
func NewAllocator() *Allocator { return &Allocator{pools: map[uint32]*poolState{}} }

// Compute returns the levels for the demand of the last Window, or nil if no host reports any.
func (a *Allocator) Compute(now time.Time, d *Demand, states []PoolState) *Levels {
	if d == nil || len(d.Pools) == 0 {
		return nil
	}
	levels := &Levels{Partial: d.Partial, Pools: map[uint32]*PoolLevels{}}
	for _, state := range states {
		demand := d.Pools[state.Pool]
		if demand == nil || state.Slots <= 0 {
			continue
		}
		p := a.pools[state.Pool]
		if p == nil || now.Sub(p.computedAt) > restartGap {
			p = &poolState{computedAt: now.Add(-Window), workspaces: newWorkspaces(now)}
			a.pools[state.Pool] = p
		}
		if l := p.compute(now, demand, state); l != nil {
			levels.Pools[state.Pool] = l
		}
	}
	a.listWorkspaces(levels)
	for id, p := range a.pools {
		if now.Sub(p.computedAt) > restartGap {
			delete(a.pools, id)
		}
	}
	return levels
}

// listWorkspaces adds to the levels of each pool the workspaces that they limit, as many as fit into a message.
func (a *Allocator) listWorkspaces(levels *Levels) {
	room := MaxLevelsBytes - levels.sizeWithoutWorkspaces()
	for id, l := range levels.Pools {
		a.pools[id].workspaces.list(l, max(room, 0)/len(levels.Pools)/workspaceBytes)
	}
}

// compute returns the levels of one pool, or nil if it is not full.
func (p *poolState) compute(now time.Time, d *PoolDemand, state PoolState) *PoolLevels {
	elapsed := now.Sub(p.computedAt)
	p.computedAt = now
	scale := d.scale(state.Running)
	ended := 0.0
	for r := range p.ranks {
		p.ranks[r].observe(d.Ranks[r], scale, elapsed)
		ended += scale * d.Ranks[r].Busy.Seconds() / Window.Seconds()
	}
	p.released += (ended - p.released) * smoothing(elapsed, releasedWindow)
	p.workspaces.observe(now, d, scale, elapsed)
	a := newAllocation(&p.ranks, p.workspaces.excessRatio(), p.slowdown(state, elapsed))
	a.fill(p.budget(state))
	p.admitted = min(a.demand, a.budget)
	if !a.isLimited() {
		return nil
	}
	if now.Sub(p.limitedAt) > overloadGap {
		p.limitedSince = now
	}
	p.limitedAt = now
	l := p.levels(a, now.Sub(p.limitedSince))
	l.basis = basis{budget: a.budget, demand: a.demand, running: state.Running, slots: state.Slots}
	return l
}

// scale returns the factor that makes up for hosts that don't report their demand: the ratio of all requests in
// progress to those of the hosts that do.
func (d *PoolDemand) scale(running float64) float64 {
	scale := min(running/max(float64(d.Running), 1), maxDemandScale)
	if scale < minDemandScale || d.Running == 0 {
		return 1
	}
	return scale
}

func (r *rankState) observe(d RankDemand, scale float64, elapsed time.Duration) {
	r.newRate = average(r.newRate, scale*float64(d.New)/Window.Seconds(), elapsed)
	r.lateRate = average(r.lateRate, scale*float64(d.Late)/Window.Seconds(), elapsed)
	decay := 1 - smoothing(elapsed, slotTimeWindow)
	r.ended = r.ended*decay + float64(d.Ended)
	r.busy = time.Duration(float64(r.busy)*decay) + d.Busy
}

// average adds a sample to an average of rates.
func average(rate, sample float64, elapsed time.Duration) float64 {
	window := fallingDemandWindow
	if sample > rate {
		window = risingDemandWindow
	}
	return rate + (sample-rate)*smoothing(elapsed, window)
}

// slotTime returns the mean time for which a request occupies a slot.
func (r *rankState) slotTime() time.Duration {
	if r.ended < 1 {
		return initialSlotTime
	}
	return time.Duration(float64(r.busy) / r.ended)
}

// slowdown returns how much longer requests will take with the target occupancy than those that have ended took.
func (p *poolState) slowdown(state PoolState, elapsed time.Duration) float64 {
	if !state.Batches {
		return 1
	}
	p.occupancy += (min(state.Running/state.Slots, 1) - p.occupancy) * smoothing(elapsed, slotTimeWindow)
	return (1 + batchSlowdown) / (1 + batchSlowdown*p.occupancy)
}

// capacity returns how many slots' worth of work the upstreams get done.
func (s PoolState) capacity() float64 {
	if s.Batches {
		return engineOccupancy * s.Slots
	}
	return serviceCapacityRatio * s.Slots
}

// target returns how many requests are to be in progress, waiting ones included.
func (s PoolState) target() float64 {
	if s.Batches {
		return engineOccupancy * s.Slots
	}
	return serviceQueueRatio * s.Slots
}

// budget returns how many slots' worth of work the pool can take in: what it gets done, plus or minus what brings the
// requests in progress to the target. What a full pool gets done is what requests that end release: their times and
// those of requests that begin are known equally well, so that an error in them cancels out.
func (p *poolState) budget(state PoolState) float64 {
	target, capacity, slotTime := state.target(), state.capacity(), p.meanSlotTime()
	// By the time that levels are in force, requests have ended and others have begun.
	growth := 0.0
	if p.released > 0 {
		growth = (p.admitted - p.released) * min(newsAge.Seconds()/slotTime.Seconds(), 1)
	}
	running := state.Running + growth
	done := max(p.released, capacity*min(max(2-running/target, 0), 1))
	gain := min(slotTime.Seconds()/correctionTime.Seconds(), 1) * capacity / target
	return min(max(done+(target-running)*gain, minBudgetRatio*capacity), maxBudgetRatio*capacity)
}

// meanSlotTime returns the mean over all requests, weighted by the slots that they take.
func (p *poolState) meanSlotTime() time.Duration {
	sum, weight := 0.0, 0.0
	for r := range p.ranks {
		s := p.ranks[r].slotTime().Seconds()
		w := p.ranks[r].newRate * s
		sum += w * s
		weight += w
	}
	if weight == 0 {
		return initialSlotTime
	}
	return time.Duration(sum / weight * float64(time.Second))
}

// levels turns an allocation into the levels that hosts draw against.
func (p *poolState) levels(a *allocation, overloadedFor time.Duration) *PoolLevels {
	l := &PoolLevels{Ranks: map[int]RankLevel{}, Workspaces: map[uint32]WorkspaceRate{}, RetryAfter: retryAfter(overloadedFor, a.overallRatio())}
	for r := range a.ranks {
		if !a.isRankLimited(r) {
			continue
		}
		level := RankLevel{Share: math.Inf(1), Others: 1, Late: a.ratio(lateDemand, r), Excess: a.ratio(excessDemand, r), Displaced: a.ratio(newDemand, r) < a.highestRatio()}
		if ratio := a.ratio(newDemand, r); ratio < 1 {
			level.Share = p.workspaces.share(r, ratio)
		}
		l.Ranks[r] = level
	}
	return l
}

// retryAfter returns when refused requests should come back. The end of an overload is unknown; the best estimate
// is that it lasts as long again. One that leaves room for few requests ends no sooner than one that lets most
// of them in.
func retryAfter(overloadedFor time.Duration, ratio float64) time.Duration {
	surplus := time.Duration((1/max(ratio, 0.1) - 1) * float64(surplusTime))
	return min(max(overloadedFor, surplus, minRetryAfter), maxRetryAfter)
}

// smoothing returns the EWMA factor of a sample after elapsed, for an average over window.
func smoothing(elapsed, window time.Duration) float64 {
	return 1 - math.Exp(-elapsed.Seconds()/window.Seconds())
}
