package overload

import (
	"cmp"
	"encoding/binary"
	"errors"
	"maps"
	"math"
	"slices"
	"time"

	"jackdawhinge/common/traffic"
)

const (
	// NumRanks is the number of urgency ranks; 0 is the most urgent.
	NumRanks = 10
	// Window is the time over which arrivals are counted: that between two reports of a host.
	Window = 500 * time.Millisecond
	// MaxDemandBytes is the maximum size of an encoded Demand. A host receives two of them from each of
	// two children and sends one of its own, twice a second.
	MaxDemandBytes = 208
	// formatVersion is the first byte of all messages of this package.
	formatVersion = 1
	// busyUnit is the unit of slot times in messages.
	busyUnit = 10 * time.Millisecond
	// workspaceIDMask masks the two bytes of a hash that identify a workspace. Of 620 workspaces, three pairs
	// have the same in one of ninety fleets; they then have one share.
	workspaceIDMask = 1<<16 - 1
	// workspaceIDBytes is the size of a workspace's ID in messages.
	workspaceIDBytes = 2
)

var (
	errVersion   = errors.New("unknown format version")
	errTruncated = errors.New("truncated message")
	errRange     = errors.New("value out of range")
)

// PoolID returns the hash that identifies a pool.
func PoolID(name string) uint32 { return uint32(traffic.HashID(name)) }

// WorkspaceID returns the hash that identifies a workspace, in 16 bits.
func WorkspaceID(name string) uint32 { return uint32(traffic.HashID(name)) & workspaceIDMask }

// A Demand is what some hosts were asked for within the last Window, by pool.
type Demand struct {
	// Hosts is the number of hosts that it is the sum of.
	Hosts int
	// Partial is set if a message had no room for some pools.
	Partial bool
	Pools   map[uint32]*PoolDemand
}

// A PoolDemand is what was asked for of one pool.
type PoolDemand struct {
	// Running is the number of requests in progress at the pool's upstreams.
	Running int
	Ranks   [NumRanks]RankDemand
	// Workspaces holds the arrivals by workspace; Rest counts those of workspaces that a message had no
	// room for.
	Workspaces map[uint32]int
	Rest       int
	// Spans holds between which ranks each workspace's requests are; all ranks if it is missing.
	Spans map[uint32]RankSpan
}

// A RankSpan says between which ranks requests are.
type RankSpan struct {
	Lowest, Highest uint8
}

// allRanks is the span of a workspace of which nothing else is known.
var allRanks = RankSpan{Highest: NumRanks - 1}

// contains reports whether a rank is in the span.
func (s RankSpan) contains(rank int) bool { return int(s.Lowest) <= rank && rank <= int(s.Highest) }

// union returns the span that contains both.
func (s RankSpan) union(other RankSpan) RankSpan {
	return RankSpan{Lowest: min(s.Lowest, other.Lowest), Highest: max(s.Highest, other.Highest)}
}

// A RankDemand is what was asked for at one rank.
type RankDemand struct {
	// New counts the requests that can still begin within their target, Late all others.
	New, Late int
	// Ended counts the requests that have ended, and Busy is the time for which they occupied a slot.
	Ended int
	Busy  time.Duration
}

// NewDemand returns an empty demand.
func NewDemand() *Demand { return &Demand{Pools: map[uint32]*PoolDemand{}} }

// Add adds another demand to the sum; nil adds nothing.
func (d *Demand) Add(other *Demand) {
	if other == nil {
		return
	}
	d.Hosts += other.Hosts
	d.Partial = d.Partial || other.Partial
	for pool, demand := range other.Pools {
		d.pool(pool).add(demand)
	}
}

// pool returns the demand of a pool, adding an empty one if there is none.
func (d *Demand) pool(id uint32) *PoolDemand {
	p, ok := d.Pools[id]
	if !ok {
		p = &PoolDemand{Workspaces: map[uint32]int{}, Spans: map[uint32]RankSpan{}}
		d.Pools[id] = p
	}
	return p
}

