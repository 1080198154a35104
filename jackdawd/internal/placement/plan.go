package placement

import (
	"cmp"
	"encoding/binary"
	"maps"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"

	"jackdawhinge/common/traffic"
)

// A Plan says how prompts are spread over the engines of a region, as hosts tell it to each
// other: what load each engine has, which part of the prompts that come to it first it takes,
// and which prompts need several engines. The region's first host draws it from what
// all hosts know, and all hosts place by it.
//
// A host of a large fleet sees too little to keep the bound on loads by itself: of 300 hosts
// each sees 2 of 600 requests a second, and hears once in half a minute from an engine. By
// what each knows itself 37 of a thousand requests reach engines over twice the mean load,
// by a plan 7 (BenchmarkRequestsOverTheMultiple).
type Plan struct {
	Pools   []PoolPlan
	Prompts []PromptLoad
}

// A PoolPlan is the part of a plan that is about one pool.
type PoolPlan struct {
	// Pool is the pool's PoolHash, List tells the list of its engines from others.
	Pool uint32
	List uint32
	// Engines names them by the CountedHash of their starts; none are named where the other
	// host has the list.
	Engines []byte
	// Loads are those of the engines, in the order of their short hashes, Weights what part of
	// their prompts they take, in fifteenths, two in a byte.
	Loads   []byte
	Weights []byte
}

// A PromptLoad is how many requests with one prompt are in progress.
type PromptLoad struct {
	// Prompt is the prompt's PromptHash.
	Prompt   uint32
	Requests uint16
}

const (
	// fullWeight is the weight of an engine that takes all prompts that belong to it.
	fullWeight = math.MaxUint8
	// weightStep is the least difference of weights that a plan tells.
	weightStep = fullWeight / weightMask
	weightBits = 4
	weightMask = 1<<weightBits - 1
)

// packWeights returns weights as a plan tells them.
func packWeights(weights []uint8) []byte {
	packed := make([]byte, (len(weights)+1)/2)
	for i, w := range weights {
		step := byte(math.Round(float64(w) / weightStep))
		packed[i/2] |= step << (i % 2 * weightBits)
	}
	return packed
}

// weight returns the weight of an engine by its place.
func (p PoolPlan) weight(i int) uint8 {
	return p.Weights[i/2] >> (i % 2 * weightBits) & weightMask * weightStep
}

// sound reports whether the plan has a load and a weight for each of so many engines.
func (p PoolPlan) sound(engines int) bool {
	return len(p.Loads) == engines && len(p.Weights) == (engines+1)/2
}

// namedBytes is what the name of an engine takes in a plan.
const namedBytes = 3

// packNames names engines as a plan does.
func packNames(engines []*traffic.Upstream) []byte {
	var names []byte
	for _, u := range engines {
		hash := u.ShortHash()
		names = append(names, byte(hash), byte(hash>>8), byte(hash>>16))
	}
	return names
}

// places returns the places of the engines by the CountedHash of their starts.
func (p PoolPlan) places() map[uint32]int {
	places := map[uint32]int{}
	for i := 0; (i+1)*namedBytes <= len(p.Engines); i++ {
		name := p.Engines[i*namedBytes:]
		places[uint32(name[0])|uint32(name[1])<<8|uint32(name[2])<<16] = i
	}
	return places
}

// PoolHash returns the number by which hosts name a pool to each other.
func PoolHash(pool string) uint32 { return uint32(traffic.HashOf(pool)) }

// CountedHash is the part of a hash by which hosts tell each other what is in progress, three
// bytes. Of 880 engines two share these bytes in one of forty fleets; they then count as one.
const CountedHash = 1<<24 - 1

// PromptHash returns the number by which hosts name a prompt to each other.
func PromptHash(key uint64) uint32 { return uint32(key>>32) & CountedHash }

// mean returns the mean load of the pool's engines.
func (p PoolPlan) mean() float64 {
	loads := make([]float64, len(p.Loads))
	for i, load := range p.Loads {
		loads[i] = float64(load)
	}
	return soundMean(loads)
}

// A Summary is what a plan says of all pools together.
type Summary struct {
	// Engines and Requests are how many there are, Most is the highest load of an engine.
	Engines, Requests, Most int
	// Limited is how many engines take less than all of their prompts, Prompts how many prompts the plan has.
	Limited, Prompts int
}

// Summary returns what the plan says of all pools together.
func (p *Plan) Summary() Summary {
	sum := Summary{Prompts: len(p.Prompts)}
	for _, pool := range p.Pools {
		sum.Engines += len(pool.Loads)
		for i, load := range pool.Loads {
			sum.Requests += int(load)
			sum.Most = max(sum.Most, int(load))
			if pool.weight(i) < fullWeight {
				sum.Limited++
			}
		}
	}
	return sum
}

// Size returns about how many bytes the plan takes between hosts.
func (p *Plan) Size() int {
	size := 0
	for _, pool := range p.Pools {
		size += 8 + len(pool.Engines) + len(pool.Loads) + len(pool.Weights)
	}
	return size + 6*len(p.Prompts)
}

// Lists tells the lists of engines that the plan goes by from others.
func (p *Plan) Lists() uint32 {
	lists := map[uint32]uint32{}
	for _, pool := range p.Pools {
		lists[pool.Pool] = pool.List
	}
	return digestOf(lists)
}

// Brief returns the plan for a host that has the same lists of engines.
func (p *Plan) Brief() *Plan {
	brief := &Plan{Pools: slices.Clone(p.Pools), Prompts: p.Prompts}
	for i := range brief.Pools {
		brief.Pools[i].Engines = nil
	}
	return brief
}

// digestOf tells lists of engines, given by pool, from others.
func digestOf(lists map[uint32]uint32) uint32 {
	var text []byte
	for _, pool := range slices.Sorted(maps.Keys(lists)) {
		text = binary.LittleEndian.AppendUint32(text, pool)
		text = binary.LittleEndian.AppendUint32(text, lists[pool])
	}
	return uint32(xxhash.Sum64(text))
}

// engineList is the engines of one pool in the order of their short hashes.
type engineList struct {
	engines []*traffic.Upstream
	digest  uint32
}

func listOf(engines []*traffic.Upstream) engineList {
	byHash := func(a, b *traffic.Upstream) int { return cmp.Compare(a.ShortHash(), b.ShortHash()) }
	l := engineList{engines: slices.SortedFunc(slices.Values(engines), byHash)}
	var text []byte
	for _, u := range l.engines {
		text = binary.LittleEndian.AppendUint32(text, u.ShortHash())
	}
	l.digest = uint32(xxhash.Sum64(text))
	return l
}
