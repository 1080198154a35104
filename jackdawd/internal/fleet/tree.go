package fleet

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"jackdawhinge/jackdawd/internal/routing"
)

const (
	// maxReaders is the number of hosts per region that read the store, so that one can fail. Each
	// receives all that the upstreams publish, 183 KB/s for 880 upstreams, which no host can
	// reduce.
	maxReaders = 2
	// fanOut is the number of followers per host. With it a host sends and receives at most
	// 4.5 KB/s whatever the size of the fleet, and a failure domain of 90 hosts has three levels
	// below its head.
	fanOut = 2
	// interiorMultiple is the multiple to which the number of hosts with followers is rounded up,
	// so that it seldom changes as hosts join and leave.
	interiorMultiple = 4
	// minStrengthRatio is the fraction of the greatest strength from which on hosts rank before
	// weaker ones. A reader forwards a changed configuration at once, which takes long on a
	// 10 Mbit/s link; meanwhile its own reads of the store fail.
	minStrengthRatio = 0.5
	// rankingKey is the rendezvous hashing key that ranks hosts.
	rankingKey = 0x72656164657273
)

// Hosts follow each other in a tree. The hosts of a failure domain are ranked, and the first one is
// the head. Only the first interiorCount hosts have followers: among these, host r follows host
// (r-1)/fanOut, and the hosts ranked after them are spread over the last of them. Two heads of a
// region, the readers, read the store, and the other heads follow one of them. Each host skips the
// hosts that it suspects. While hosts differ in whom they suspect they may follow each other in a
// cycle; ages then add up until all leave it.

// Parent returns the host that this one follows, or false if it reads the store.
func (d *Directory) Parent(now time.Time) (Peer, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	readers := d.readers(now)
	if d.contains(readers, d.self) {
		return d.otherReader(now, readers)
	}
	hosts := d.rankedHosts(now, d.self.FailureDomain)
	rank := slices.IndexFunc(hosts, func(p Peer) bool { return p.Name == d.self.Name })
	interior := interiorCount(len(hosts))
	switch {
	case rank == 0:
		return d.pick(readers), true
	case rank < interior:
		return hosts[(rank-1)/fanOut], true
	default:
		return d.pick(hosts[(interior-1)/fanOut : interior]), true
	}
}

// otherReader returns the reader that this reader follows while the store rejects it, or false if
// it is not rejected or is the only reader. The lock must be held.
func (d *Directory) otherReader(now time.Time, readers []Peer) (Peer, bool) {
	if !now.Before(d.rejectedUntil) {
		return Peer{}, false
	}
	others := slices.DeleteFunc(slices.Clone(readers), func(p Peer) bool { return p.Name == d.self.Name })
	if len(others) == 0 {
		return Peer{}, false
	}
	return d.pick(others), true
}

// MarkRejected records that the store rejects this host, so that it follows another reader for a
// while.
func (d *Directory) MarkRejected(now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.rejectedUntil = now.Add(maxStaleBackoff)
}

// OtherDomainHeads returns the heads of the other failure domains, in an order that differs between
// hosts. It returns none if this host need not wait for its parent: if it is a reader, the head of
// its domain, or in a small fleet.
func (d *Directory) OtherDomainHeads(now time.Time) []Peer {
	d.mu.Lock()
	defer d.mu.Unlock()
	var others []Peer
	for _, domain := range d.domains() {
		ranked := d.rankedHosts(now, domain)
		switch {
		case len(ranked) == 0:
		case domain != d.self.FailureDomain:
			others = append(others, ranked[0])
		case ranked[0].Name == d.self.Name:
			return nil
		}
	}
	if d.contains(d.readers(now), d.self) || d.isSmall() {
		return nil
	}
	return d.shuffled(others)
}

// OnePerDomain returns one other host of each failure domain, chosen as by pick.
func (d *Directory) OnePerDomain(now time.Time) []Peer {
	d.mu.Lock()
	defer d.mu.Unlock()
	var peers []Peer
	for _, domain := range d.domains() {
		others := slices.DeleteFunc(slices.Clone(d.rankedHosts(now, domain)), func(p Peer) bool { return p.Name == d.self.Name })
		if len(others) > 0 {
			peers = append(peers, d.pick(others))
		}
	}
	return peers
}

