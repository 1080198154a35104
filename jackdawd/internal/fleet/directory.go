package fleet

import (
	"encoding/json"
	"maps"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
)

const (
	// firstSuspicion is how long a host that did not answer is not asked; it doubles up
	// to longestSuspicion.
	firstSuspicion   = 2 * time.Second
	longestSuspicion = time.Minute
	// longestStale bounds it for a host that answers but has lost the store itself: it is
	// back as soon as the store is.
	longestStale = 4 * time.Second
	// goneAfter is how long a host has not answered when its notice is removed. A host
	// that lives writes another one.
	goneAfter = 30 * time.Second
)

// A Notice is what a host writes of itself for the others.
type Notice struct {
	Address       string `json:"address"`
	FailureDomain string `json:"failure-domain"`
	Region        string `json:"region"`
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

// A Directory is the hosts that are known here, as they stood on the board when it was read.
type Directory struct {
	self Peer
	mu   sync.Mutex
	// board is what was read of the board so far, hosts the same and this host.
	board    map[string]Notice
	hosts    map[string]Notice
	suspects map[string]suspicion
	// ordered keeps the hosts of each failure domain of the region in their order.
	ordered map[string][]Peer
}

// NewDirectory returns a directory that knows this host alone.
func NewDirectory(self Peer) *Directory {
	d := &Directory{
		self: self, board: map[string]Notice{}, hosts: map[string]Notice{self.Name: self.Notice},
		suspects: map[string]suspicion{},
	}
	d.changed()
	return d
}

// Self returns this host.
func (d *Directory) Self() Peer {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.self
}

// Take takes in notices as they are written, nil where one was removed; whole is
// set if they are all that there are. It reports whether this host's own is missing.
func (d *Directory) Take(notices map[string][]byte, whole bool) (missing bool) {
	decoded := decodeNotices(notices)
	d.mu.Lock()
	defer d.mu.Unlock()
	if whole {
		clear(d.board)
	}
	for name, n := range decoded {
		if n == nil {
			delete(d.board, name)
			delete(d.suspects, name)
			continue
		}
		if d.board[name] != *n {
			// Another process answers there now.
			delete(d.suspects, name)
		}
		d.board[name] = *n
	}
	missing = d.board[d.self.Name] != d.self.Notice
	d.hosts = maps.Clone(d.board)
	d.hosts[d.self.Name] = d.self.Notice
	d.changed()
	return missing
}

func decodeNotices(notices map[string][]byte) map[string]*Notice {
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
	return decoded
}

// Adopt makes this host go by the notice that an earlier process of it wrote, if only the
// secret differs, and reports whether it did. Others then need not learn of a restart:
// those who knew the earlier process reach this one.
func (d *Directory) Adopt(earlier Notice) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	own := d.self.Notice
	own.Secret = earlier.Secret
	if earlier.Secret == "" || own != earlier {
		return false
	}
	d.self.Notice = own
	d.hosts[d.self.Name] = own
	d.changed()
	return true
}

// Large reports whether there are so many hosts that they must not all read the store at once.
func (d *Directory) Large() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.board) >= largeFleet
}

// All returns the hosts known.
func (d *Directory) All() map[string]Notice {
	d.mu.Lock()
	defer d.mu.Unlock()
	return maps.Clone(d.hosts)
}

// Suspect takes in that a host did not answer, or answers but has lost the store; it
// reports whether the host has not answered for so long that it must be gone.
func (d *Directory) Suspect(now time.Time, name string, stale bool) (gone bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	s, ok := d.suspects[name]
	if !ok || stale {
		s.since = now
	}
	longest := longestSuspicion
	if stale {
		longest = longestStale
	}
	s.wait = min(max(2*s.wait, firstSuspicion), longest)
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

// changed takes note of other hosts; the lock must be held.
func (d *Directory) changed() {
	d.ordered = d.order()
}
