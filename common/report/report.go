package report

import (
	"cmp"
	"slices"

	"jackdawhinge/common/targets"
)

// The paths of a host's operators' interface.
const (
	StatusPath  = "/status"
	ExplainPath = "/explain"
)

// An Upstream is what a host believes of an upstream; loads are in tokens, and Known is false where it knows none.
type Upstream struct {
	Name          string  `json:"name"`
	Model         string  `json:"model"`
	FailureDomain string  `json:"failure-domain"`
	Owner         string  `json:"owner"`
	Load          int64   `json:"load"`
	Known         bool    `json:"known"`
	Mean          float64 `json:"mean-load"`
	Waiting       int     `json:"waiting"`
	WaitingTokens int64   `json:"waiting-tokens"`
	Limit         int64   `json:"limit"`
}

// A Class is how a host's callers of one class of work fared since its start;
// FirstToken is the time to the first token that 95 in 100 of the latest answers kept.
type Class struct {
	Name       string           `json:"name"`
	Target     targets.Duration `json:"first-token-within"`
	FirstToken targets.Duration `json:"first-token-p95"`
	Answered   int64            `json:"answered"`
	Late       int64            `json:"late"`
	Refused    int64            `json:"refused"`
}

// A Status is what a host believes, and how old the host list is that it rests on.
type Status struct {
	Host       string           `json:"host"`
	Ready      bool             `json:"ready"`
	Revision   int64            `json:"revision"`
	ListAge    targets.Duration `json:"list-age"`
	Moved      int              `json:"moved-chats"`
	EntryHosts []string         `json:"entry-hosts"`
	Ledger     Ledger           `json:"ledger"`
	Classes    []Class          `json:"classes"`
	Upstreams  []Upstream       `json:"upstreams"`
	// StoreEra counts how often the platform's store has come back from an older copy, as this host knows; 0 without one.
	StoreEra int64 `json:"store-era,omitempty"`
	// Quarantined are the requests that are refused as upstreams have crashed under them.
	Quarantined []Quarantined `json:"quarantined,omitempty"`
}

// A Quarantined is a request that is refused for some time.
type Quarantined struct {
	Fingerprint string           `json:"fingerprint"`
	Crashes     int              `json:"crashes"`
	Left        targets.Duration `json:"left"`
}

// Sort puts the classes in order of name, the upstreams of model and name, and the requests of fingerprint.
func (s *Status) Sort() {
	slices.SortFunc(s.Classes, func(a, b Class) int { return cmp.Compare(a.Name, b.Name) })
	slices.SortFunc(s.Upstreams, func(a, b Upstream) int {
		return cmp.Or(cmp.Compare(a.Model, b.Model), cmp.Compare(a.Name, b.Name))
	})
	slices.SortFunc(s.Quarantined, func(a, b Quarantined) int { return cmp.Compare(a.Fingerprint, b.Fingerprint) })
}

// An Explanation is where a chat would go, candidate by candidate, best first.
type Explanation struct {
	Host       string     `json:"host"`
	Model      string     `json:"model"`
	Multiple   float64    `json:"load-multiple"`
	Candidates []Upstream `json:"candidates"`
}
