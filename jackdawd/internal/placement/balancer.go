package placement

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"sync"
	"time"

	"jackdawhinge/common/traffic"
)

const (
	// planLifetime is how long a plan counts that is not drawn anew: no plan at all is better
	// than one of another load.
	planLifetime = 10 * time.Second
	// promptSmoothing is the time over which the requests in progress of a prompt are averaged.
	promptSmoothing = 750 * time.Millisecond
	// risingTimes is how many times as many requests as planned for a prompt are worth a plan
	// at once, risingGrowth how many times as many are then expected by the next one.
	risingTimes  = 1.2
	risingGrowth = 2
	// mostPrompts bounds the prompts of a plan.
	mostPrompts = 16
	// leastHot is how many requests in progress a prompt has at least to be in a plan.
	leastHot = 3
)

// InProgress is how many requests are in progress, at one host or at several.
type InProgress struct {
	// Engines counts those at each engine, by the CountedHash of its start, Prompts those with
	// each prompt, by PromptHash.
	Engines map[uint32]int
	Prompts map[uint32]int
}

// A Balancer holds the plan in force at one host, and draws it at the region's first one.
type Balancer struct {
	mu    sync.Mutex
	loads *Loads
	// engines returns the engines that take new work, by pool.
	engines    func() map[string][]*traffic.Upstream
	inProgress map[uint32]int

	plan   *Plan
	planAt time.Time
	// spread is the plan as far as its engines are known here.
	spread *Spread

	// multiple returns how many times the mean load an engine may carry.
	multiple func() float64
	// levels, ceilings (by pool), prompts and drawnAt are what plans are drawn from.
	levels   map[uint32]*level
	ceilings map[string]*ceiling
	prompts  map[uint32]float64
	drawnAt  time.Time
}

// NewBalancer returns a balancer without a plan; engines returns the engines that take new work,
// by pool, and multiple how many times the mean load one may carry.
func NewBalancer(loads *Loads, engines func() map[string][]*traffic.Upstream, multiple func() float64) *Balancer {
	return &Balancer{
		loads: loads, engines: engines, multiple: multiple, inProgress: map[uint32]int{}, ceilings: map[string]*ceiling{},
		levels: map[uint32]*level{}, prompts: map[uint32]float64{},
	}
}

// Begin counts a request with a prompt.
func (b *Balancer) Begin(key uint64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.inProgress[PromptHash(key)]++
}

// End counts a request with a prompt no longer.
func (b *Balancer) End(key uint64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	prompt := PromptHash(key)
	if b.inProgress[prompt]--; b.inProgress[prompt] <= 0 {
		delete(b.inProgress, prompt)
	}
}

// InProgress returns what is in progress at this host.
func (b *Balancer) InProgress() InProgress {
	b.mu.Lock()
	defer b.mu.Unlock()
	return InProgress{Engines: b.loads.InProgress(), Prompts: maps.Clone(b.inProgress)}
}

// Plan returns the plan in force and when it was drawn, nil if there is none.
func (b *Balancer) Plan(now time.Time) (*Plan, time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.plan == nil || now.Sub(b.planAt) > planLifetime {
		return nil, time.Time{}
	}
	return b.plan, b.planAt
}

// Take takes over a plan that was drawn elsewhere at a moment, if it is newer.
func (b *Balancer) Take(p *Plan, at time.Time) {
	engines := b.engines()
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.plan == nil || at.After(b.planAt) {
		b.put(p, at, engines)
	}
}

// Spread returns what requests are placed by, nil while nothing is known.
func (b *Balancer) Spread(now time.Time) *Spread {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.plan == nil || now.Sub(b.planAt) > planLifetime {
		return nil
	}
	return b.spread
}

// put brings a plan into force; the lock must be held.
func (b *Balancer) put(p *Plan, at time.Time, engines map[string][]*traffic.Upstream) {
	spread := &Spread{drawnAt: at, weights: map[uint32]uint8{}, means: map[uint32]float64{}, sound: map[uint32]float64{}, prompts: map[uint32]float64{}}
	pools := map[uint32][]*traffic.Upstream{}
	for pool, list := range engines {
		pools[PoolHash(pool)] = list
	}
	for _, pool := range p.Pools {
		spread.means[pool.Pool] = pool.mean()
		named, sum := pool.named(), 0.0
		for _, u := range pools[pool.Pool] {
			e := pool.of(named, u)
			sum += float64(e.load)
			b.loads.plan(at, u, int(e.load))
			if e.weight < fullWeight {
				spread.weights[u.ShortHash()] = e.weight
			}
		}
		if sum > 0 {
			spread.sound[pool.Pool] = pool.mean() * float64(len(pools[pool.Pool])) / sum
		}
	}
	for _, prompt := range p.Prompts {
		spread.prompts[prompt.Prompt] = float64(prompt.Requests)
	}
	b.plan, b.planAt, b.spread = p, at, spread
}

