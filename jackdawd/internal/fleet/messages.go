package fleet

import (
	"encoding/binary"
	"time"

	"jackdawhinge/common/traffic"
	"jackdawhinge/jackdawd/internal/membership"
	"jackdawhinge/jackdawd/internal/placement"
)

// followCall is the name of the call that a follower makes.
const (
	serviceName = "Fleet"
	followCall  = serviceName + ".Follow"
)

// FollowArgs say how far a follower is.
type FollowArgs struct {
	Host string
	// Version is the configuration that the follower has; Position how far it has followed the upstreams.
	Version  int64
	Position membership.Position
	// Hosts is the version of the follower's list of hosts.
	Hosts uint64
	// Wait is how long to wait for a change.
	Wait time.Duration
	// Loads are what upstreams have told the follower itself since its last call, which
	// was so long ago as Since says.
	Loads Loads
	Since time.Duration
}

// FollowReply is what a follower has missed.
type FollowReply struct {
	// Behind is how old the reader's configuration may have been when it replied.
	Behind time.Duration
	// ListBehind is how old its list of upstreams may have been.
	ListBehind time.Duration
	// Document is the configuration, packed; empty if the follower has it.
	Document []byte
	Position membership.Position
	Whole    bool
	Entries  []traffic.UpstreamEntry
	// Hosts is the list of hosts, empty if the follower has it.
	Hosts map[string]Notice
	Loads Loads
}

// Loads are loads of upstreams, packed: for each four bytes of the upstream's hash,
// one of requests and one of age.
type Loads []byte

const (
	loadBytes = 6
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
		out = append(out, byte(min(t.Requests, mostByte)), byte(age))
	}
	return out
}

// unpack returns the loads; a cut one at the end is left out.
func (l Loads) unpack(now time.Time) []placement.Told {
	var out []placement.Told
	for len(l) >= loadBytes {
		out = append(out, placement.Told{
			Upstream: binary.LittleEndian.Uint32(l), Requests: int(l[4]), At: now.Add(-time.Duration(l[5]) * loadAge),
		})
		l = l[loadBytes:]
	}
	return out
}
