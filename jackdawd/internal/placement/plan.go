package placement

import (
	"cmp"
	"encoding/binary"
	"math"
	"slices"

	"jackdawhinge/common/traffic"
)

// A Plan says how prompts are spread over the engines of a region, as hosts tell it to each
// other: which engines have more than the usual load or take less than all of the prompts that
// come to them first, and which prompts need several engines. The region's first host draws it
// from what all hosts know, and all hosts place by it.
//
// A host of a large fleet sees too little of the requests to keep the bound on loads by itself;
// BenchmarkRequestsOverTheMultiple compares both.
//
// A plan names few engines, by hashes: hosts may have other lists of engines, and a plan that named
// all would be too large to be told twice a second.
type Plan struct {
	Pools   []PoolPlan
	Prompts []PromptLoad
}

// A PoolPlan is the part of a plan that is about one pool.
type PoolPlan struct {
	// Pool is the pool's PoolHash.
	Pool uint32
	// Mean is the mean load of the pool's engines, in tenths of a request.
	Mean uint16
	// Usual is how many requests each engine has that is not named.
	Usual uint8
	// Engines are those named, packed: four bytes each.
	Engines []byte
}

// A PromptLoad is how many requests with one prompt are in progress.
type PromptLoad struct {
	// Prompt is the prompt's PromptHash.
	Prompt   uint32
	Requests uint16
}

// plannedEngine is what a plan says of one engine.
type plannedEngine struct {
	// hash has the lowest bits of the hash of the engine's start.
	hash uint32
	load uint8
	// weight is the part of its prompts that the engine takes, of fullWeight.
	weight uint8
}

const (
	// fullWeight is the weight of an engine that takes all prompts that belong to it.
	fullWeight = math.MaxUint8
	// weightStep is the least difference of weights that a plan tells.
	weightStep = fullWeight / weightMask
	weightBits = 4
	weightMask = 1<<weightBits - 1
	loadBits   = 8
	// engineHashMask takes the bits of an engine's hash that are left of its four bytes. Of 90
	// engines two share them in one of 260 fleets; of 880 two pairs do in most, and count as one.
	engineHashMask = 1<<(32-weightBits-loadBits) - 1
	engineBytes    = 4

	// MostPlanBytes is how large a plan may be, for a host to tell two followers each one of two
	// a second within 700 bytes a second.
	MostPlanBytes = 172
	// poolBytes and promptBytes are what a pool without engines and a prompt take.
	poolBytes   = 7
	promptBytes = 6
	// leastNamed is how many engines a plan names at least, if that makes it larger than it may
	// be: with a pool for each of many models. It is then told less often.
	leastNamed = 16
	// leastImportance is how important an engine is at least to be named: a tenth of
	// its prompts or of the mean load is less than what changes until the next plan.
	leastImportance = 0.1
	// meanUnit is the unit of means in a plan.
	meanUnit = 0.1
)

// importance returns how far a host that knows nothing of the engine would be wrong, of which
// the pool's mean load is given: by the prompts that it does not take, and the requests above the mean.
func (e plannedEngine) importance(mean float64) float64 {
	notTaken := 1 - float64(e.weight)/fullWeight
	return notTaken + max(float64(e.load)-mean, 0)/(mean+1)
}

// packEngines packs engines as a plan tells them.
func packEngines(engines []plannedEngine) []byte {
	var packed []byte
	for _, e := range engines {
		step := uint32(math.Round(float64(e.weight) / weightStep))
		packed = binary.LittleEndian.AppendUint32(packed, e.hash&engineHashMask<<(weightBits+loadBits)|step<<loadBits|uint32(e.load))
	}
	return packed
}

// named returns the engines that the plan names, by the lowest bits of the hashes of their
// starts; a cut one at the end is left out.
func (p PoolPlan) named() map[uint32]plannedEngine {
	named := map[uint32]plannedEngine{}
	for packed := p.Engines; len(packed) >= engineBytes; packed = packed[engineBytes:] {
		all := binary.LittleEndian.Uint32(packed)
		e := plannedEngine{hash: all >> (weightBits + loadBits), load: uint8(all), weight: uint8(all >> loadBits & weightMask * weightStep)}
		named[e.hash] = e
	}
	return named
}

