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
	ageCall      = serviceName + ".Age"
	newestCall   = serviceName + ".Newest"
	reportCall   = serviceName + ".Report"
	casesCall    = serviceName + ".Cases"
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
	// Hosts is up to which position the follower knows the list of hosts.
	Hosts traffic.LogPosition
	// Exchange is what the follower knows of loads.
	Exchange ExchangeArgs
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
	// Hosts are what has changed of the list of hosts up to a position, or all of them if
	// HostsWhole is set.
	Hosts      []HostEntry
	HostsWhole bool
	HostsUntil traffic.LogPosition
	// Exchange is what is known of loads here.
	Exchange ExchangeReply
}

// AgeArgs ask a host how old its knowledge is.
type AgeArgs struct{}

// AgeReply is how old the configuration and the list of upstreams may be that a host knows.
type AgeReply struct {
	Configuration time.Duration
	List          time.Duration
}

// ExchangeArgs are what a host and those below it know of loads.
type ExchangeArgs struct {
	Host string
	// Leaves is set if the host tells another one from now on; nothing else is set then.
	Leaves bool
	// Engines are the requests in progress at engines, of the host and those below it, where
	// they have changed since the last call; First is set if nothing was told before.
	Engines Counts
	First   bool
	// Prompts are those with the prompts that most have.
	Prompts Counts
	// Scores are what speaks against upstreams at the host and those below it, added up.
	Scores Scores
	// PlanAge is how old the plan is that the host has; longer than any plan if it has none.
	PlanAge time.Duration
	// Steps is how many steps there are below the host.
	Steps int
}

// ExchangeReply is what the hosts above know.
type ExchangeReply struct {
	// Scores are what speaks against upstreams at all hosts of the region, added up.
	Scores Scores
	// Plan is how prompts are spread over engines, nil if there is none that the host has not
	// been told, and PlanAge how long ago it was drawn.
	Plan    *placement.Plan
	PlanAge time.Duration
}

// Scores are what speaks against upstreams, packed: for each four bytes of the upstream's
// hash and one of the score.
type Scores []byte

const (
	scoreBytes = 5
	mostByte   = math.MaxUint8
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
