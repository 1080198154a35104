package roster

import "strings"

// A Role is the function of a host in the fleet.
type Role string

// The roles of hosts.
const (
	EntryHost Role = "entry"
	Upstream  Role = "upstream"
)

// A State states whether a host accepts new requests.
type State string

// The states of hosts.
const (
	// Live hosts accept new requests.
	Live State = "live"
	// Leaving hosts are draining.
	Leaving State = "leaving"
)

// A Host is one entry of the platform's host list. Its addresses consist of an IP address and a
// port; ControlAddress is that of the control plane, and CapacityTokens is the memory of an engine
// in tokens.
type Host struct {
	Name           string   `json:"name"`
	Role           Role     `json:"role"`
	State          State    `json:"state"`
	FailureDomain  string   `json:"failure-domain"`
	Address        string   `json:"address"`
	ControlAddress string   `json:"control,omitempty"`
	Models         []string `json:"models,omitempty"`
	CapacityTokens int64    `json:"capacity-tokens,omitempty"`
}

// Region returns the part of the failure domain before the slash, or the whole failure domain
// without one.
func (h Host) Region() string {
	region, _, _ := strings.Cut(h.FailureDomain, "/")
	return region
}

// A List is one version of the host list.
type List struct {
	Version int64  `json:"version"`
	Hosts   []Host `json:"hosts"`
}