// of returns what the plan says of an engine.
func (p PoolPlan) of(named map[uint32]plannedEngine, u *traffic.Upstream) plannedEngine {
	hash := u.ShortHash() & engineHashMask
	if e, ok := named[hash]; ok {
		return e
	}
	return plannedEngine{hash: hash, load: p.Usual, weight: fullWeight}
}

// mean returns the mean load of the pool's engines.
func (p PoolPlan) mean() float64 { return float64(p.Mean) * meanUnit }

// poolDraft is a pool of a plan that is being drawn, with all of its engines.
type poolDraft struct {
	pool    uint32
	mean    float64
	engines []plannedEngine
}

// planOf returns the plan for some pools and prompts. It names the most important engines, as
// many as it has room for.
func planOf(drafts []poolDraft, prompts []PromptLoad) *Plan {
	type ranked struct {
		pool       int
		engine     plannedEngine
		importance float64
	}
	var all []ranked
	for i, d := range drafts {
		for _, e := range d.engines {
			if importance := e.importance(d.mean); importance >= leastImportance {
				all = append(all, ranked{i, e, importance})
			}
		}
	}
	slices.SortFunc(all, func(a, b ranked) int {
		return cmp.Or(cmp.Compare(b.importance, a.importance), cmp.Compare(a.engine.hash, b.engine.hash))
	})
	room := (MostPlanBytes - poolBytes*len(drafts) - promptBytes*len(prompts)) / engineBytes
	named := make([][]plannedEngine, len(drafts))
	for _, r := range all[:min(len(all), max(room, leastNamed))] {
		named[r.pool] = append(named[r.pool], r.engine)
	}
	plan := &Plan{Prompts: prompts}
	for i, d := range drafts {
		plan.Pools = append(plan.Pools, PoolPlan{
			Pool: d.pool, Mean: uint16(min(math.Round(d.mean/meanUnit), math.MaxUint16)), Usual: d.usual(named[i]), Engines: packEngines(named[i]),
		})
	}
	return plan
}

// usual returns the mean load of the engines that are not among those named.
func (d poolDraft) usual(named []plannedEngine) uint8 {
	sum := 0
	for _, e := range d.engines {
		sum += int(e.load)
	}
	for _, e := range named {
		sum -= int(e.load)
	}
	return uint8(math.Round(float64(sum) / float64(max(len(d.engines)-len(named), 1))))
}

// PoolHash returns the number by which hosts name a pool to each other.
func PoolHash(pool string) uint32 { return uint32(traffic.HashOf(pool)) }

// CountedHash is the part of a hash by which hosts tell each other what is in progress, three
// bytes. Of 880 engines two share these bytes in one of forty fleets; they then count as one.
const CountedHash = 1<<24 - 1

// PromptHash returns the number by which hosts name a prompt to each other.
func PromptHash(key uint64) uint32 { return uint32(key>>32) & CountedHash }

// A Summary is what a plan says of all pools together.
type Summary struct {
	// Named is how many engines the plan names, Limited how many of them take less than all of
	// their prompts, Most the highest load of an engine.
	Named, Limited, Most int
	// Prompts is how many prompts the plan has.
	Prompts int
}

// Summary returns what the plan says of all pools together.
func (p *Plan) Summary() Summary {
	sum := Summary{Prompts: len(p.Prompts)}
	for _, pool := range p.Pools {
		sum.Most = max(sum.Most, int(pool.Usual))
		for _, e := range pool.named() {
			sum.Named++
			sum.Most = max(sum.Most, int(e.load))
			if e.weight < fullWeight {
				sum.Limited++
			}
		}
	}
	return sum
}

// Size returns about how many bytes the plan takes between hosts.
func (p *Plan) Size() int {
	size := promptBytes * len(p.Prompts)
	for _, pool := range p.Pools {
		size += poolBytes + len(pool.Engines)
	}
	return size
}
