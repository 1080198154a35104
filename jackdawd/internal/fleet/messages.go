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

// The names of the RPC methods.
const (
	serviceName     = "Fleet"
	followCall      = serviceName + ".Follow"
	exchangeCall    = serviceName + ".Exchange"
	ageCall         = serviceName + ".Age"
	newestCall      = serviceName + ".Newest"
	reportCall      = serviceName + ".Report"
	casesCall       = serviceName + ".Cases"
	slotCall        = serviceName + ".Slot"
	probeCall       = serviceName + ".Probe"
	streamsCall     = serviceName + ".Streams"
	streamCall      = serviceName + ".Stream"
	heldStreamsCall = serviceName + ".HeldStreams"
)

// FollowArgs describe what a follower has.
type FollowArgs struct {
	// Version is that of the follower's configuration, Position its position in the parent's
	// upstream changes.
	Version  int64
	Position membership.Position
	// Evacuations is the position of the evacuations that the follower has.
	Evacuations traffic.LogPosition
	// Whole requests the complete list of upstreams, whatever the position.
	Whole bool
	// Heard is the value of Heard in the parent's last reply.
	Heard time.Duration
	// Wait is how long to hold the call open for an update. Oldest is the age of the parent's list
	// of upstreams at which it must answer, so that a parent that loses the store says so at once.
	Wait   time.Duration
	Oldest time.Duration
	// Hosts is the position up to which the follower knows the host list.
	Hosts traffic.LogPosition
	// Exchange is the follower's load report.
	Exchange ExchangeArgs
}

// FollowReply contains what the follower does not have yet.
type FollowReply struct {
	// Waited is how long the call was held open, so that the follower can subtract it from ages.
	// Otherwise each level of the tree would add its waiting time.
	Waited time.Duration
	// Behind is the maximum age of the configuration of the replying host.
	Behind time.Duration
	// ListBehind is the maximum age of its list of upstreams, Heard the time at which the list was
	// valid, on its own clock.
	ListBehind time.Duration
	Heard      time.Duration
	// Document is the compressed configuration, empty if the follower has it.
	Document []byte
	// Evacuations are the evacuations in force, nil if the follower has them.
	Evacuations *traffic.Evacuations
	// Ends are the evacuations that ended recently.
	Ends     []EndedEvacuation
	Position membership.Position
	// Listed is the complete list of upstreams, compressed, if the follower's position is too old;
	// otherwise Entries are the changes since.
	Listed  []byte
	Entries []traffic.UpstreamEntry
	// Hosts are the changes of the host list up to HostsUntil, or the complete list if HostsWhole
	// is set.
	Hosts      []HostEntry
	HostsWhole bool
	HostsUntil traffic.LogPosition
	// Exchange is the load information for the follower.
	Exchange ExchangeReply
}

// An EndedEvacuation is the end of a failure domain's evacuation in wire format, with the time since it.
type EndedEvacuation struct {
	FailureDomain string
	Record        traffic.LogPosition
	Ago           time.Duration
}

// AgeArgs request the age of a host's data.
type AgeArgs struct{}

// AgeReply holds the maximum ages of a host's configuration and list of upstreams.
type AgeReply struct {
	Configuration time.Duration
	List          time.Duration
}

// ExchangeArgs are the load report of a host, including its children.
type ExchangeArgs struct {
	Host string
	// Leaves is set if the host reports to another parent from now on. No other field but Host is
	// set then.
	Leaves bool
	// Engines are the requests in progress per engine where they have changed since the last call;
	// First is set if this is the first report, which has all of them.
	Engines Counts
	First   bool
	// Prompts are the requests in progress for the prompts with the most requests.
	Prompts Counts
	// Scores are the summed failure scores of upstreams at the host and its children.
	Scores Scores
	// PlanAge is the age of the host's plan, or unknownAge if it has none.
	PlanAge time.Duration
	// Steps is the number of levels below the host.
	Steps int
	// Demand is the encoded overload.Demand of the host and its children; nil if there is none. After the
	// fields that hosts without it send, it does not change how those are encoded.
	Demand []byte
	// DemandKept is set if Demand is left out and the one last sent is still valid.
	DemandKept bool
}

// ExchangeReply is what the parent passes down.
type ExchangeReply struct {
	// Scores are the summed failure scores of upstreams at all hosts of the region.
	Scores Scores
	// Plan spreads prompts over engines; it is nil if there is none that the host does not have.
	// PlanAge is the time since it was computed.
	Plan    *placement.Plan
	PlanAge time.Duration
	// KeepsDemand is set if the parent keeps the host's demand for calls that leave it out. Parents of
	// earlier builds do not.
	KeepsDemand bool
}

// Scores are failure scores of upstreams in wire format: a 4-byte hash and a 1-byte score each.
type Scores []byte

const (
	scoreSize    = 5
	maxScoreByte = math.MaxUint8
	// scoreUnit is the resolution of scores, which are multiples of a tenth.
	scoreUnit = 0.1
	// maxReportedScores bounds the upstreams of one message. If more upstreams fail, their scores
	// are not the main problem.
	maxReportedScores = 16
)

// encodeScores encodes scores, the highest ones if there are too many.
func encodeScores(scores map[uint32]float64) Scores {
	upstreams := slices.SortedFunc(maps.Keys(scores), func(a, b uint32) int {
		return cmp.Or(cmp.Compare(scores[b], scores[a]), cmp.Compare(a, b))
	})
	var out Scores
	for _, u := range upstreams[:min(len(upstreams), maxReportedScores)] {
		out = binary.LittleEndian.AppendUint32(out, u)
		out = append(out, byte(min(math.Round(scores[u]/scoreUnit), maxScoreByte)))
	}
	return out
}

// decode returns the scores. A truncated one at the end is ignored.
func (s Scores) decode() map[uint32]float64 {
	scores := map[uint32]float64{}
	for len(s) >= scoreSize {
		scores[binary.LittleEndian.Uint32(s)] = float64(s[4]) * scoreUnit
		s = s[scoreSize:]
	}
	return scores
}
