package resumption

import (
	"sync"
	"time"

	"jackdawhinge/common/traffic"
)

const (
	// Memory is how long a stream is remembered at most, and how long a software version counts after
	// its last upstream has left.
	Memory = 5 * time.Minute
	// maxRecords bounds a table. The oldest records go first.
	maxRecords = 100_000
)

// A Record says which software began a stream.
type Record struct {
	Key      Key
	Software traffic.Software
	// Expiry is until when the stream's caller may resume it.
	Expiry time.Time
}

// entry is what a table holds of a stream.
type entry struct {
	software traffic.Software
	expiry   time.Time
	// pool is set for the streams of this host.
	pool string
	// ambiguous is set if streams of several versions have the key.
	ambiguous bool
	// generation tells the entry from earlier ones of the same key.
	generation uint64
}

// queued is an entry's place in the order of insertion.
type queued struct {
	key        Key
	generation uint64
}

// A Table holds which software began which stream. It is safe for concurrent use.
type Table struct {
	mu         sync.Mutex
	entries    map[Key]entry
	order      []queued
	generation uint64
}

// NewTable returns an empty table.
func NewTable() *Table { return &Table{entries: map[Key]entry{}} }

// PutOwn adds the record of a stream that this host serves.
func (t *Table) PutOwn(now time.Time, pool string, r Record) { t.put(now, pool, r) }

// Put adds a record of another host.
func (t *Table) Put(now time.Time, r Record) { t.put(now, "", r) }

func (t *Table) put(now time.Time, pool string, r Record) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.removeExpired(now)
	if limit := now.Add(Memory); r.Expiry.After(limit) {
		r.Expiry = limit
	}
	old, known := t.entries[r.Key]
	t.generation++
	e := entry{software: r.Software, expiry: r.Expiry, pool: pool, generation: t.generation}
	if known && now.Before(old.expiry) {
		e.ambiguous = old.ambiguous || old.software != r.Software
		if pool == "" {
			e.pool = old.pool
		}
		if old.expiry.After(e.expiry) {
			e.expiry = old.expiry
		}
	}
	t.entries[r.Key] = e
	t.order = append(t.order, queued{r.Key, t.generation})
}

// removeExpired removes expired entries and the oldest ones of a full table. The lock must be held.
func (t *Table) removeExpired(now time.Time) {
	for len(t.order) > 0 {
		oldest := t.order[0]
		e := t.entries[oldest.key]
		if e.generation == oldest.generation {
			if now.Before(e.expiry) && len(t.order) < maxRecords {
				return
			}
			delete(t.entries, oldest.key)
		}
		t.order = t.order[1:]
	}
}

// Find returns the software that began a stream, and false if it is not known.
func (t *Table) Find(now time.Time, key Key) (traffic.Software, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e, ok := t.entries[key]
	if !ok || e.ambiguous || !now.Before(e.expiry) {
		return 0, false
	}
	return e.software, true
}

// Own returns the records of the streams of a pool that this host serves.
func (t *Table) Own(now time.Time, pool string) []Record {
	t.mu.Lock()
	defer t.mu.Unlock()
	var records []Record
	for key, e := range t.entries {
		if e.pool == pool && !e.ambiguous && now.Before(e.expiry) {
			records = append(records, Record{Key: key, Software: e.software, Expiry: e.expiry})
		}
	}
	return records
}

// Size returns the number of records.
func (t *Table) Size() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.entries)
}
