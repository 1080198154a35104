package traffic

// A State is what an upstream says of itself.
type State string

// The states of an upstream.
const (
	Ready   State = "ready"
	Leaving State = "leaving"
)

// An Upstream is one incarnation of a model engine or plain service. After a
// restart it is another upstream, perhaps at the same address.
type Upstream struct {
	ID            string
	Pool          string
	Address       string
	FailureDomain string
	// Slots is how many requests it works on at once.
	Slots int
	State State
	// Models names the models that it has loaded; empty means that it says nothing of models.
	Models []string
}

// Serves reports whether the upstream can answer requests for a model; an empty name is any model.
func (u *Upstream) Serves(model string) bool {
	if model == "" || len(u.Models) == 0 {
		return true
	}
	for _, m := range u.Models {
		if m == model {
			return true
		}
	}
	return false
}

// An UpstreamChange is what has changed of the upstreams between two looks at
// the platform's list. Entries stand in order: of two on one upstream the later holds.
type UpstreamChange struct {
	// Whole is set if Listed is the complete list, so that whatever it lacks is gone.
	Whole  bool
	Listed []Upstream
	// Gone names upstreams that are no longer listed.
	Gone []string
	// Skipped are the errors of entries that could not be read.
	Skipped []error
}
