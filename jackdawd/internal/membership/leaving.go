package membership

import (
	"maps"
	"sync"
	"time"

	"jackdawhinge/common/traffic"
)

// leavingTTL is how long a leaving instance is remembered, much longer than any takes to stop.
const leavingTTL = time.Hour

// leavingSet holds the instances of upstreams that announced in a response that they leave.
//
// While the store is unavailable an upstream cannot update its entry, and other hosts still send the
// entry that says "ready" for seconds after. Applying that entry would send work to an upstream that
// stops, so an announcement in a response overrides all entries of the same instance.
type leavingSet struct {
	mu      sync.Mutex
	addedAt map[traffic.UpstreamInstance]time.Time
}

// add adds an instance, deletes those past their TTL and reports whether the instance is new.
func (l *leavingSet) add(now time.Time, instance traffic.UpstreamInstance) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if _, known := l.addedAt[instance]; known {
		return false
	}
	maps.DeleteFunc(l.addedAt, func(_ traffic.UpstreamInstance, at time.Time) bool { return now.Sub(at) > leavingTTL })
	l.addedAt[instance] = now
	return true
}

func (l *leavingSet) contains(instance traffic.UpstreamInstance) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	_, leaves := l.addedAt[instance]
	return leaves
}
