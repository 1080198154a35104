package peers

import "time"

// An UpstreamLoad is the load of one upstream, as counted by its owner host. Upstream is the hash of
// the upstream's name.
type UpstreamLoad struct {
	Upstream uint64
	Load     int64 // in tokens
	Age      time.Duration
	// Gone reports that the upstream failed or is no longer in the sender's host list.
	Gone bool
}

// UpstreamLoads holds rows as columns, which take two thirds of the bytes of a slice of structs on
// the wire.
type UpstreamLoads struct {
	Upstreams []uint64
	Loads     []int64
	AgeMillis []uint32
}

// PackLoads converts rows to columns.
func PackLoads(rows []UpstreamLoad) UpstreamLoads {
	var columns UpstreamLoads
	for _, row := range rows {
		columns.Upstreams = append(columns.Upstreams, row.Upstream)
		columns.Loads = append(columns.Loads, row.Load)
		columns.AgeMillis = append(columns.AgeMillis, uint32(row.Age/time.Millisecond))
	}
	return columns
}

// Unpack converts columns to rows; it returns none if the columns differ in length.
func (r UpstreamLoads) Unpack() []UpstreamLoad {
	if len(r.Loads) != len(r.Upstreams) || len(r.AgeMillis) != len(r.Upstreams) {
		return nil
	}
	rows := make([]UpstreamLoad, len(r.Upstreams))
	for i := range rows {
		rows[i] = UpstreamLoad{Upstream: r.Upstreams[i], Load: r.Loads[i], Age: time.Duration(r.AgeMillis[i]) * time.Millisecond}
	}
	return rows
}

// ExchangeArgs holds the loads that one owner host of a pool sends to another.
type ExchangeArgs struct {
	Pool string
	Rows UpstreamLoads
}

// ExchangeReply holds the loads that the receiving owner host returns.
type ExchangeReply struct {
	Rows UpstreamLoads
}

// CheckpointReply holds a host's configuration checkpoint as JSON. Whole is false if the host has
// no complete one.
type CheckpointReply struct {
	Whole      bool
	Checkpoint []byte
}

// RevisionReply holds the revision of the configuration in force on a host.
type RevisionReply struct {
	Host     string
	Revision int64
}

// ClaimArgs asks the owner of an idempotency key's partition to claim the key. Key and Body are
// hashes, never the key or the request body itself; Claim identifies the claim.
type ClaimArgs struct {
	Claim string
	Key   string
	Body  string
}

// A ClaimState is the state of an idempotency key in the claim log.
type ClaimState string

// The states of an idempotency key.
const (
	// Granted means that this claim is the key's first, so that its host executes the request.
	Granted ClaimState = "granted"
	// Running means that an earlier claim holds the key and has no outcome yet.
	Running ClaimState = "running"
	// Finished means that the request of the first claim was executed.
	Finished ClaimState = "finished"
	// Uncertain means that the request of the first claim may have been executed.
	Uncertain ClaimState = "uncertain"
	// Unavailable means that the ledger is not readable at present, so that nothing was claimed.
	Unavailable ClaimState = "unready"
	// BodyMismatch means that the key was claimed for a different request body.
	BodyMismatch ClaimState = "mismatch"
)

// ClaimReply holds the state of a key after a claim, and the response to the first claim if it was
// stored.
type ClaimReply struct {
	State  ClaimState
	Answer []byte
}

// CloseArgs states how a claim ended. Void reports that its request was not and will not be executed;
// otherwise State and Answer hold the outcome and the response. Key and Body are hashes.
type CloseArgs struct {
	Claim  string
	Key    string
	Body   string
	Void   bool
	State  ClaimState
	Answer []byte
}

// Empty is the empty argument or reply of a call.
type Empty struct{}

// The service and method names of the RPC calls.
const (
	ExchangeCall   = "Control.Exchange"
	CheckpointCall = "Control.Checkpoint"
	RevisionCall   = "Control.Revision"
	ClaimCall      = "Ledger.Claim"
	CloseCall      = "Ledger.Close"
)
