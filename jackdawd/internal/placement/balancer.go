package placement

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"sync"
	"time"

	"jackdawhinge/common/traffic"
	"jackdawhinge/jackdawd/internal/overload"
)

const (
	// planTTL is how long a plan stays in force without being replaced. A plan for an outdated load
	// is worse than none.
	planTTL = 10 * time.Second
	// promptWindow is the time over which the requests in progress of a prompt are averaged.
	promptWindow = 750 * time.Millisecond
	// risingThreshold is the ratio of requests for a prompt to those in the plan from which a new
	// plan is computed at once. risingGrowthFactor is the growth expected until the plan after it.
	risingThreshold    = 1.2
	risingGrowthFactor = 2
	// maxPlanPrompts bounds the prompts in a plan.
	maxPlanPrompts = 16
	// minHotRequests is the least number of requests in progress that puts a prompt into a plan.
	minHotRequests = 3
)

// InProgress is how many requests are in progress, at one host or at several.
type InProgress struct {
	// Engines counts requests per engine, keyed by the lowest three bytes of its ShortHash.
	// Prompts counts requests per prompt, keyed by PromptHash.
	Engines map[uint32]int
	Prompts map[uint32]int
	// Demand is what was asked for a moment ago; nil where no host asks for pool-wide admission.
	Demand *overload.Demand
}

// An Admission decides for the whole region which requests are admitted.
type Admission interface {
	// Demand returns what this host was asked for a moment ago, or nil.
	Demand(now time.Time) *overload.Demand
	// ComputeLevels returns encoded levels for the demand of all hosts, or nil without demand.
	ComputeLevels(now time.Time, d *overload.Demand, pools []overload.PoolState) []byte
	// HasJump reports whether much more is asked for than when this host last computed levels.
	HasJump(d *overload.Demand) bool
	// ApplyLevels puts encoded levels into force that were computed at a time.
	ApplyLevels(encoded []byte, computedAt time.Time)
}

// A Balancer holds one host's plan in force. On the region's first host it also computes new plans.
type Balancer struct {
	mu    sync.Mutex
	loads *Loads
	// listEngines returns the engines that take new requests, by pool.
	listEngines func() map[string][]*traffic.Upstream
	inProgress  map[uint32]int
	// admission is nil if each host decides by itself; listPools returns all ready upstreams by pool.
	admission Admission
	listPools func() map[string][]*traffic.Upstream

	plan           *Plan
	planComputedAt time.Time
	// local is the plan resolved against the engines that this host knows.
	local *LocalPlan

	// loadMultiple returns how many times the mean load an engine may carry.
	loadMultiple func() float64
	// states, ceilings (by pool), prompts and lastComputedAt carry over from plan to plan.
	states         map[uint32]*engineState
	ceilings       map[string]*ceiling
	prompts        map[uint32]float64
	lastComputedAt time.Time
}

// NewBalancer returns a balancer without a plan. listEngines returns the engines that take new
// requests, by pool, and loadMultiple how many times the mean load an engine may carry.
func NewBalancer(loads *Loads, listEngines func() map[string][]*traffic.Upstream, loadMultiple func() float64) *Balancer {
	return &Balancer{
		loads: loads, listEngines: listEngines, loadMultiple: loadMultiple, inProgress: map[uint32]int{}, ceilings: map[string]*ceiling{},
		states: map[uint32]*engineState{}, prompts: map[uint32]float64{},
	}
}

// SetAdmission lets plans carry the levels of pool-wide admission. listPools returns the upstreams that take new
// requests, by pool. It must be called before the first plan.
func (b *Balancer) SetAdmission(admission Admission, listPools func() map[string][]*traffic.Upstream) {
	b.admission, b.listPools = admission, listPools
}

// Begin counts a request with the given prompt key as in progress.
func (b *Balancer) Begin(key uint64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.inProgress[PromptHash(key)]++
}

// End counts a request with the given prompt key as ended.
func (b *Balancer) End(key uint64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	prompt := PromptHash(key)
	if b.inProgress[prompt]--; b.inProgress[prompt] <= 0 {
		delete(b.inProgress, prompt)
	}
}

// InProgress returns the requests in progress at this host.
func (b *Balancer) InProgress() InProgress {
	b.mu.Lock()
	defer b.mu.Unlock()
	p := InProgress{Engines: b.loads.InProgress(), Prompts: maps.Clone(b.inProgress)}
	if b.admission != nil {
		p.Demand = b.admission.Demand(time.Now())
	}
	return p
}

