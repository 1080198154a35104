package report

import (
	"cmp"
	"slices"

	"jackdawhinge/common/targets"
)

// The paths of an entry host's admin interface.
const (
	StatusPath  = "/status"
	ExplainPath = "/explain"
)

// An Upstream is a host's view of an upstream. Loads are in tokens; LoadKnown is false if the load
// is unknown, MeanLoad is the mean load of the model's upstreams, Waiting counts queued requests,
// and Limit is the concurrency limit in tokens.
type Upstream struct {
	Name          string  `json:"name"`
	Model         string  `json:"model"`
	FailureDomain string  `json:"failure-domain"`
	Owner         string  `json:"owner"`
	Load          int64   `json:"load"`
	LoadKnown     bool    `json:"known"`
	MeanLoad      float64 `json:"mean-load"`
	Waiting       int     `json:"waiting"`
	WaitingTokens int64   `json:"waiting-tokens"`
	Limit         int64   `json:"limit"`
	// SoftwareVersion is the version of the upstream's software; empty if it reports none.
	SoftwareVersion string `json:"software,omitempty"`
	// Cold is how much longer the upstream bears only the rate of a cold one.
	Cold targets.Duration `json:"cold,omitempty"`
}

// A Class holds a host's statistics of one request class since its start. Target is the latency
// target for the first token and FirstTokenP95 the 95th percentile of recent responses;
// LateResponses counts those that missed the target.
type Class struct {
	Name          string           `json:"name"`
	Target        targets.Duration `json:"first-token-within"`
	FirstTokenP95 targets.Duration `json:"first-token-p95"`
	Answered      int64            `json:"answered"`
	LateResponses int64            `json:"late"`
	Refused       int64            `json:"refused"`
}

// A Status is an entry host's view of the fleet, with the age of the host list that it is based on.
type Status struct {
	Host       string           `json:"host"`
	Ready      bool             `json:"ready"`
	Revision   int64            `json:"revision"`
	ListAge    targets.Duration `json:"list-age"`
	MovedChats int              `json:"moved-chats"`
	EntryHosts []string         `json:"entry-hosts"`
	Ledger     Ledger           `json:"ledger"`
	Classes    []Class          `json:"classes"`
	Upstreams  []Upstream       `json:"upstreams"`
	// StoreEra counts the restores of the platform's store from an older backup that the host knows
	// of; 0 for a host without a store.
	StoreEra int64 `json:"store-era,omitempty"`
	// Quarantined lists the requests that are rejected because upstreams crashed while executing
	// them.
	Quarantined []QuarantinedRequest `json:"quarantined,omitempty"`
	// Evacuations lists the failure domains whose upstreams get no new requests.
	Evacuations []Evacuation `json:"evacuations,omitempty"`
	// PoolAdmission says by which levels of pool-wide admission the host decides; nil if it has none
	// and no pool asks for any.
	PoolAdmission *PoolAdmission `json:"pool-admission,omitempty"`
}

// The states of the levels of pool-wide admission.
const (
	LevelsInForce = "in-force"
	LevelsExpired = "expired"
	LevelsNone    = "none"
)

// PoolAdmission holds the levels of pool-wide admission, their state and the age of the newest ones.
// Pools that are not full have no levels; none has any unless the state is LevelsInForce.
type PoolAdmission struct {
	State string           `json:"state"`
	Age   targets.Duration `json:"age"`
	Pools []FullPool       `json:"pools,omitempty"`
}

// A FullPool holds the levels of a pool of whose requests not all are admitted, and the least time
// after which refused callers are told to retry.
type FullPool struct {
	Pool       string           `json:"pool"`
	RetryAfter targets.Duration `json:"retry-after"`
	// Ranks lists the urgency ranks that are limited; all requests of the others are admitted.
	Ranks []LimitedRank `json:"ranks"`
	// Workspaces lists those that send more than their share, or far more than usual.
	Workspaces []ListedWorkspace `json:"workspaces,omitempty"`
	// LimitedWorkspaces counts those of them of whose requests not all are admitted.
	LimitedWorkspaces int `json:"limited-workspaces"`
}

// A LimitedRank says which ratio of the requests of a rank is admitted: of workspaces that are not
// listed, of returning requests that are late for certain, and of requests beyond the usual rate of a
// surging workspace. Share is the rate in requests per second up to which a workspace is served in
// full; nil for no limit. Displaced is set if more urgent requests take the room.
type LimitedRank struct {
	Rank      int      `json:"rank"`
	Ratio     float64  `json:"ratio"`
	Late      float64  `json:"late"`
	Excess    float64  `json:"excess"`
	Share     *float64 `json:"share,omitempty"`
	Displaced bool     `json:"displaced,omitempty"`
}

// A ListedWorkspace is a workspace with its rate in requests per second, without its excess, the
// ratio of these that is admitted at the rank that admits least of them, and the ratio of all its
// requests that is excess: beyond its usual rate in a surge.
type ListedWorkspace struct {
	Workspace string  `json:"workspace"`
	Rate      float64 `json:"rate"`
	Ratio     float64 `json:"ratio"`
	Excess    float64 `json:"excess"`
}

// An Evacuation is a failure domain that operators have taken out of use: how long this host has
// known of it, and the offset of the operators' record in the platform's store.
type Evacuation struct {
	FailureDomain string           `json:"failure-domain"`
	Known         targets.Duration `json:"known"`
	Record        int64            `json:"record"`
}

// A QuarantinedRequest is what quarantined requests have in common, with the time left until it is admitted again.
type QuarantinedRequest struct {
	Fingerprint string `json:"fingerprint"`
	// Part is the part of the prompt that the refused requests have in common; empty for copies of
	// one request. Workspace is whose requests with the part are refused; empty for all.
	Part      string           `json:"part,omitempty"`
	Workspace string           `json:"workspace,omitempty"`
	Crashes   int              `json:"crashes"`
	Remaining targets.Duration `json:"left"`
}

// Sort sorts the classes by name, the upstreams by model and name, the quarantined requests by
// fingerprint, and the evacuations by failure domain.
func (s *Status) Sort() {
	slices.SortFunc(s.Classes, func(a, b Class) int { return cmp.Compare(a.Name, b.Name) })
	slices.SortFunc(s.Upstreams, func(a, b Upstream) int {
		return cmp.Or(cmp.Compare(a.Model, b.Model), cmp.Compare(a.Name, b.Name))
	})
	slices.SortFunc(s.Evacuations, func(a, b Evacuation) int { return cmp.Compare(a.FailureDomain, b.FailureDomain) })
	slices.SortFunc(s.Quarantined, func(a, b QuarantinedRequest) int { return cmp.Compare(a.Fingerprint, b.Fingerprint) })
}

// An Explanation lists the candidate upstreams for a chat, best first, and the load multiple that
// bounds their load.
type Explanation struct {
	Host         string     `json:"host"`
	Model        string     `json:"model"`
	LoadMultiple float64    `json:"load-multiple"`
	Candidates   []Upstream `json:"candidates"`
}
