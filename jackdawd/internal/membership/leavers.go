package membership

import (
	"maps"
	"sync"
	"time"

	"jackdawhinge/common/traffic"
)

// leaverLifetime is for how long it is remembered that an upstream leaves: much longer than any takes to.
const leaverLifetime = time.Hour

// leavers are the starts of upstreams that said in an answer that they leave.
//
// An upstream cannot change its entry while the store is away, and the entry that still says ready is read and told
// by others for seconds after. Believed, it would send work to an upstream that ends; so what an upstream said in
// an answer goes before any entry of the same start.
type leavers struct {
	mu     sync.Mutex
	starts map[traffic.Start]time.Time
}

// add takes in that an upstream leaves, and reports whether that is news.
func (l *leavers) add(now time.Time, start traffic.Start) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if _, known := l.starts[start]; known {
		return false
	}
	maps.DeleteFunc(l.starts, func(_ traffic.Start, at time.Time) bool { return now.Sub(at) > leaverLifetime })
	l.starts[start] = now
	return true
}

// has reports whether an upstream said that it leaves.
func (l *leavers) has(start traffic.Start) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	_, leaves := l.starts[start]
	return leaves
}