// Plan returns the plan in force and when it was computed, or nil if there is none.
func (b *Balancer) Plan(now time.Time) (*Plan, time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.plan == nil || now.Sub(b.planComputedAt) > planTTL {
		return nil, time.Time{}
	}
	return b.plan, b.planComputedAt
}

// ApplyPlan applies a plan that another host computed at the given time, if it is newer.
func (b *Balancer) ApplyPlan(p *Plan, computedAt time.Time) {
	engines := b.listEngines()
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.plan == nil || computedAt.After(b.planComputedAt) {
		b.install(p, computedAt, engines)
	}
}

// LocalPlan returns the plan in force as this host applies it, or nil if there is none.
func (b *Balancer) LocalPlan(now time.Time) *LocalPlan {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.plan == nil || now.Sub(b.planComputedAt) > planTTL {
		return nil
	}
	return b.local
}

// install puts a plan into force. The caller must hold b.mu.
func (b *Balancer) install(p *Plan, computedAt time.Time, engines map[string][]*traffic.Upstream) {
	local := &LocalPlan{computedAt: computedAt, weights: map[uint32]uint8{}, means: map[uint32]float64{}, cappedMeanRatios: map[uint32]float64{}, prompts: map[uint32]float64{}}
	pools := map[uint32][]*traffic.Upstream{}
	for pool, list := range engines {
		pools[PoolHash(pool)] = list
	}
	for _, pool := range p.Pools {
		local.means[pool.Pool] = pool.mean()
		listed, sum := pool.unpackEngines(), 0.0
		for _, u := range pools[pool.Pool] {
			e := pool.engine(listed, u)
			sum += float64(e.load)
			b.loads.applyPlan(computedAt, u, int(e.load))
			if e.weight < maxWeight {
				local.weights[u.ShortHash()] = e.weight
			}
		}
		if sum > 0 {
			local.cappedMeanRatios[pool.Pool] = pool.mean() * float64(len(pools[pool.Pool])) / sum
		}
	}
	for _, prompt := range p.Prompts {
		local.prompts[prompt.Prompt] = float64(prompt.Requests)
	}
	b.plan, b.planComputedAt, b.local = p, computedAt, local
	if b.admission != nil {
		b.admission.ApplyLevels(p.Levels, computedAt)
	}
}

// ComputePlan computes a new plan from the requests in progress at all hosts and puts it into force.
func (b *Balancer) ComputePlan(now time.Time, all InProgress) {
	engines := b.listEngines()
	levels := b.computeLevels(now, all)
	b.mu.Lock()
	defer b.mu.Unlock()
	b.resumeFromPlan(now)
	var drafts []poolDraft
	known := map[uint32]bool{}
	for _, pool := range slices.Sorted(maps.Keys(engines)) {
		list := engines[pool]
		states, mean := b.updateStates(now, list, all.Engines)
		maxLoad := b.ceiling(now, pool, list, all.Engines, mean)
		draft := poolDraft{pool: PoolHash(pool), mean: mean}
		for i, s := range states {
			draft.engines = append(draft.engines, plannedEngine{
				hash: list[i].ShortHash() & engineHashMask, load: uint8(min(math.Round(s.load), math.MaxUint8)), weight: uint8(s.updateWeight(now, mean, maxLoad)),
			})
			known[list[i].ShortHash()] = true
		}
		drafts = append(drafts, draft)
	}
	maps.DeleteFunc(b.states, func(hash uint32, _ *engineState) bool { return !known[hash] })
	plan := newPlan(drafts, b.hotPrompts(now, all.Prompts))
	plan.Levels = levels
	b.install(plan, now, engines)
	b.lastComputedAt = now
}

// computeLevels returns the encoded levels of pool-wide admission, or nil.
func (b *Balancer) computeLevels(now time.Time, all InProgress) []byte {
	if b.admission == nil || all.Demand == nil {
		return nil
	}
	var states []overload.PoolState
	pools := b.listPools()
	engines := b.listEngines()
	for _, pool := range slices.Sorted(maps.Keys(pools)) {
		state := overload.PoolState{Pool: overload.PoolID(pool), Batches: engines[pool] != nil}
		for _, u := range pools[pool] {
			state.Slots += float64(u.Slots)
			state.Running += float64(all.Engines[u.ShortHash()&WireHashMask])
		}
		states = append(states, state)
	}
	return b.admission.ComputeLevels(now, all.Demand, states)
}