func (p *PoolDemand) add(other *PoolDemand) {
	p.Running += other.Running
	p.Rest += other.Rest
	for r := range p.Ranks {
		p.Ranks[r].add(other.Ranks[r])
	}
	for workspace, n := range other.Workspaces {
		p.Workspaces[workspace] += n
	}
	for workspace, span := range other.Spans {
		p.addSpan(workspace, span)
	}
}

// addSpan extends the span of a workspace's ranks.
func (p *PoolDemand) addSpan(workspace uint32, span RankSpan) {
	if known, ok := p.Spans[workspace]; ok {
		span = span.union(known)
	}
	p.Spans[workspace] = span
}

func (r *RankDemand) add(other RankDemand) {
	r.New += other.New
	r.Late += other.Late
	r.Ended += other.Ended
	r.Busy += other.Busy
}

// Arrivals returns the number of requests that were asked for.
func (p *PoolDemand) Arrivals() int {
	sum := 0
	for _, r := range p.Ranks {
		sum += r.New + r.Late
	}
	return sum
}

// Encode returns the demand in wire format, in MaxDemandBytes at most. Pools and workspaces with the most
// arrivals are kept; the arrivals of other workspaces are summed up as the rest.
func (d *Demand) Encode() []byte {
	pools := slices.SortedFunc(maps.Keys(d.Pools), func(x, y uint32) int {
		return cmp.Or(cmp.Compare(d.Pools[y].Arrivals(), d.Pools[x].Arrivals()), cmp.Compare(x, y))
	})
	// The first pass finds out how many pools fit without workspaces, the second spends the room that is left.
	size := 2 + binary.MaxVarintLen16
	kept := 0
	for _, id := range pools {
		poolSize := len(d.Pools[id].encode(nil, id, 0)) + workspaceIDBytes
		if size+poolSize > MaxDemandBytes {
			break
		}
		size += poolSize
		kept++
	}
	room := MaxDemandBytes - size
	out := appendCount([]byte{formatVersion}, d.Hosts)
	partial := byte(0)
	if d.Partial || kept < len(pools) {
		partial = partialBit
	}
	out = append(out, byte(kept)|partial)
	for i, id := range pools[:kept] {
		share := max(room, 0) / (kept - i)
		before := len(out)
		withoutWorkspaces := len(d.Pools[id].encode(nil, id, 0))
		out = d.Pools[id].encode(out, id, share)
		room -= len(out) - before - withoutWorkspaces
	}
	return out
}

// encode appends the demand of a pool, with workspaces that take up to the given number of bytes.
func (p *PoolDemand) encode(out []byte, id uint32, workspaceBytes int) []byte {
	out = binary.LittleEndian.AppendUint32(out, id)
	out = appendCount(out, p.Running)
	ranks := uint16(0)
	for r := range p.Ranks {
		if p.Ranks[r] != (RankDemand{}) {
			ranks |= 1 << r
		}
	}
	out = binary.LittleEndian.AppendUint16(out, ranks)
	for r := range p.Ranks {
		if ranks&(1<<r) != 0 {
			out = p.Ranks[r].encode(out)
		}
	}
	byArrivals := slices.SortedFunc(maps.Keys(p.Workspaces), func(x, y uint32) int {
		return cmp.Or(cmp.Compare(p.Workspaces[y], p.Workspaces[x]), cmp.Compare(x, y))
	})
	groups, n := p.groupBySpan(byArrivals, workspaceBytes)
	rest := p.Rest
	for _, workspace := range byArrivals[n:] {
		rest += p.Workspaces[workspace]
	}
	out = append(out, byte(len(groups)))
	for _, span := range slices.SortedFunc(maps.Keys(groups), func(x, y RankSpan) int { return cmp.Compare(x.encode(), y.encode()) }) {
		out = append(out, span.encode(), byte(len(groups[span])))
		for _, workspace := range groups[span] {
			out = appendCount(appendID(out, workspace), p.Workspaces[workspace])
		}
	}
	return appendCount(out, rest)
}

