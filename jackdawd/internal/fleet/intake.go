package fleet

import (
	"sync"
	"sync/atomic"
	"time"
)

// intake decides whether a list of all upstreams that another host tells may replace what
// is known here. One that is older would remove upstreams that have just come; as they
// only number their entries higher, and nobody tells of that, they would stay unknown
// here, and every prompt that belongs there would be read again elsewhere.
type intake struct {
	mu sync.Mutex
	// reading is set while the store is read, until is when what is known was read.
	reading bool
	until   time.Duration
}

// begin reports whether the store may be read: not while another host is followed.
func (i *intake) begin(following *atomic.Pointer[Peer]) bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.reading = following.Load() == nil
	return i.reading
}

// end takes in that a read has ended, at a moment if it was answered.
func (i *intake) end(answered bool, at time.Duration) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.reading = false
	if answered {
		i.until = at
	}
}

// replace reports whether a list as old as given may replace what is known, and begins to follow if so.
func (i *intake) replace(asOf time.Duration, follow func()) bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.reading || asOf < i.until {
		return false
	}
	follow()
	return true
}

// changed takes in that the host above has told of changes at a moment.
func (i *intake) changed(at time.Duration) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.until = at
}
