package overload

import (
	"cmp"
	"encoding/binary"
	"maps"
	"math"
	"slices"
	"time"
)

const (
	// MaxLevelsBytes is the maximum size of encoded Levels. They travel with each plan to each follower.
	MaxLevelsBytes = 144
	// retryUnit is the unit of Retry-After times in messages.
	retryUnit = 100 * time.Millisecond
	// rateUnit is the unit of workspaces' rates in messages, in requests per second.
	rateUnit = 0.5
	// rankBytes and workspaceBytes are the sizes of a rank and of a workspace in messages, poolBytes that
	// of a pool without them.
	rankBytes      = 6
	workspaceBytes = workspaceIDBytes + 3
	poolBytes      = 7
)

// Levels say how much of what is asked for is admitted, for each pool that is full. All of what is asked of
// other pools is admitted.
type Levels struct {
	// Partial is set if there may be full pools that no message had room for.
	Partial bool
	Pools   map[uint32]*PoolLevels
}

// PoolLevels are the levels of one pool.
type PoolLevels struct {
	// RetryAfter is the time after which a refused request should come back.
	RetryAfter time.Duration
	// Ranks holds the ranks of which not all is admitted.
	Ranks map[int]RankLevel
	// Workspaces holds those that exceed a level, and those that surge.
	Workspaces map[uint32]WorkspaceRate
	// basis is what they were computed from, for the log of the host that computed them.
	basis basis
}

// A basis holds the figures that levels are computed from, in slots.
type basis struct {
	budget, demand, running, slots float64
}

// A RankLevel says which requests of a rank are admitted.
type RankLevel struct {
	// Share is the rate of requests per second, over all ranks, up to which a workspace is served in full;
	// Others is the ratio that is admitted of workspaces that are not listed.
	Share  float64
	Others float64
	// Late is the ratio that is admitted of returning requests that are late for certain, and Excess that of
	// the excess of workspaces that surge.
	Late, Excess float64
	// Displaced is set if requests are refused since more urgent ones take the room.
	Displaced bool
}

// A WorkspaceRate is what a workspace asks for.
type WorkspaceRate struct {
	// Rate is in requests per second, without the excess; Excess is the ratio of all its requests that are
	// beyond its usual rate.
	Rate, Excess float64
}

// Encode returns the levels in wire format, in MaxLevelsBytes at most. Pools and workspaces that don't fit are left out;
// those that an Allocator lists fit.
func (l *Levels) Encode() []byte {
	out := []byte{formatVersion}
	pools := slices.Sorted(maps.Keys(l.Pools))
	// Pools that don't fit without workspaces are left out.
	size, kept := len(out)+1, 0
	for _, id := range pools {
		if size += poolBytes + rankBytes*len(l.Pools[id].Ranks); size > MaxLevelsBytes {
			break
		}
		kept++
	}
	partial := byte(0)
	if l.Partial || kept < len(pools) {
		partial = partialBit
	}
	out = append(out, byte(kept)|partial)
	room := MaxLevelsBytes - (&Levels{Pools: l.first(pools[:kept])}).sizeWithoutWorkspaces()
	for i, id := range pools[:kept] {
		n := min(len(l.Pools[id].Workspaces), room/(kept-i)/workspaceBytes, math.MaxUint8)
		out = l.Pools[id].encode(out, id, n)
		room -= n * workspaceBytes
	}
	return out
}

// first returns some of the pools.
func (l *Levels) first(ids []uint32) map[uint32]*PoolLevels {
	pools := map[uint32]*PoolLevels{}
	for _, id := range ids {
		pools[id] = l.Pools[id]
	}
	return pools
}

// sizeWithoutWorkspaces returns the size of the encoded levels if they list no workspaces.
func (l *Levels) sizeWithoutWorkspaces() int {
	size := 2
	for _, p := range l.Pools {
		size += poolBytes + rankBytes*len(p.Ranks)
	}
	return size
}

func (p *PoolLevels) encode(out []byte, id uint32, numWorkspaces int) []byte {
	out = binary.LittleEndian.AppendUint32(out, id)
	out = append(out, byte(min(p.RetryAfter/retryUnit, math.MaxUint8)), byte(len(p.Ranks)))
	for _, rank := range slices.Sorted(maps.Keys(p.Ranks)) {
		l := p.Ranks[rank]
		first := byte(rank)
		if l.Displaced {
			first |= displacedBit
		}
		out = append(out, first)
		out = binary.LittleEndian.AppendUint16(out, encodeRate(l.Share))
		out = append(out, encodeRatio(l.Others), encodeRatio(l.Late), encodeRatio(l.Excess))
	}
	out = append(out, byte(numWorkspaces))
	for _, w := range p.byRate()[:numWorkspaces] {
		out = appendID(out, w)
		out = binary.LittleEndian.AppendUint16(out, encodeRate(p.Workspaces[w].Rate))
		out = append(out, encodeRatio(p.Workspaces[w].Excess))
	}
	return out
}

// byRate returns the workspaces, first those that surge, then those with the most requests, excess included.
func (p *PoolLevels) byRate() []uint32 {
	total := func(w uint32) float64 {
		return p.Workspaces[w].Rate / max(1-p.Workspaces[w].Excess, 1.0/math.MaxUint8)
	}
	return slices.SortedFunc(maps.Keys(p.Workspaces), func(x, y uint32) int {
		// The ceiling is 1 for those that surge.
		surges := cmp.Compare(math.Ceil(p.Workspaces[y].Excess), math.Ceil(p.Workspaces[x].Excess))
		return cmp.Or(surges, cmp.Compare(total(y), total(x)), cmp.Compare(x, y))
	})
}

// displacedBit marks a rank as displaced; ranks take the lower bits.
const displacedBit = 1 << 7

// DecodeLevels decodes levels; it returns an error if the message is malformed.
func DecodeLevels(b []byte) (*Levels, error) {
	r := reader{rest: b}
	if r.byte() != formatVersion {
		return nil, errVersion
	}
	numPools := r.byte()
	l := &Levels{Partial: numPools&partialBit != 0, Pools: map[uint32]*PoolLevels{}}
	for range numPools &^ partialBit {
		id := r.uint32()
		p := &PoolLevels{RetryAfter: time.Duration(r.byte()) * retryUnit, Ranks: map[int]RankLevel{}, Workspaces: map[uint32]WorkspaceRate{}}
		for range r.byte() {
			first := r.byte()
			level := RankLevel{Displaced: first&displacedBit != 0, Share: decodeRate(r.uint16()), Others: decodeRatio(r.byte()), Late: decodeRatio(r.byte()), Excess: decodeRatio(r.byte())}
			rank := int(first &^ displacedBit)
			if rank >= NumRanks {
				return nil, errRange
			}
			p.Ranks[rank] = level
		}
		for range r.byte() {
			w := r.id()
			p.Workspaces[w] = WorkspaceRate{Rate: decodeRate(r.uint16()), Excess: decodeRatio(r.byte())}
		}
		l.Pools[id] = p
	}
	if r.err != nil {
		return nil, r.err
	}
	return l, nil
}

func encodeRate(rate float64) uint16 {
	return uint16(min(math.Round(rate/rateUnit), math.MaxUint16))
}
func decodeRate(v uint16) float64 {
	if v == math.MaxUint16 {
		return math.Inf(1)
	}
	return float64(v) * rateUnit
}
func encodeRatio(ratio float64) byte { return byte(math.Round(min(max(ratio, 0), 1) * math.MaxUint8)) }
func decodeRatio(v byte) float64     { return float64(v) / math.MaxUint8 }
