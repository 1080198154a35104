package roster

import "strings"

// A Role says what a host does.
type Role string

// The roles of hosts.
const (
	EntryHost Role = "entry"
	Upstream  Role = "upstream"
)

// A State says whether a host takes new work.
type State string

// The states of hosts.
const (
	Live    State = "live"
	Leaving State = "leaving"
)

// A Host is one line of the platform's host list; addresses are IP numbers with ports.
type Host struct {
	Name          string   `json:"name"`
	Role          Role     `json:"role"`
	State         State    `json:"state"`
	FailureDomain string   `json:"failure-domain"`
	Address       string   `json:"address"`
	Control       string   `json:"control,omitempty"`
	Models        []string `json:"models,omitempty"`
	Capacity      int64    `json:"capacity-tokens,omitempty"`
}

// Region returns the part of the failure domain before the slash, or all of it.
func (h Host) Region() string {
	region, _, _ := strings.Cut(h.FailureDomain, "/")
	return region
}

// A List is one reading of the host list.
type List struct {
	Version int64  `json:"version"`
	Hosts   []Host `json:"hosts"`
}
