package report

import "jackdawhinge/common/targets"

// ClaimsPath is where a host tells what the log holds of one idempotency key.
const ClaimsPath = "/claims"

// A ClaimState is what became of one claim.
type ClaimState string

// The states of a claim.
const (
	// ClaimHolds means that it holds the key: it runs, or its host died while it did.
	ClaimHolds ClaimState = "holds"
	// ClaimVoid means that its host gave it up: it was not and will not be executed.
	ClaimVoid ClaimState = "void"
	// ClaimLost means that another claim came before it.
	ClaimLost ClaimState = "lost"
	// ClaimFinished means that it was executed.
	ClaimFinished ClaimState = "finished"
	// ClaimUncertain means that it may have been executed.
	ClaimUncertain ClaimState = "uncertain"
)

// A Ledger is how a host follows the claim streams: how many it follows, how many
// of them it has read to their end, and the idempotency keys that it knows.
type Ledger struct {
	Followed int `json:"followed"`
	Read     int `json:"read"`
	Keys     int `json:"keys"`
}

// A Claim is one attempt to execute a keyed request, as the log tells it.
type Claim struct {
	ID     string           `json:"id"`
	Offset int64            `json:"offset"`
	State  ClaimState       `json:"state"`
	Read   targets.Duration `json:"read-ago"`
}

// Claims is what the log holds of one key; Whole is false while the host has not read it to its end.
type Claims struct {
	Partition uint64  `json:"partition"`
	Whole     bool    `json:"whole"`
	Claims    []Claim `json:"claims"`
}
