package report

import "jackdawhinge/common/targets"

// ClaimsPath is the path that serves the claims on one idempotency key.
const ClaimsPath = "/claims"

// A ClaimState is the state of one claim.
type ClaimState string

// The states of a claim.
const (
	// ClaimHeld means that the claim holds the key: its request runs, or its host failed while it
	// ran.
	ClaimHeld ClaimState = "holds"
	// ClaimVoid means that its host abandoned the claim: the request was not and will not be
	// executed.
	ClaimVoid ClaimState = "void"
	// ClaimLost means that another claim on the key preceded it.
	ClaimLost ClaimState = "lost"
	// ClaimFinished means that the request was executed.
	ClaimFinished ClaimState = "finished"
	// ClaimUncertain means that the request may have been executed.
	ClaimUncertain ClaimState = "uncertain"
)

// A Ledger is the state of a host's claim ledger: the number of claim streams that it follows, how
// many of them it has read to their end, and the number of idempotency keys in memory.
type Ledger struct {
	StreamsFollowed int `json:"followed"`
	StreamsRead     int `json:"read"`
	Keys            int `json:"keys"`
}

// A Claim is one attempt to execute a request with an idempotency key, as recorded in the log;
// ReadAgo is the time since the host read the record.
type Claim struct {
	ID      string           `json:"id"`
	Offset  int64            `json:"offset"`
	State   ClaimState       `json:"state"`
	ReadAgo targets.Duration `json:"read-ago"`
}

// Claims holds the claims on one key. Complete is false while the host has not read the key's
// partition of the log to its end.
type Claims struct {
	Partition uint64  `json:"partition"`
	Complete  bool    `json:"whole"`
	Claims    []Claim `json:"claims"`
}
