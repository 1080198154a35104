package fleet

import (
	"encoding/json"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"jackdawhinge/common/traffic"
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
	// rememberedHosts is how many hosts that were removed are remembered: those that are
	// replaced in two days.
	rememberedHosts = 200
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

// A HostEntry is what stands on the board of one host, nothing if it was removed.
type HostEntry struct {
	Name   string
	Notice *Notice
}

// entry is a host entry and the position on the board at which it was known.
type entry struct {
	notice *Notice
	at     traffic.LogPosition
	// unlisted is set if an older copy of the board lacks it. Hosts that know the copy alone must
	// hear of it once it is written again.
	unlisted bool
}

// A Directory is the hosts that are known here, as they stood on the board when this host
// or another one read it.
type Directory struct {
	self Peer
	mu   sync.Mutex
	// board is what is known of the board up to a position, hosts the same and this host.
	board map[string]entry
	until traffic.LogPosition
	// forgotten is the position up to which hosts that were removed may be missing.
	forgotten traffic.LogPosition
	hosts     map[string]Notice
	suspects  map[string]suspicion
	// turnedAway is until when the store is taken to turn this host away.
	turnedAway time.Time
	// ordered keeps the hosts of each failure domain of the region in their order.
	ordered map[string][]Peer
}

// NewDirectory returns a directory that knows this host alone.
func NewDirectory(self Peer) *Directory {
	d := &Directory{
		self: self, board: map[string]entry{}, hosts: map[string]Notice{self.Name: self.Notice},
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

// Take takes in what was read of the board up to a position, nil where a notice was removed;
// whole is set if the notices are all that there are. Hosts that an older copy of the board lacks stay known: they
// write their notices again. It reports whether this host's own is missing.
func (d *Directory) Take(notices map[string][]byte, whole bool, until traffic.LogPosition) (missing bool) {
	decoded := decodeNotices(notices)
	d.mu.Lock()
	defer d.mu.Unlock()
	if until.Before(d.until) {
		return d.missing()
	}
	if whole {
		d.takeUnlisted(decoded, until.Era == d.until.Era)
	}
	for name, n := range decoded {
		if e := d.board[name]; e.unlisted || !same(e.notice, n) {
			d.put(name, n, until)
		}
	}
	d.until = until
	d.changed()
	return d.missing()
}

// takeUnlisted takes in that all notices lack some hosts: they were removed, unless the board is an older copy; the
// lock must be held.
func (d *Directory) takeUnlisted(all map[string]*Notice, removed bool) {
	for name, e := range d.board {
		if _, listed := all[name]; listed {
			continue
		}
		if removed {
			all[name] = nil
			continue
		}
		e.unlisted = true
		d.board[name] = e
	}
}

// Learn takes in what another host knows of the board up to a position, if that is more than
// this one does, and reports whether this host's own notice is missing there.
func (d *Directory) Learn(entries []HostEntry, whole bool, until traffic.LogPosition) (missing bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.until.Before(until) {
		return false
	}
	if whole {
		clear(d.board)
	}
	for _, e := range entries {
		d.put(e.Name, e.Notice, until)
	}
	d.until = until
	d.changed()
	return d.missing()
}

// Since returns what has changed on the board since a position, as far as this host knows, and
// up to which. Whole is set if the entries are all that there are, for a host that may know
// of others which were removed long ago.
func (d *Directory) Since(position traffic.LogPosition) (entries []HostEntry, whole bool, until traffic.LogPosition) {
	d.mu.Lock()
	defer d.mu.Unlock()
	whole = position.Before(d.forgotten)
	for name, e := range d.board {
		if position.Before(e.at) || whole {
			entries = append(entries, HostEntry{Name: name, Notice: e.notice})
		}
	}
	return entries, whole, d.until
}

// Until returns up to which position the board is known.
func (d *Directory) Until() traffic.LogPosition {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.until
}

// put takes in a host's notice, nil if it was removed; the lock must be held. What was removed
// is remembered for hosts below that still know it.
func (d *Directory) put(name string, n *Notice, at traffic.LogPosition) {
	if !same(d.board[name].notice, n) {
		// Another process answers there now, or none.
		delete(d.suspects, name)
	}
	d.board[name] = entry{notice: n, at: at}
}

// same reports whether two notices, nil for none, are the same.
func same(a, b *Notice) bool { return a == b || (a != nil && b != nil && *a == *b) }

// forget drops the hosts that were removed longest ago if there are too many; the lock must be held.
func (d *Directory) forget() {
	var gone []string
	for name, e := range d.board {
		if e.notice == nil {
			gone = append(gone, name)
		}
	}
	if len(gone) <= rememberedHosts {
		return
	}
	slices.SortFunc(gone, func(a, b string) int { return d.board[a].at.Compare(d.board[b].at) })
	for _, name := range gone[:len(gone)-rememberedHosts] {
		if at := d.board[name].at; d.forgotten.Before(at) {
			d.forgotten = at
		}
		delete(d.board, name)
	}
}

// missing reports whether this host's own notice is not on the board; the lock must be held.
func (d *Directory) missing() bool {
	own := d.board[d.self.Name].notice
	return own == nil || *own != d.self.Notice
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
	d.changed()
	return true
}

// Large reports whether there are so many hosts that they must not all read the store at once.
func (d *Directory) Large() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.hosts) >= largeFleet
}

// Crowded reports whether there are so many hosts that they must not all look for the store.
func (d *Directory) Crowded() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return !d.small()
}

// small reports whether there are so few hosts that all may look for the store; the lock must be held.
func (d *Directory) small() bool { return len(d.hosts) < smallFleet }

// Size returns how many hosts are known.
func (d *Directory) Size() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.hosts)
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
	d.forget()
	d.hosts = map[string]Notice{}
	for name, e := range d.board {
		if e.notice != nil {
			d.hosts[name] = *e.notice
		}
	}
	d.hosts[d.self.Name] = d.self.Notice
	d.ordered = d.order()
}
