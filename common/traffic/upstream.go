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
// restart it is another upstream, perhaps at the same address, and some keep their
// identifier.
type Upstream struct {
	ID string
	// Incarnation is when it started.
	Incarnation Incarnation
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

// An Incarnation tells the starts of an upstream that keeps its identifier apart: it is
// the Unix millisecond of the start, higher for a later one, and 0 if the upstream does
// not say.
type Incarnation int64

// A Start names one start of an upstream. What was learnt of one start, such as what it
// has cached or how it failed, says nothing of another one.
type Start struct {
	ID          string
	Incarnation Incarnation
}

// Start returns which start of the upstream this is.
func (u *Upstream) Start() Start { return Start{ID: u.ID, Incarnation: u.Incarnation} }

// HashOf returns the hash by which an upstream of an identifier is ranked and named between hosts.
func HashOf(id string) uint64 { return xxhash.Sum64String(id) }

// incarnationFactor spreads incarnations, which differ little, over 32 bits: it is 2^32
// over the golden ratio, made odd.
const incarnationFactor = 2654435769

// ShortHash returns the number by which hosts name the start of an upstream to each other.
// Of 880 upstreams two have the same one in one of 10,000 fleets, and then count as one.
func (u *Upstream) ShortHash() uint32 {
	return uint32(u.Hash) ^ uint32(u.Incarnation)*incarnationFactor
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

// An UpstreamEntry is what the platform's list says of one upstream.
type UpstreamEntry struct {
	ID string
	// Upstream is nil if the upstream is no longer listed.
	Upstream *Upstream
	// Unusable is set if that is because what stands in the entry's place describes no upstream.
	Unusable bool
}

// An UpstreamChange is what has changed of the upstreams between two looks at the platform's list.
type UpstreamChange struct {
	// Whole is set if Entries is the complete list, so that whatever it lacks is gone.
	Whole bool
	// Restored is set if the list is that of an older copy, from which the platform's list has come back: upstreams that
	// it lacks may have come since.
	Restored bool
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

// Unusable returns the entry of an upstream in whose place something else was written.
func Unusable(id string) UpstreamEntry { return UpstreamEntry{ID: id, Unusable: true} }

// Gone returns the entry of an upstream that is no longer listed.
func Gone(id string) UpstreamEntry { return UpstreamEntry{ID: id} }
