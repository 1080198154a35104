package fleet

import (
	"encoding/json"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"jackdawhinge/common/traffic"
	"jackdawhinge/jackdawd/internal/routing"
)

const (
	// minSuspectBackoff is how long a host that did not answer is skipped at first; the backoff
	// doubles up to maxSuspectBackoff.
	minSuspectBackoff = 2 * time.Second
	maxSuspectBackoff = time.Minute
	// maxStaleBackoff is the maximum for a host that answers but has lost the store, since it
	// recovers as soon as the store does.
	maxStaleBackoff = 4 * time.Second
	// unreachableTimeout is how long a host has not answered before its registration is removed. A
	// host that is still alive registers again.
	unreachableTimeout = 30 * time.Second
	// maxTombstones is how many removed hosts are remembered: as many as are replaced in two days.
	maxTombstones = 200
)

// A Registration is what a host publishes about itself.
type Registration struct {
	Address       string `json:"address"`
	FailureDomain string `json:"failure-domain"`
	Region        string `json:"region"`
	// Secret authenticates callers of the host.
	Secret string `json:"secret"`
	// Strength is the host's relative network and compute capacity.
	Strength float64 `json:"strength"`
}

// A Peer is a host of the fleet, by name and registration.
type Peer struct {
	Name string
	Registration
}

// hashedPeer is a host with the hash of its name.
type hashedPeer struct {
	Peer
	hash uint64
}

// suspect is the backoff state of a host that did not answer or had lost the store.
type suspect struct {
	since   time.Time
	until   time.Time
	backoff time.Duration
}

// A HostEntry is the registration of one host as hosts send it to each other. Notice is nil if the
// registration was removed.
type HostEntry struct {
	Name   string
	Notice *Registration
}

// directoryEntry is the registration of a host and the log position at which it was learned.
type directoryEntry struct {
	registration *Registration
	position     traffic.LogPosition
	// unlisted is set if a store restored from an older backup lacks the host. Hosts that started
	// from the backup must be sent the entry once the host registers again.
	unlisted bool
}

// A Directory is the set of known hosts, as this host or another one read it from the store.
type Directory struct {
	self Peer
	mu   sync.Mutex
	// entries holds what is known up to position, with tombstones of removed hosts; hosts holds the
	// existing ones, including this host.
	entries  map[string]directoryEntry
	position traffic.LogPosition
	// prunedTo is the position up to which tombstones may be missing.
	prunedTo traffic.LogPosition
	hosts    map[string]Registration
	suspects map[string]suspect
	// rejectedUntil is the time until which this host assumes that the store rejects it.
	rejectedUntil time.Time
	// byDomain holds the hosts of each failure domain of the region by rank.
	byDomain map[string][]Peer
	// names are the known hosts, inRegion those of this host's region that others can reach.
	names    []string
	inRegion []hashedPeer
}

// NewDirectory returns a directory that contains only this host.
func NewDirectory(self Peer) *Directory {
	d := &Directory{
		self: self, entries: map[string]directoryEntry{}, hosts: map[string]Registration{self.Name: self.Registration},
		suspects: map[string]suspect{},
	}
	d.rebuild()
	return d
}

// Self returns this host.
func (d *Directory) Self() Peer {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.self
}

// Update applies registrations read from the store up to a position, with nil for a removed one;
// whole is set if they are all existing registrations. Hosts that are missing because the store was
// restored from an older backup stay known, since they register again. It reports whether this
// host's own registration is missing.
func (d *Directory) Update(encoded map[string][]byte, whole bool, until traffic.LogPosition) (missing bool) {
	decoded := decodeRegistrations(encoded)
	d.mu.Lock()
	defer d.mu.Unlock()
	if until.Before(d.position) {
		return d.selfMissing()
	}
	sameEra := until.Era == d.position.Era
	if whole {
		d.updateUnlisted(decoded, sameEra)
	}
	for name, registration := range decoded {
		// A host that started from the backup may lack any entry of the first list after a restore,
		// also one that this host has known since before.
		if e := d.entries[name]; !sameEra || e.unlisted || !sameRegistration(e.registration, registration) {
			d.set(name, registration, until)
		}
	}
	d.position = until
	d.rebuild()
	return d.selfMissing()
}

// updateUnlisted handles hosts that a complete list does not contain: they were removed, unless the
// store was restored from an older backup. The lock must be held.
func (d *Directory) updateUnlisted(decoded map[string]*Registration, removed bool) {
	for name, e := range d.entries {
		if _, listed := decoded[name]; listed {
			continue
		}
		if removed {
			decoded[name] = nil
			continue
		}
		e.unlisted = true
		d.entries[name] = e
	}
}

// Merge applies entries received from another host if its position is newer than this one's. It
// reports whether this host's own registration is missing there.
func (d *Directory) Merge(entries []HostEntry, whole bool, until traffic.LogPosition) (missing bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.position.Before(until) {
		return false
	}
	if whole {
		clear(d.entries)
	}
	for _, e := range entries {
		d.set(e.Name, e.Notice, until)
	}
	d.position = until
	d.rebuild()
	return d.selfMissing()
}

// Since returns the entries changed after a position and the position they are valid at. Whole is
// set if all entries are returned, because tombstones that the caller may need were pruned.
func (d *Directory) Since(position traffic.LogPosition) (entries []HostEntry, whole bool, until traffic.LogPosition) {
	d.mu.Lock()
	defer d.mu.Unlock()
	whole = position.Before(d.prunedTo)
	for name, e := range d.entries {
		if position.Before(e.position) || whole {
			entries = append(entries, HostEntry{Name: name, Notice: e.registration})
		}
	}
	return entries, whole, d.position
}

