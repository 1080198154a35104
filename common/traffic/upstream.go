package traffic

import "github.com/cespare/xxhash/v2"

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
	ID string
	// Hash is HashOf the identifier.
	Hash          uint64
	Pool          string
	Address       string
	FailureDomain string
	// Slots is how many requests it works on at once.
	Slots int
	State State
	// Sequence orders what one incarnation says of itself; what has a lower one is older.
	Sequence int64
	// Models names the models that it has loaded; empty means that it says nothing of models.
	Models []string
}

// HashOf returns the hash by which an upstream of an identifier is ranked and named between hosts.
func HashOf(id string) uint64 { return xxhash.Sum64String(id) }

// ShortHash returns the lower half of an upstream's hash, by which hosts name it to each
// other. Of 880 upstreams two have the same one in one of 10,000 fleets, and then count as one.
func ShortHash(hash uint64) uint32 { return uint32(hash) }

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

// An UpstreamEntry is what the platform's list says of one upstream.
type UpstreamEntry struct {
	ID string
	// Upstream is nil if the upstream is no longer listed.
	Upstream *Upstream
}

// An UpstreamChange is what has changed of the upstreams between two looks at the platform's list.
type UpstreamChange struct {
	// Whole is set if Entries is the complete list, so that whatever it lacks is gone.
	Whole bool
	// Entries stand in the order in which they were written: of two on one upstream the later holds.
	Entries []UpstreamEntry
	// Skipped are the errors of entries that could not be read.
	Skipped []error
}

// Listed returns the entry of an upstream that is listed.
func Listed(u Upstream) UpstreamEntry {
	u.Hash = HashOf(u.ID)
	return UpstreamEntry{ID: u.ID, Upstream: &u}
}

// Gone returns the entry of an upstream that is no longer listed.
func Gone(id string) UpstreamEntry { return UpstreamEntry{ID: id} }
