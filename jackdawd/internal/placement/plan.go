package placement

import (
	"cmp"
	"encoding/binary"
	"math"
	"slices"

	"jackdawhinge/common/traffic"
)

// A Plan distributes prompts over the engines of a region. It lists the engines that have more than
// the usual load or take less than all of the prompts that rank them first, and the prompts that
// need several engines. The region's first host computes it from the requests in progress at all
// hosts, and all hosts place requests by it.
//
// A host of a large fleet sees too few of the requests to keep the load bound by itself;
// BenchmarkRequestsOverTheMultiple in package fleet compares both.
//
// A plan lists few engines, by hash: hosts may know different sets of engines, and a plan with all
// of them would be too large to send twice a second.
type Plan struct {
	Pools   []PoolPlan
	Prompts []PromptLoad
	// Levels are the encoded overload.Levels; nil where no host asks for pool-wide admission.
	Levels []byte
}

// A PoolPlan is the part of a plan for one pool.
type PoolPlan struct {
	// Pool is the pool's PoolHash.
	Pool uint32
	// Mean is the mean load of the pool's engines, in tenths of a request.
	Mean uint16
	// Usual is the number of requests of each engine that is not listed.
	Usual uint8
	// Engines holds the listed engines, packed into four bytes each.
	Engines []byte
}

// A PromptLoad is the number of requests in progress with one prompt.
type PromptLoad struct {
	// Prompt is the prompt's PromptHash.
	Prompt   uint32
	Requests uint16
}

// plannedEngine is one engine's entry in a plan.
type plannedEngine struct {
	// hash holds the lowest bits of the engine's ShortHash.
	hash uint32
	load uint8
	// weight is the part of its prompts that the engine takes, in units of 1/maxWeight.
	weight uint8
}

const (
	// maxWeight is the weight of an engine that takes all prompts that rank it first.
	maxWeight = math.MaxUint8
	// weightStep is the resolution of weights in a plan.
	weightStep = maxWeight / weightMask
	weightBits = 4
	weightMask = 1<<weightBits - 1
	loadBits   = 8
	// engineHashMask selects the bits of an engine's hash that fit into its four bytes. Of 90
	// engines, two have the same bits in one of 260 fleets; of 880, two pairs do in most fleets.
	// Such engines count as one.
	engineHashMask = 1<<(32-weightBits-loadBits) - 1
	engineBytes    = 4

	// MaxPlanBytes is the maximum size of a plan. It lets a host send two plans a second, each to
	// two followers, within 700 bytes a second.
	MaxPlanBytes = 172
	// poolBytes and promptBytes are the sizes of a pool without engines and of a prompt.
	poolBytes   = 7
	promptBytes = 6
	// minListedEngines is the number of engines that a plan may list even if it then exceeds its
	// maximum size, as with one pool for each of many models. Such a plan is sent less often.
	minListedEngines = 16
	// minImportance is the least importance for which an engine is listed. Less than a tenth of its
	// prompts or of the mean load changes anyway until the next plan.
	minImportance = 0.1
	// meanUnit is the unit of mean loads in a plan, in requests.
	meanUnit = 0.1
)

// importance returns the error that a host makes if the plan doesn't list the engine: the part of
// its prompts that it does not take, plus its requests above the pool's mean load.
func (e plannedEngine) importance(mean float64) float64 {
	notTaken := 1 - float64(e.weight)/maxWeight
	return notTaken + max(float64(e.load)-mean, 0)/(mean+1)
}

// packEngines encodes engines for a plan.
func packEngines(engines []plannedEngine) []byte {
	var packed []byte
	for _, e := range engines {
		step := uint32(math.Round(float64(e.weight) / weightStep))
		packed = binary.LittleEndian.AppendUint32(packed, e.hash&engineHashMask<<(weightBits+loadBits)|step<<loadBits|uint32(e.load))
	}
	return packed
}

// unpackEngines returns the engines that the plan lists, by the lowest bits of their ShortHash. A
// truncated entry at the end is ignored.
func (p PoolPlan) unpackEngines() map[uint32]plannedEngine {
	engines := map[uint32]plannedEngine{}
	for packed := p.Engines; len(packed) >= engineBytes; packed = packed[engineBytes:] {
		entry := binary.LittleEndian.Uint32(packed)
		e := plannedEngine{hash: entry >> (weightBits + loadBits), load: uint8(entry), weight: uint8(entry >> loadBits & weightMask * weightStep)}
		engines[e.hash] = e
	}
	return engines
}

