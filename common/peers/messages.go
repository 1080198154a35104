package peers

import "time"

// A Row is the load of one upstream, named by the hash of its name, as counted by its owner host.
type Row struct {
	Upstream uint64
	Load     int64 // in tokens
	Age      time.Duration
	// Gone reports that the upstream failed or is no longer in the sender's host list.
	Gone bool
}

// Rows holds rows as columns, which take two thirds of the bytes of a slice of structs on the wire.
type Rows struct {
	Upstreams []uint64
	Loads     []int64
	AgeMillis []uint32
}

// Pack converts rows to columns.
func Pack(rows []Row) Rows {
	var columns Rows
	for _, row := range rows {
		columns.Upstreams = append(columns.Upstreams, row.Upstream)
		columns.Loads = append(columns.Loads, row.Load)
		columns.AgeMillis = append(columns.AgeMillis, uint32(row.Age/time.Millisecond))
	}
	return columns
}

// Unpack converts columns to rows; it returns none if the columns differ in length.
func (r Rows) Unpack() []Row {
	if len(r.Loads) != len(r.Upstreams) || len(r.AgeMillis) != len(r.Upstreams) {
		return nil
	}
	rows := make([]Row, len(r.Upstreams))
	for i := range rows {
		rows[i] = Row{Upstream: r.Upstreams[i], Load: r.Loads[i], Age: time.Duration(r.AgeMillis[i]) * time.Millisecond}
	}
	return rows
}

// ExchangeArgs holds the loads that one owner host of a pool sends to another.
type ExchangeArgs struct {
	Pool string
	Rows Rows
}

// ExchangeReply holds the loads that the receiving owner host returns.
type ExchangeReply struct {
	Rows Rows
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
	// Unready means that the ledger is not readable at present, so that nothing was claimed.
	Unready ClaimState = "unready"
	// Mismatch means that the key was claimed for a different request body.
	Mismatch ClaimState = "mismatch"
)

// ClaimReply holds the state of a key after a claim, and the response to the first claim if it was
// stored.
type ClaimReply struct {
	State  ClaimState
	Answer []byte
}

// CloseArgs closes a claim. Void reports that its request was not and will not be executed;
// otherwise State and Answer hold the outcome and the response. Key and Body are hashes.
type CloseArgs struct {
	Claim  string
	Key    string
	Body   string
	Void   bool
	State  ClaimState
	Answer []byte
}

// Nothing is the empty argument or reply of a call.
type Nothing struct{}

// The service and method names of the RPC calls.
const (
	ExchangeCall   = "Control.Exchange"
	CheckpointCall = "Control.Checkpoint"
	RevisionCall   = "Control.Revision"
	ClaimCall      = "Ledger.Claim"
	CloseCall      = "Ledger.Close"
)
