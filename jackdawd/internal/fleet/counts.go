package fleet

import (
	"cmp"
	"encoding/binary"
	"maps"
	"math"
	"slices"

	"jackdawhinge/jackdawd/internal/overload"
	"jackdawhinge/jackdawd/internal/placement"
)

const (
	// maxReportedPrompts bounds the prompts of one message. A prompt with many requests is among
	// the top ones at every host that has some of them in its subtree.
	maxReportedPrompts = 8
	// maxReportedEngines bounds the engines of one message. Those whose count changed most since it
	// was last reported go first.
	maxReportedEngines = 40
)

// Counts are numbers of requests in progress in wire format: a 3-byte hash and a 1-byte count each.
type Counts []byte

const countSize = 4

// encodeCounts encodes the counts of the given hashes.
func encodeCounts(requests map[uint32]int, hashes []uint32) Counts {
	var out Counts
	for _, hash := range hashes {
		out = binary.LittleEndian.AppendUint32(out, hash&placement.WireHashMask|uint32(min(requests[hash], math.MaxUint8))<<24)
	}
	return out
}

// each calls a function for each count. A truncated one at the end is ignored.
func (c Counts) each(yield func(hash uint32, requests int)) {
	for len(c) >= countSize {
		packed := binary.LittleEndian.Uint32(c)
		yield(packed&placement.WireHashMask, int(packed>>24))
		c = c[countSize:]
	}
}

// reportedCounts are the requests per engine last reported to the parent.
type reportedCounts map[uint32]int

// takeChanged returns the engines whose count differs from the one last reported, largest change
// first, and records them as reported.
func (r reportedCounts) takeChanged(engines map[uint32]int) []uint32 {
	change := func(hash uint32) int { return max(engines[hash]-r[hash], r[hash]-engines[hash]) }
	var changed []uint32
	for hash := range union(engines, r) {
		if change(hash) > 0 {
			changed = append(changed, hash)
		}
	}
	slices.SortFunc(changed, func(x, y uint32) int { return cmp.Or(cmp.Compare(change(y), change(x)), cmp.Compare(x, y)) })
	changed = changed[:min(len(changed), maxReportedEngines)]
	for _, hash := range changed {
		r[hash] = engines[hash]
		if engines[hash] == 0 {
			delete(r, hash)
		}
	}
	return changed
}

func union(a, b map[uint32]int) map[uint32]int {
	all := maps.Clone(b)
	maps.Copy(all, a)
	return all
}

// topCounts returns the hashes with the highest counts, up to limit.
func topCounts(requests map[uint32]int, limit int) []uint32 {
	hashes := slices.SortedFunc(maps.Keys(requests), func(x, y uint32) int {
		return cmp.Or(cmp.Compare(requests[y], requests[x]), cmp.Compare(x, y))
	})
	return hashes[:min(len(hashes), limit)]
}

// addInProgress adds the requests and the demand in addend to sum.
func addInProgress(sum *placement.InProgress, addend placement.InProgress) {
	for hash, n := range addend.Engines {
		sum.Engines[hash] += n
	}
	for hash, n := range addend.Prompts {
		sum.Prompts[hash] += n
	}
	if addend.Demand != nil {
		if sum.Demand == nil {
			sum.Demand = overload.NewDemand()
		}
		sum.Demand.Add(addend.Demand)
	}
}
