package fleet

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"jackdawhinge/jackdawd/internal/routing"
)

const (
	// mostReaders is how many hosts of a region read the store, so that one can fail. Each
	// reads all that the upstreams write of themselves, 183 KB a second of 880 upstreams,
	// and nothing that a host could do makes that less.
	mostReaders = 2
	// fanOut is how many hosts follow one: with it a host sends and gets 4.5 KB a second
	// at most however many hosts there are, and 90 hosts of a failure domain are three
	// steps below the first one.
	fanOut = 2
	// interiorStep is what the number of hosts that have followers is rounded up to a
	// multiple of, so that it seldom changes as hosts come and go.
	interiorStep = 4
	// strongShare is the part of the strongest host's strength from which hosts go
	// before weaker ones. A reader passes a changed configuration on at once, which a
	// link of 10 Mbit/s takes long for; meanwhile its own reads of the store fail.
	strongShare = 0.5
	// readersKey is what hosts are ranked by.
	readersKey = 0x72656164657273
)

// Hosts follow each other in a tree. The hosts of a failure domain are ranked; the
// first one is its head, host r follows host (r-1)/fanOut, and hosts behind all that
// have followers spread over the last of those. Two heads of a region read the store,
// the other heads follow one of them. Whoever is suspected is passed over, by each
// host for itself: while hosts differ in whom they suspect they may follow each other
// in a circle, in which ages add up until all leave it.

// Parent returns the host that this one follows, or false if it reads the store.
func (d *Directory) Parent(now time.Time) (Peer, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	readers := d.readers(now)
	if d.contains(readers, d.self) {
		return d.otherReader(now, readers)
	}
	domain := d.ranked(now, d.self.FailureDomain)
	rank := slices.IndexFunc(domain, func(p Peer) bool { return p.Name == d.self.Name })
	followed := interior(len(domain))
	switch {
	case rank == 0:
		return d.pick(readers), true
	case rank < followed:
		return domain[(rank-1)/fanOut], true
	default:
		return d.pick(domain[(followed-1)/fanOut : followed]), true
	}
}

// otherReader returns whom a reader follows that the store turns away, or false if it is not
// turned away or the only one; the lock must be held.
func (d *Directory) otherReader(now time.Time, readers []Peer) (Peer, bool) {
	if !now.Before(d.turnedAway) {
		return Peer{}, false
	}
	others := slices.DeleteFunc(slices.Clone(readers), func(p Peer) bool { return p.Name == d.self.Name })
	if len(others) == 0 {
		return Peer{}, false
	}
	return d.pick(others), true
}

// TurnAway takes in that the store turns this host away: another reader is better followed for a while.
func (d *Directory) TurnAway(now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.turnedAway = now.Add(longestStale)
}

// Elsewhere returns the first hosts of the other failure domains, in another order for each host
// that asks. There are none for one that need not wait for the host above: a reader, the first of its
// domain, and all hosts of a small fleet.
func (d *Directory) Elsewhere(now time.Time) []Peer {
	d.mu.Lock()
	defer d.mu.Unlock()
	var others []Peer
	for _, domain := range d.domains() {
		ranked := d.ranked(now, domain)
		switch {
		case len(ranked) == 0:
		case domain != d.self.FailureDomain:
			others = append(others, ranked[0])
		case ranked[0].Name == d.self.Name:
			return nil
		}
	}
	if d.contains(d.readers(now), d.self) || d.small() {
		return nil
	}
	return d.shuffled(others)
}

// OneOfEach returns another host of each failure domain, others for each host that asks.
func (d *Directory) OneOfEach(now time.Time) []Peer {
	d.mu.Lock()
	defer d.mu.Unlock()
	var peers []Peer
	for _, domain := range d.domains() {
		others := slices.DeleteFunc(slices.Clone(d.ranked(now, domain)), func(p Peer) bool { return p.Name == d.self.Name })
		if len(others) > 0 {
			peers = append(peers, d.pick(others))
		}
	}
	return peers
}

// LoadParent returns the host that this one exchanges loads with, or false if it is the
// region's first host, where all loads come together.
func (d *Directory) LoadParent(now time.Time) (Peer, bool) {
	d.mu.Lock()
	readers := d.readers(now)
	reads := d.contains(readers, d.self)
	d.mu.Unlock()
	if reads {
		return readers[0], readers[0].Name != d.self.Name
	}
	return d.Parent(now)
}

// readers returns the hosts of the region that read the store; the lock must be held.
func (d *Directory) readers(now time.Time) []Peer {
	var heads, seconds []Peer
	for _, domain := range d.domains() {
		ranked := d.ranked(now, domain)
		if len(ranked) > 0 {
			heads = append(heads, ranked[0])
		}
		if len(ranked) > 1 {
			seconds = append(seconds, ranked[1])
		}
	}
	d.sort(heads)
	d.sort(seconds)
	// A region of one failure domain has its second reader there too.
	heads = append(heads, seconds...)
	return heads[:min(mostReaders, len(heads))]
}

// domains returns the failure domains of the region, in order; the lock must be held.
func (d *Directory) domains() []string {
	return slices.Sorted(maps.Keys(d.ordered))
}

// interior returns how many of n hosts have followers.
func interior(n int) int {
	needed := (n - 1 + fanOut - 1) / fanOut
	if needed <= 1 {
		return 1
	}
	return min((needed+interiorStep-1)/interiorStep*interiorStep, n)
}

// ranked returns the hosts of a failure domain of the region that are not suspected,
// in their order; the lock must be held.
func (d *Directory) ranked(now time.Time, domain string) []Peer {
	all := d.ordered[domain]
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

// order returns the hosts of the region by failure domain, in their order; the lock must be held.
func (d *Directory) order() map[string][]Peer {
	ordered := map[string][]Peer{}
	for name, n := range d.hosts {
		if n.Region == d.self.Region {
			ordered[n.FailureDomain] = append(ordered[n.FailureDomain], Peer{Name: name, Notice: n})
		}
	}
	for _, peers := range ordered {
		d.sort(peers)
	}
	return ordered
}

// sort puts strong hosts first, and else orders by rendezvous hashing.
func (d *Directory) sort(peers []Peer) {
	strongest := 0.0
	for _, p := range peers {
		strongest = max(strongest, p.Strength)
	}
	weak := func(p Peer) int {
		if p.Strength < strongShare*strongest {
			return 1
		}
		return 0
	}
	slices.SortFunc(peers, func(a, b Peer) int {
		return cmp.Or(
			cmp.Compare(weak(a), weak(b)),
			cmp.Compare(routing.Score(readersKey, routing.HashOf(b.Name)), routing.Score(readersKey, routing.HashOf(a.Name))),
			cmp.Compare(a.Name, b.Name),
		)
	})
}

// pick returns one of several hosts, another one for each host that picks.
func (d *Directory) pick(peers []Peer) Peer { return slices.MaxFunc(peers, d.byOwnOrder) }

// shuffled returns hosts in an order of this host's own.
func (d *Directory) shuffled(peers []Peer) []Peer {
	return slices.SortedFunc(slices.Values(peers), d.byOwnOrder)
}

func (d *Directory) byOwnOrder(a, b Peer) int {
	own := routing.HashOf(d.self.Name)
	return cmp.Compare(routing.Score(own, routing.HashOf(a.Name)), routing.Score(own, routing.HashOf(b.Name)))
}

func (d *Directory) contains(peers []Peer, p Peer) bool {
	return slices.ContainsFunc(peers, func(other Peer) bool { return other.Name == p.Name })
}