// engine returns the entry for an engine, with default values if it is not listed.
func (p PoolPlan) engine(listed map[uint32]plannedEngine, u *traffic.Upstream) plannedEngine {
	hash := u.ShortHash() & engineHashMask
	if e, ok := listed[hash]; ok {
		return e
	}
	return plannedEngine{hash: hash, load: p.Usual, weight: maxWeight}
}

// mean returns the mean load of the pool's engines.
func (p PoolPlan) mean() float64 { return float64(p.Mean) * meanUnit }

// poolDraft is one pool with all of its engines, from which a plan is built.
type poolDraft struct {
	pool    uint32
	mean    float64
	engines []plannedEngine
}

// newPlan returns the plan for some pools and prompts. It lists as many engines as fit, the most
// important ones first.
func newPlan(drafts []poolDraft, prompts []PromptLoad) *Plan {
	type rankedEngine struct {
		pool       int
		engine     plannedEngine
		importance float64
	}
	var ranked []rankedEngine
	for i, d := range drafts {
		for _, e := range d.engines {
			if importance := e.importance(d.mean); importance >= minImportance {
				ranked = append(ranked, rankedEngine{i, e, importance})
			}
		}
	}
	slices.SortFunc(ranked, func(a, b rankedEngine) int {
		return cmp.Or(cmp.Compare(b.importance, a.importance), cmp.Compare(a.engine.hash, b.engine.hash))
	})
	room := (MaxPlanBytes - poolBytes*len(drafts) - promptBytes*len(prompts)) / engineBytes
	listed := make([][]plannedEngine, len(drafts))
	for _, r := range ranked[:min(len(ranked), max(room, minListedEngines))] {
		listed[r.pool] = append(listed[r.pool], r.engine)
	}
	plan := &Plan{Prompts: prompts}
	for i, d := range drafts {
		plan.Pools = append(plan.Pools, PoolPlan{
			Pool: d.pool, Mean: uint16(min(math.Round(d.mean/meanUnit), math.MaxUint16)), Usual: d.defaultLoad(listed[i]), Engines: packEngines(listed[i]),
		})
	}
	return plan
}

// defaultLoad returns the mean load of the engines that are not listed.
func (d poolDraft) defaultLoad(listed []plannedEngine) uint8 {
	sum := 0
	for _, e := range d.engines {
		sum += int(e.load)
	}
	for _, e := range listed {
		sum -= int(e.load)
	}
	return uint8(math.Round(float64(sum) / float64(max(len(d.engines)-len(listed), 1))))
}

// PoolHash returns the short hash that identifies a pool in messages between hosts.
func PoolHash(pool string) uint32 { return uint32(traffic.HashID(pool)) }

// WireHashMask masks the three bytes of a hash that hosts send with counts of requests in progress.
// Of 880 engines, two have the same bytes in one of forty fleets; they then count as one.
const WireHashMask = 1<<24 - 1

// PromptHash returns the short hash that identifies a prompt in messages between hosts.
func PromptHash(key uint64) uint32 { return uint32(key>>32) & WireHashMask }

// A Summary describes a plan over all of its pools.
type Summary struct {
	// ListedEngines is the number of engines that the plan lists. The other two are the number of
	// those with less than the full weight, and the highest load of an engine.
	ListedEngines, LimitedEngines, MaxLoad int
	// Prompts is the number of prompts in the plan.
	Prompts int
}

// Summary returns the plan's figures over all pools.
func (p *Plan) Summary() Summary {
	sum := Summary{Prompts: len(p.Prompts)}
	for _, pool := range p.Pools {
		sum.MaxLoad = max(sum.MaxLoad, int(pool.Usual))
		for _, e := range pool.unpackEngines() {
			sum.ListedEngines++
			sum.MaxLoad = max(sum.MaxLoad, int(e.load))
			if e.weight < maxWeight {
				sum.LimitedEngines++
			}
		}
	}
	return sum
}

// Size returns the approximate size of the plan in messages between hosts, in bytes, without its levels.
func (p *Plan) Size() int {
	size := promptBytes * len(p.Prompts)
	for _, pool := range p.Pools {
		size += poolBytes + len(pool.Engines)
	}
	return size
}