// groupBySpan returns the first workspaces of a list by the span of their ranks, as many as fit into a number of bytes,
// and how many these are.
func (p *PoolDemand) groupBySpan(list []uint32, maxBytes int) (groups map[RankSpan][]uint32, n int) {
	groups, size := map[RankSpan][]uint32{}, 0
	for _, workspace := range list {
		span := p.spanOf(workspace)
		size += workspaceIDBytes + len(appendCount(nil, p.Workspaces[workspace]))
		if len(groups[span]) == 0 {
			size += groupBytes
		}
		if size > maxBytes || len(groups[span]) == math.MaxUint8 {
			break
		}
		groups[span] = append(groups[span], workspace)
		n++
	}
	return groups, n
}

// groupBytes is the size of a group of workspaces without them.
const groupBytes = 2

func (r RankDemand) encode(out []byte) []byte {
	out = appendCount(out, r.New)
	out = appendCount(out, r.Late)
	out = appendCount(out, r.Ended)
	// Rounded, as truncation at each host would make the sum of many short requests too small.
	return appendCount(out, int(r.Busy.Round(busyUnit)/busyUnit))
}

// partialBit marks a demand or levels that had no room for some pools; the number of pools takes the lower bits.
const partialBit = 1 << 7

// spanOf returns between which ranks a workspace's requests are.
func (p *PoolDemand) spanOf(workspace uint32) RankSpan {
	if span, ok := p.Spans[workspace]; ok {
		return span
	}
	return allRanks
}

func (s RankSpan) encode() byte { return s.Lowest<<4 | s.Highest }

func decodeSpan(b byte) RankSpan {
	return RankSpan{Lowest: min(b>>4, NumRanks-1), Highest: min(b&0xf, NumRanks-1)}
}

// DecodeDemand decodes a demand; it returns an error if the message is malformed.
func DecodeDemand(b []byte) (*Demand, error) {
	r := reader{rest: b}
	if r.byte() != formatVersion {
		return nil, errVersion
	}
	d := NewDemand()
	d.Hosts = r.count()
	numPools := r.byte()
	d.Partial = numPools&partialBit != 0
	for range numPools &^ partialBit {
		id := r.uint32()
		p := d.pool(id)
		p.Running += r.count()
		ranks := r.uint16()
		for rank := range p.Ranks {
			if ranks&(1<<rank) != 0 {
				p.Ranks[rank].add(RankDemand{New: r.count(), Late: r.count(), Ended: r.count(), Busy: time.Duration(r.count()) * busyUnit})
			}
		}
		for range r.byte() {
			span := decodeSpan(r.byte())
			for range r.byte() {
				workspace := r.id()
				p.addSpan(workspace, span)
				p.Workspaces[workspace] += r.count()
			}
		}
		p.Rest += r.count()
	}
	if r.err != nil {
		return nil, r.err
	}
	return d, nil
}

// appendID appends a workspace's ID.
func appendID(out []byte, id uint32) []byte {
	return append(out, byte(id), byte(id>>8))
}

// maxCount bounds the counts of a message, so that sums of many hosts don't overflow.
const maxCount = 1 << 24

// appendCount appends a count, at most maxCount.
func appendCount(out []byte, n int) []byte {
	return binary.AppendUvarint(out, uint64(min(max(n, 0), maxCount)))
}

// A reader decodes a message. After an error it returns zeros.
type reader struct {
	rest []byte
	err  error
}

func (r *reader) take(n int) []byte {
	if r.err == nil && len(r.rest) < n {
		r.err = errTruncated
	}
	if r.err != nil {
		return make([]byte, n)
	}
	taken := r.rest[:n]
	r.rest = r.rest[n:]
	return taken
}

func (r *reader) byte() byte     { return r.take(1)[0] }
func (r *reader) uint16() uint16 { return binary.LittleEndian.Uint16(r.take(2)) }
func (r *reader) uint32() uint32 { return binary.LittleEndian.Uint32(r.take(4)) }

func (r *reader) id() uint32 {
	b := r.take(workspaceIDBytes)
	return uint32(b[0]) | uint32(b[1])<<8
}

func (r *reader) count() int {
	if r.err != nil {
		return 0
	}
	v, n := binary.Uvarint(r.rest)
	switch {
	case n <= 0:
		r.err = errTruncated
		return 0
	case v > maxCount:
		r.err = errRange
		return 0
	}
	r.rest = r.rest[n:]
	return int(v)
}
