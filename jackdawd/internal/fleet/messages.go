package fleet

import (
	"cmp"
	"encoding/binary"
	"maps"
	"math"
	"slices"
	"time"

	"jackdawhinge/common/traffic"
	"jackdawhinge/jackdawd/internal/membership"
	"jackdawhinge/jackdawd/internal/placement"
)

// The names of the calls.
const (
	serviceName  = "Fleet"
	followCall   = serviceName + ".Follow"
	exchangeCall = serviceName + ".Exchange"
)

// FollowArgs say how far a follower is.
type FollowArgs struct {
	// Version is the configuration that the follower has; Position how far it has followed the upstreams.
	Version  int64
	Position membership.Position
	// Whole asks for all upstreams, wherever the follower is.
	Whole bool
	// Heard is what the last reply said of when the list of upstreams was heard.
	Heard time.Duration
	// Wait is how long to wait for something new, and Oldest how old the list of upstreams
	// may become meanwhile: a host that has lost the store says so as soon as it is older.
	Wait   time.Duration
	Oldest time.Duration
}

// FollowReply is what a follower has missed.
type FollowReply struct {
	// Waited is how long the call was held: the answer was given so long after the call was
	// sent at least. Without it each step down the tree would add the time of waiting to ages.
	Waited time.Duration
	// Behind is how old the configuration of the host that replies may have been.
	Behind time.Duration
	// ListBehind is how old its list of upstreams may have been, Heard the moment up to
	// which it knew the list, on its own clock.
	ListBehind time.Duration
	Heard      time.Duration
	// Document is the configuration, packed; empty if the follower has it.
	Document []byte
	Position membership.Position
	// Listed are all upstreams, packed, if the follower has missed too much; Entries what has changed else.
	Listed  []byte
	Entries []traffic.UpstreamEntry
}

// ExchangeArgs are what a host and those below it know of loads.
type ExchangeArgs struct {
	Host string
	// Loads are what upstreams have told since the last exchange.
	Loads Loads
	// Scores are what speaks against upstreams at the host and those below it, added up.
	Scores Scores
}

// ExchangeReply is what the hosts above know of loads.
type ExchangeReply struct {
	Loads Loads
	// Scores are what speaks against upstreams at all hosts of the region, added up.
	Scores Scores
	// Pause is the time until the next exchange, by what the host above may spend.
	Pause time.Duration
}

// Loads are loads of upstreams, packed: for each four bytes of the upstream's hash,
// one of requests, one of those that wait and one of age.
type Loads []byte

const (
	loadBytes = 7
	// loadAge is the unit of ages.
	loadAge  = 20 * time.Millisecond
	mostByte = 255
)

// packLoads packs loads; what is older than can be said is left out.
func packLoads(now time.Time, told []placement.Told) Loads {
	out := make(Loads, 0, len(told)*loadBytes)
	for _, t := range told {
		age := now.Sub(t.At) / loadAge
		if age < 0 || age > mostByte {
			continue
		}
		out = binary.LittleEndian.AppendUint32(out, t.Upstream)
		out = append(out, byte(min(t.Requests, mostByte)), byte(min(t.Waiting, mostByte)), byte(age))
	}
	return out
}

// unpack returns the loads; a cut one at the end is left out.
func (l Loads) unpack(now time.Time) []placement.Told {
	var out []placement.Told
	for len(l) >= loadBytes {
		out = append(out, placement.Told{
			Upstream: binary.LittleEndian.Uint32(l), Requests: int(l[4]), Waiting: int(l[5]), At: now.Add(-time.Duration(l[6]) * loadAge),
		})
		l = l[loadBytes:]
	}
	return out
}

// Scores are what speaks against upstreams, packed: for each four bytes of the upstream's
// hash and one of the score.
type Scores []byte

const (
	scoreBytes = 5
	// scoreUnit is the unit of scores: evidence comes in tenths.
	scoreUnit = 0.1
	// mostScores bounds the upstreams of one message; a fleet in which more fail has other troubles.
	mostScores = 16
)

// packScores packs scores, the highest ones if there are too many.
func packScores(scores map[uint32]float64) Scores {
	upstreams := slices.SortedFunc(maps.Keys(scores), func(a, b uint32) int {
		return cmp.Or(cmp.Compare(scores[b], scores[a]), cmp.Compare(a, b))
	})
	var out Scores
	for _, u := range upstreams[:min(len(upstreams), mostScores)] {
		out = binary.LittleEndian.AppendUint32(out, u)
		out = append(out, byte(min(math.Round(scores[u]/scoreUnit), mostByte)))
	}
	return out
}

// unpack returns the scores; a cut one at the end is left out.
func (s Scores) unpack() map[uint32]float64 {
	scores := map[uint32]float64{}
	for len(s) >= scoreBytes {
		scores[binary.LittleEndian.Uint32(s)] = float64(s[4]) * scoreUnit
		s = s[scoreBytes:]
	}
	return scores
}