// ExchangeParent returns the host that this one reports loads to, or false if this host is the root
// of the region, where all reports arrive.
func (d *Directory) ExchangeParent(now time.Time) (Peer, bool) {
	d.mu.Lock()
	readers := d.readers(now)
	isReader := d.contains(readers, d.self)
	d.mu.Unlock()
	if isReader {
		return readers[0], readers[0].Name != d.self.Name
	}
	return d.Parent(now)
}

// readers returns the hosts of the region that read the store. The lock must be held.
func (d *Directory) readers(now time.Time) []Peer {
	var heads, seconds []Peer
	for _, domain := range d.domains() {
		ranked := d.rankedHosts(now, domain)
		if len(ranked) > 0 {
			heads = append(heads, ranked[0])
		}
		if len(ranked) > 1 {
			seconds = append(seconds, ranked[1])
		}
	}
	d.sortByRank(heads)
	d.sortByRank(seconds)
	// In a region with one failure domain the second reader is from that domain too.
	heads = append(heads, seconds...)
	return heads[:min(maxReaders, len(heads))]
}

// domains returns the failure domains of the region in order. The lock must be held.
func (d *Directory) domains() []string {
	return slices.Sorted(maps.Keys(d.byDomain))
}

// interiorCount returns how many of n hosts have followers.
func interiorCount(n int) int {
	parents := (n - 1 + fanOut - 1) / fanOut
	if parents <= 1 {
		return 1
	}
	return min((parents+interiorMultiple-1)/interiorMultiple*interiorMultiple, n)
}

// rankedHosts returns the hosts of a failure domain of the region that are not suspected, by rank.
// The lock must be held.
func (d *Directory) rankedHosts(now time.Time, domain string) []Peer {
	all := d.byDomain[domain]
	if len(d.suspects) == 0 {
		return all
	}
	var peers []Peer
	for _, p := range all {
		if s, suspected := d.suspects[p.Name]; !suspected || !now.Before(s.until) {
			peers = append(peers, p)
		}
	}
	return peers
}

// hostsByDomain returns the hosts of the region by failure domain and rank. The lock must be held.
func (d *Directory) hostsByDomain() map[string][]Peer {
	ordered := map[string][]Peer{}
	for name, registration := range d.hosts {
		if registration.Region == d.self.Region {
			ordered[registration.FailureDomain] = append(ordered[registration.FailureDomain], Peer{Name: name, Registration: registration})
		}
	}
	for _, peers := range ordered {
		d.sortByRank(peers)
	}
	return ordered
}

// sortByRank sorts strong hosts first, and otherwise by rendezvous hashing.
func (d *Directory) sortByRank(peers []Peer) {
	strongest := 0.0
	for _, p := range peers {
		strongest = max(strongest, p.Strength)
	}
	weak := func(p Peer) int {
		if p.Strength < minStrengthRatio*strongest {
			return 1
		}
		return 0
	}
	slices.SortFunc(peers, func(a, b Peer) int {
		return cmp.Or(
			cmp.Compare(weak(a), weak(b)),
			cmp.Compare(routing.RendezvousScore(rankingKey, routing.NameHash(b.Name)), routing.RendezvousScore(rankingKey, routing.NameHash(a.Name))),
			cmp.Compare(a.Name, b.Name),
		)
	})
}

// pick returns one of several hosts, chosen by rendezvous hashing with this host's name.
func (d *Directory) pick(peers []Peer) Peer { return slices.MaxFunc(peers, d.compareByAffinity) }

// shuffled returns the hosts in rendezvous order of this host's name.
func (d *Directory) shuffled(peers []Peer) []Peer {
	return slices.SortedFunc(slices.Values(peers), d.compareByAffinity)
}

func (d *Directory) compareByAffinity(a, b Peer) int {
	key := routing.NameHash(d.self.Name)
	return cmp.Compare(routing.RendezvousScore(key, routing.NameHash(a.Name)), routing.RendezvousScore(key, routing.NameHash(b.Name)))
}

func (d *Directory) contains(peers []Peer, peer Peer) bool {
	return slices.ContainsFunc(peers, func(other Peer) bool { return other.Name == peer.Name })
}
