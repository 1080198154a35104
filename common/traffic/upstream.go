package traffic

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// An UpstreamState is the lifecycle state that an upstream reports.
type UpstreamState string

// The states of an upstream.
const (
	Ready   UpstreamState = "ready"
	Leaving UpstreamState = "leaving"
)

// An Upstream is one incarnation of a model engine or plain service. A restart makes it another
// upstream, which may have the same address; some upstreams also keep their identifier.
type Upstream struct {
	ID string
	// Incarnation distinguishes restarts that keep the identifier.
	Incarnation Incarnation
	// Hash is HashID(ID).
	Hash          uint64
	Pool          string
	Address       string
	FailureDomain string
	// SoftwareVersion is the version of its software; empty if unknown. A stream can only be resumed at
	// the version that began it.
	SoftwareVersion string
	// Slots is the number of requests that it runs concurrently.
	Slots int
	State UpstreamState
	// Sequence orders the reports of one incarnation; a report with a lower number is older.
	Sequence int64
	// ColdFor is for how much longer the upstream bears only its pool's ColdRate, as of the report.
	ColdFor time.Duration
	// Models lists the loaded models; empty means that the upstream reports none and may serve any.
	Models []string
}

// An Incarnation is the start time of an upstream in Unix milliseconds, 0 if it reports none. It
// distinguishes restarts that keep the identifier; a later one is higher.
type Incarnation int64

// An UpstreamInstance identifies one incarnation of an upstream. State learnt about one incarnation,
// such as its cache contents or failures, does not apply to another.
type UpstreamInstance struct {
	ID          string
	Incarnation Incarnation
}

// Instance returns the identity of this incarnation.
func (u *Upstream) Instance() UpstreamInstance {
	return UpstreamInstance{ID: u.ID, Incarnation: u.Incarnation}
}

// A Software identifies one software version of the upstreams of one pool; 0 stands for none.
type Software uint64

// NewSoftware returns the software of a pool's upstreams that have a version.
func NewSoftware(pool, version string) Software {
	return Software(max(xxhash.Sum64String(pool+"\x00"+version), 1))
}

// Software returns the software of the upstream.
func (u *Upstream) Software() Software { return NewSoftware(u.Pool, u.SoftwareVersion) }

// HashID returns the hash of an upstream identifier, by which hosts rank upstreams and name them to
// each other.
func HashID(id string) uint64 { return xxhash.Sum64String(id) }

// incarnationFactor spreads incarnations, which differ in few low bits, over 32 bits (Fibonacci
// hashing: 2^32 divided by the golden ratio, rounded to an odd number).
const incarnationFactor = 2654435769

// ShortHash returns the 32-bit hash by which hosts name an incarnation of an upstream to each
// other. With 880 upstreams, one fleet in 10,000 has a collision; the two upstreams then count as
// one.
func (u *Upstream) ShortHash() uint32 {
	return uint32(u.Hash) ^ uint32(u.Incarnation)*incarnationFactor
}

// Serves reports whether the upstream can serve requests for a model; an empty name stands for any
// model.
func (u *Upstream) Serves(model string) bool {
	if model == "" || len(u.Models) == 0 {
		return true
	}
	for _, loaded := range u.Models {
		if loaded == model {
			return true
		}
	}
	return false
}

// An UpstreamEntry is one upstream's entry in the platform's list.
type UpstreamEntry struct {
	ID string
	// Upstream is nil if the upstream is no longer listed.
	Upstream *Upstream
	// Unusable is set if Upstream is nil because the entry's content does not describe an upstream.
	Unusable bool
}

// An UpstreamChange is the difference between two reads of the platform's list of upstreams.
type UpstreamChange struct {
	// Complete is set if Entries is the complete list, so that upstreams missing from it were
	// removed.
	Complete bool
	// Restored is set if the list was restored from an older backup; upstreams missing from it may
	// have been added after that backup.
	Restored bool
	// Entries are in the order in which they were written; the last one for an upstream holds.
	Entries []UpstreamEntry
	// Skipped holds one error for each entry that could not be decoded.
	Skipped []error
}

// ListedEntry returns the entry of a listed upstream, with its Hash set.
func ListedEntry(u Upstream) UpstreamEntry {
	u.Hash = HashID(u.ID)
	return UpstreamEntry{ID: u.ID, Upstream: &u}
}

// UnusableEntry returns an entry whose content does not describe an upstream.
func UnusableEntry(id string) UpstreamEntry { return UpstreamEntry{ID: id, Unusable: true} }

// RemovedEntry returns the entry of an upstream that was removed from the list.
func RemovedEntry(id string) UpstreamEntry { return UpstreamEntry{ID: id} }
