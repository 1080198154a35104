package transit

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

// peerFailureWindow is how long a failure of another host counts against it.
const peerFailureWindow = 3 * time.Second

// A Peer is another host that may reach upstreams which this one does not reach.
type Peer struct {
	Name, Address, Secret, FailureDomain string
}

// peerRecord remembers which other hosts did not connect this one to upstreams. It is safe for
// concurrent use.
type peerRecord struct {
	mu sync.Mutex
	// failedAt is when a host last failed, by its name and by its name and the upstream's address.
	failedAt map[peerPath]time.Time
}

// peerPath is the way through a host to an upstream; an empty address stands for any upstream.
type peerPath struct{ peer, address string }

func newPeerRecord() *peerRecord { return &peerRecord{failedAt: map[peerPath]time.Time{}} }

// recordFailure records that a host did not connect this one to an upstream.
func (r *peerRecord) recordFailure(now time.Time, peer, address string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for path, at := range r.failedAt {
		if now.Sub(at) > peerFailureWindow {
			delete(r.failedAt, path)
		}
	}
	r.failedAt[peerPath{peer: peer}] = now
	r.failedAt[peerPath{peer: peer, address: address}] = now
}

// recordSuccess records that a host connected this one to an upstream.
func (r *peerRecord) recordSuccess(peer, address string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.failedAt, peerPath{peer: peer})
	delete(r.failedAt, peerPath{peer: peer, address: address})
}

// rankedPeer is a peer with what it is ranked by.
type rankedPeer struct {
	Peer
	// failures is 2 if the host failed for the upstream, 1 if for another one.
	failures   int
	failedAt   time.Time
	sameDomain int
	hash       uint64
}

// order returns the peers in the order in which they are to be asked for an upstream: those that did
// not fail lately, then those that failed longest ago, else by a hash that spreads upstreams over hosts. The first and each second one
// after it are of other failure domains than this host if there are any, since the hosts of a domain
// are often cut off together.
func (r *peerRecord) order(now time.Time, peers []Peer, self, failureDomain, address string) []Peer {
	r.mu.Lock()
	ranked := make([]rankedPeer, 0, len(peers))
	for _, p := range peers {
		entry := rankedPeer{Peer: p, hash: xxhash.Sum64String(self + p.Name + address)}
		switch {
		case now.Sub(r.failedAt[peerPath{peer: p.Name, address: address}]) < peerFailureWindow:
			entry.failures, entry.failedAt = 2, r.failedAt[peerPath{peer: p.Name, address: address}]
		case now.Sub(r.failedAt[peerPath{peer: p.Name}]) < peerFailureWindow:
			entry.failures = 1
		}
		ranked = append(ranked, entry)
	}
	r.mu.Unlock()
	byHash := func(a, b rankedPeer) int { return cmp.Compare(a.hash, b.hash) }
	slices.SortFunc(ranked, byHash)
	seen := map[bool]int{}
	for i, p := range ranked {
		same := p.FailureDomain == failureDomain
		ranked[i].sameDomain = 2 * seen[same]
		if same {
			ranked[i].sameDomain++
		}
		seen[same]++
	}
	slices.SortStableFunc(ranked, func(a, b rankedPeer) int {
		return cmp.Or(cmp.Compare(a.failures, b.failures), a.failedAt.Compare(b.failedAt), cmp.Compare(a.sameDomain, b.sameDomain))
	})
	ordered := make([]Peer, len(ranked))
	for i, p := range ranked {
		ordered[i] = p.Peer
	}
	return ordered
}