// Position returns the log position up to which the host list is known.
func (d *Directory) Position() traffic.LogPosition {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.position
}

// set records a host's registration, nil for a removed one, which stays as a tombstone for children
// that still know the host. The lock must be held.
func (d *Directory) set(name string, registration *Registration, position traffic.LogPosition) {
	if !sameRegistration(d.entries[name].registration, registration) {
		// The new registration belongs to another process, or the host is gone.
		delete(d.suspects, name)
	}
	d.entries[name] = directoryEntry{registration: registration, position: position}
}

// sameRegistration reports whether two registrations, nil for none, are equal.
func sameRegistration(a, b *Registration) bool { return a == b || (a != nil && b != nil && *a == *b) }

// pruneTombstones drops the oldest tombstones beyond maxTombstones. The lock must be held.
func (d *Directory) pruneTombstones() {
	var removed []string
	for name, e := range d.entries {
		if e.registration == nil {
			removed = append(removed, name)
		}
	}
	if len(removed) <= maxTombstones {
		return
	}
	slices.SortFunc(removed, func(a, b string) int { return d.entries[a].position.Compare(d.entries[b].position) })
	for _, name := range removed[:len(removed)-maxTombstones] {
		if position := d.entries[name].position; d.prunedTo.Before(position) {
			d.prunedTo = position
		}
		delete(d.entries, name)
	}
}

// selfMissing reports whether this host's own registration is missing. The lock must be held.
func (d *Directory) selfMissing() bool {
	registration := d.entries[d.self.Name].registration
	return registration == nil || *registration != d.self.Registration
}

func decodeRegistrations(encoded map[string][]byte) map[string]*Registration {
	decoded := map[string]*Registration{}
	for name, data := range encoded {
		if data == nil {
			decoded[name] = nil
			continue
		}
		var registration Registration
		if err := json.Unmarshal(data, &registration); err != nil {
			logrus.WithError(err).WithField("peer", name).Warn("fleet: Ignoring a host registration that cannot be decoded.")
			continue
		}
		decoded[name] = &registration
	}
	return decoded
}

// Adopt makes this host use the registration that an earlier process of it published, if only the
// secret differs, and reports whether it did. Hosts that knew the earlier process then reach this
// one without learning of the restart.
func (d *Directory) Adopt(earlier Registration) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	own := d.self.Registration
	own.Secret = earlier.Secret
	if earlier.Secret == "" || own != earlier {
		return false
	}
	d.self.Registration = own
	d.rebuild()
	return true
}

// IsLarge reports whether the fleet is too large for all starting hosts to read the upstreams from
// the store at once.
func (d *Directory) IsLarge() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.hosts) >= largeFleetThreshold
}

// IsMediumOrLarge reports whether the fleet is too large for all hosts to retry the store
// themselves when their parents are stale.
func (d *Directory) IsMediumOrLarge() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return !d.isSmall()
}

// isSmall reports whether the fleet is small enough for all hosts to retry the store themselves.
// The lock must be held.
func (d *Directory) isSmall() bool { return len(d.hosts) < smallFleetThreshold }

// Size returns the number of known hosts, including this one.
func (d *Directory) Size() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.hosts)
}

// KnownNames returns the names of all hosts, or none before the host list was read. The slice must
// not be changed.
func (d *Directory) KnownNames() []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.position.IsZero() {
		return nil
	}
	return d.names
}

// regionPeers returns the hosts of this host's region that others can reach, including this one. The
// slice must not be changed.
func (d *Directory) regionPeers() []hashedPeer {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.inRegion
}

// All returns the registrations of the known hosts by name.
func (d *Directory) All() map[string]Registration {
	d.mu.Lock()
	defer d.mu.Unlock()
	return maps.Clone(d.hosts)
}

// Suspect records that a host did not answer, or that it answered with stale data. It reports
// whether the host has not answered for so long that it is considered gone.
func (d *Directory) Suspect(now time.Time, name string, stale bool) (gone bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	s, ok := d.suspects[name]
	if !ok || stale {
		s.since = now
	}
	maxBackoff := maxSuspectBackoff
	if stale {
		maxBackoff = maxStaleBackoff
	}
	s.backoff = min(max(2*s.backoff, minSuspectBackoff), maxBackoff)
	s.until = now.Add(s.backoff)
	d.suspects[name] = s
	return now.Sub(s.since) > unreachableTimeout
}

// ClearSuspect records that a host answered.
func (d *Directory) ClearSuspect(name string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.suspects, name)
}

// rebuild recomputes the host list and ranking from the entries. The lock must be held.
func (d *Directory) rebuild() {
	d.pruneTombstones()
	d.hosts = map[string]Registration{}
	for name, e := range d.entries {
		if e.registration != nil {
			d.hosts[name] = *e.registration
		}
	}
	d.hosts[d.self.Name] = d.self.Registration
	d.byDomain = d.hostsByDomain()
	d.names = slices.Collect(maps.Keys(d.hosts))
	d.inRegion = nil
	for name, registration := range d.hosts {
		if registration.Region == d.self.Region && registration.Address != "" {
			d.inRegion = append(d.inRegion, hashedPeer{Peer{Name: name, Registration: registration}, routing.NameHash(name)})
		}
	}
}
