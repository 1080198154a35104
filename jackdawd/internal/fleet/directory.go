package fleet

import (
	"cmp"
	"encoding/json"
	"fmt"
	"hash/fnv"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"jackdawhinge/jackdawd/internal/routing"
)

const (
	// readersBase and hostsPerReader give how many hosts read the store: two, so that
	// one can fail, and one more for each so many hosts, which a small host can serve:
	// 40 followers call 100 times a second, at 0.1 ms each a hundredth of a core.
	readersBase    = 2
	hostsPerReader = 40
	// firstSuspicion is how long a host that did not answer is not asked; it doubles up
	// to longestSuspicion.
	firstSuspicion   = 2 * time.Second
	longestSuspicion = time.Minute
	// goneAfter is how long a host has not answered when its notice is removed. A host
	// that lives writes another one.
	goneAfter = 30 * time.Second
	// strongShare is the part of the strongest host's strength from which hosts go
	// before weaker ones as readers. A reader passes a changed configuration to tens of
	// followers at once, which a link of 10 Mbit/s takes seconds for; meanwhile its own
	// reads of the store fail.
	strongShare = 0.5
	// readersKey is what readers are ranked by.
	readersKey = 0x72656164657273
)

// A Notice is what a host writes of itself for the others.
type Notice struct {
	Address       string `json:"address"`
	FailureDomain string `json:"failure-domain"`
	// Secret is what callers must know to be answered.
	Secret string `json:"secret"`
	// Strength compares hosts: how much they can send and compute.
	Strength float64 `json:"strength"`
}

// A Peer is another host of the system.
type Peer struct {
	Name string
	Notice
}

// suspicion is what this host holds against another one.
type suspicion struct {
	since time.Time
	until time.Time
	wait  time.Duration
}

// A Directory is the hosts that are known here.
type Directory struct {
	self     Peer
	mu       sync.Mutex
	hosts    map[string]Notice
	suspects map[string]suspicion
	version  uint64
}

// NewDirectory returns a directory that knows this host alone.
func NewDirectory(self Peer) *Directory {
	d := &Directory{self: self, hosts: map[string]Notice{self.Name: self.Notice}, suspects: map[string]suspicion{}}
	d.version = d.fingerprint()
	return d
}

// Self returns this host.
func (d *Directory) Self() Peer { return d.self }

// Take takes in notices as they are written, nil where one was removed; whole is
// set if they are all that there are. It reports whether this host's own is missing.
func (d *Directory) Take(notices map[string][]byte, whole bool) (missing bool) {
	decoded := map[string]*Notice{}
	for name, text := range notices {
		if text == nil {
			decoded[name] = nil
			continue
		}
		var n Notice
		if err := json.Unmarshal(text, &n); err != nil {
			logrus.WithError(err).WithField("peer", name).Warn("fleet: A host's notice cannot be read.")
			continue
		}
		decoded[name] = &n
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if whole {
		clear(d.hosts)
	}
	for name, n := range decoded {
		if n == nil {
			delete(d.hosts, name)
			delete(d.suspects, name)
			continue
		}
		if d.hosts[name] != *n {
			// Another process answers there now.
			delete(d.suspects, name)
		}
		d.hosts[name] = *n
	}
	missing = d.hosts[d.self.Name] != d.self.Notice
	d.hosts[d.self.Name] = d.self.Notice
	d.version = d.fingerprint()
	return missing
}

// Replace takes in all hosts that another host knows.
func (d *Directory) Replace(hosts map[string]Notice) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.hosts = maps.Clone(hosts)
	d.hosts[d.self.Name] = d.self.Notice
	d.version = d.fingerprint()
}

// All returns the hosts known and the version of the list.
func (d *Directory) All() (hosts map[string]Notice, version uint64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return maps.Clone(d.hosts), d.version
}

// Version returns the version of the list; equal lists have equal versions.
func (d *Directory) Version() uint64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.version
}

// Readers returns the hosts that should read the store, this one's failure domain
// first, and whether this host is one of them.
func (d *Directory) Readers(now time.Time) (others []Peer, self bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	ranked := d.ranked(now)
	ranked = ranked[:min(len(ranked), readersBase+len(d.hosts)/hostsPerReader)]
	for _, p := range ranked {
		if p.Name == d.self.Name {
			self = true
			continue
		}
		others = append(others, p)
	}
	slices.SortStableFunc(others, func(a, b Peer) int {
		return cmp.Compare(d.distance(a), d.distance(b))
	})
	return others, self
}

// distance is 0 for hosts of the same failure domain.
func (d *Directory) distance(p Peer) int {
	if p.FailureDomain == d.self.FailureDomain {
		return 0
	}
	return 1
}

// ranked returns the hosts that are not suspected, strong ones first, by rendezvous hashing; the lock must be held.
func (d *Directory) ranked(now time.Time) []Peer {
	peers := make([]Peer, 0, len(d.hosts))
	for name, n := range d.hosts {
		if s, ok := d.suspects[name]; !ok || !now.Before(s.until) {
			peers = append(peers, Peer{Name: name, Notice: n})
		}
	}
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
		if c := cmp.Compare(weak(a), weak(b)); c != 0 {
			return c
		}
		return cmp.Compare(routing.Score(readersKey, routing.HashOf(b.Name)), routing.Score(readersKey, routing.HashOf(a.Name)))
	})
	return peers
}

// Suspect takes in that a host did not answer, and reports whether it has not for so long that it must be gone.
func (d *Directory) Suspect(now time.Time, name string) (gone bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	s, ok := d.suspects[name]
	if !ok {
		s = suspicion{since: now}
	}
	s.wait = min(max(2*s.wait, firstSuspicion), longestSuspicion)
	s.until = now.Add(s.wait)
	d.suspects[name] = s
	return now.Sub(s.since) > goneAfter
}

// Trust takes in that a host answered.
func (d *Directory) Trust(name string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.suspects, name)
}

// fingerprint returns a hash of the list; the lock must be held.
func (d *Directory) fingerprint() uint64 {
	h := fnv.New64a()
	for _, name := range slices.Sorted(maps.Keys(d.hosts)) {
		// A hash never fails to be written to.
		_, _ = fmt.Fprintln(h, name, d.hosts[name].Address, d.hosts[name].Secret)
	}
	return h.Sum64()
}