// Draw draws a new plan from what is in progress at all hosts.
func (b *Balancer) Draw(now time.Time, all InProgress) {
	engines := b.engines()
	b.mu.Lock()
	defer b.mu.Unlock()
	b.adopt(now)
	var drafts []poolDraft
	known := map[uint32]bool{}
	for _, pool := range slices.Sorted(maps.Keys(engines)) {
		list := engines[pool]
		levels, mean := b.measure(now, list, all.Engines)
		most := b.ceiling(now, pool, list, all.Engines, mean)
		draft := poolDraft{pool: PoolHash(pool), mean: mean}
		for i, l := range levels {
			draft.engines = append(draft.engines, plannedEngine{
				hash: list[i].ShortHash() & engineHashMask, load: uint8(min(math.Round(l.load), math.MaxUint8)), weight: uint8(l.weigh(now, mean, most)),
			})
			known[list[i].ShortHash()] = true
		}
		drafts = append(drafts, draft)
	}
	maps.DeleteFunc(b.levels, func(hash uint32, _ *level) bool { return !known[hash] })
	b.put(planOf(drafts, b.hot(now, all.Prompts)), now, engines)
	b.drawnAt = now
}

// Rising reports whether many more ask for a prompt than the plan in force says, by the requests
// in progress of each prompt at all hosts: a plan that waits for its turn would let them
// all go to one engine meanwhile.
func (b *Balancer) Rising(all InProgress) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.spread == nil {
		return false
	}
	for prompt, n := range all.Prompts {
		if b.rises(float64(n), b.spread.prompts[prompt]) {
			return true
		}
	}
	return false
}

// rises reports whether many more requests of a prompt are in progress than were; the lock must be held.
func (b *Balancer) rises(now, before float64) bool {
	return now > risingTimes*max(before, b.spread.leastMean(), leastHot)
}

// ceiling returns the load up to which the engines of a pool take all their prompts; the lock must be held.
func (b *Balancer) ceiling(now time.Time, pool string, engines []*traffic.Upstream, inProgress map[uint32]int, mean float64) float64 {
	c, ok := b.ceilings[pool]
	if !ok {
		c = newCeiling()
		b.ceilings[pool] = c
	}
	loads := make([]float64, len(engines))
	for i, u := range engines {
		loads[i] = float64(inProgress[u.ShortHash()&CountedHash])
	}
	c.observe(loads, soundMean(loads), b.multiple(), now.Sub(b.drawnAt))
	return c.at(mean)
}

// adopt goes on from the plan of another host if this one has not drawn the last one; the lock must be held.
func (b *Balancer) adopt(now time.Time) {
	if b.drawnAt.Equal(b.planAt) || b.spread == nil || now.Sub(b.planAt) > planLifetime {
		return
	}
	clear(b.levels)
	for hash, w := range b.spread.weights {
		b.levels[hash] = &level{weight: float64(w), changedAt: now}
	}
	maps.Copy(b.prompts, b.spread.prompts)
}

// measure brings the levels of a pool's engines up to date and returns them and the mean load; the lock must be held.
func (b *Balancer) measure(now time.Time, engines []*traffic.Upstream, inProgress map[uint32]int) (levels []*level, mean float64) {
	levels = make([]*level, len(engines))
	loads := make([]float64, len(engines))
	for i, u := range engines {
		l, ok := b.levels[u.ShortHash()]
		if !ok {
			l = &level{weight: fullWeight}
			b.levels[u.ShortHash()] = l
		}
		l.take(float64(inProgress[u.ShortHash()&CountedHash]), now.Sub(b.drawnAt))
		levels[i], loads[i] = l, l.load
	}
	return levels, soundMean(loads)
}

// hot returns the prompts that many ask for; the lock must be held.
func (b *Balancer) hot(now time.Time, inProgress map[uint32]int) []PromptLoad {
	part := replaced(now.Sub(b.drawnAt), promptSmoothing)
	for prompt := range b.prompts {
		b.prompts[prompt] *= 1 - part
		if b.prompts[prompt] < 1 {
			delete(b.prompts, prompt)
		}
	}
	for prompt, n := range inProgress {
		if b.spread != nil && b.rises(float64(n), b.prompts[prompt]/(1-part)) {
			// More will have come before the next plan is drawn.
			b.prompts[prompt] = risingGrowth * float64(n)
			continue
		}
		b.prompts[prompt] += float64(n) * part
	}
	var hot []PromptLoad
	for prompt, n := range b.prompts {
		if n >= leastHot {
			hot = append(hot, PromptLoad{Prompt: prompt, Requests: uint16(min(n, math.MaxUint16))})
		}
	}
	slices.SortFunc(hot, func(x, y PromptLoad) int {
		return cmp.Or(cmp.Compare(y.Requests, x.Requests), cmp.Compare(x.Prompt, y.Prompt))
	})
	return hot[:min(len(hot), mostPrompts)]
}