// HasDemandJump reports whether much more is asked for than the plan in force expects.
func (b *Balancer) HasDemandJump(all InProgress) bool {
	return b.admission != nil && b.admission.HasJump(all.Demand)
}

// HasRisingPrompt reports whether some prompt has many more requests in progress at all hosts than
// the plan in force expects. Until the next regular plan all of them would go to one engine.
func (b *Balancer) HasRisingPrompt(all InProgress) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.local == nil {
		return false
	}
	for prompt, n := range all.Prompts {
		if b.isRising(float64(n), b.local.prompts[prompt]) {
			return true
		}
	}
	return false
}

// isRising reports whether a prompt has many more requests than before. The caller must hold b.mu.
func (b *Balancer) isRising(current, previous float64) bool {
	return current > risingThreshold*max(previous, b.local.minMean(), minHotRequests)
}

// ceiling returns the load up to which engines of a pool take all their prompts. The caller must
// hold b.mu.
func (b *Balancer) ceiling(now time.Time, pool string, engines []*traffic.Upstream, inProgress map[uint32]int, mean float64) float64 {
	c, ok := b.ceilings[pool]
	if !ok {
		c = newCeiling()
		b.ceilings[pool] = c
	}
	loads := make([]float64, len(engines))
	for i, u := range engines {
		loads[i] = float64(inProgress[u.ShortHash()&WireHashMask])
	}
	c.observe(loads, cappedMean(loads), b.loadMultiple(), now.Sub(b.lastComputedAt))
	return c.forMean(mean)
}

// resumeFromPlan starts from the plan in force if another host computed it. The caller must hold
// b.mu.
func (b *Balancer) resumeFromPlan(now time.Time) {
	if b.lastComputedAt.Equal(b.planComputedAt) || b.local == nil || now.Sub(b.planComputedAt) > planTTL {
		return
	}
	clear(b.states)
	for hash, w := range b.local.weights {
		b.states[hash] = &engineState{weight: float64(w), weightChangedAt: now}
	}
	maps.Copy(b.prompts, b.local.prompts)
}

// updateStates updates the states of a pool's engines and returns them and the mean load. The
// caller must hold b.mu.
func (b *Balancer) updateStates(now time.Time, engines []*traffic.Upstream, inProgress map[uint32]int) (states []*engineState, mean float64) {
	states = make([]*engineState, len(engines))
	loads := make([]float64, len(engines))
	for i, u := range engines {
		s, ok := b.states[u.ShortHash()]
		if !ok {
			s = &engineState{weight: maxWeight}
			b.states[u.ShortHash()] = s
		}
		s.observe(float64(inProgress[u.ShortHash()&WireHashMask]), now.Sub(b.lastComputedAt))
		states[i], loads[i] = s, s.load
	}
	return states, cappedMean(loads)
}

// hotPrompts updates the averages of all prompts and returns those with the most requests. The
// caller must hold b.mu.
func (b *Balancer) hotPrompts(now time.Time, inProgress map[uint32]int) []PromptLoad {
	factor := smoothingFactor(now.Sub(b.lastComputedAt), promptWindow)
	for prompt := range b.prompts {
		b.prompts[prompt] *= 1 - factor
		if b.prompts[prompt] < 1 {
			delete(b.prompts, prompt)
		}
	}
	for prompt, n := range inProgress {
		if b.local != nil && b.isRising(float64(n), b.prompts[prompt]/(1-factor)) {
			// More requests will arrive before the next plan is computed.
			b.prompts[prompt] = risingGrowthFactor * float64(n)
			continue
		}
		b.prompts[prompt] += float64(n) * factor
	}
	var hot []PromptLoad
	for prompt, n := range b.prompts {
		if n >= minHotRequests {
			hot = append(hot, PromptLoad{Prompt: prompt, Requests: uint16(min(n, math.MaxUint16))})
		}
	}
	slices.SortFunc(hot, func(x, y PromptLoad) int {
		return cmp.Or(cmp.Compare(y.Requests, x.Requests), cmp.Compare(x.Prompt, y.Prompt))
	})
	return hot[:min(len(hot), maxPlanPrompts)]
}
