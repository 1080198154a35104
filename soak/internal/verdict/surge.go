package verdict

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

const (
	// surgeResponseTime is how long after its begin a surge may be served in any order.
	surgeResponseTime = 2 * time.Second
	// maxUrgencyLag is by how much a more urgent kind may be served less often than a less urgent one.
	maxUrgencyLag = 0.05
	// minSurgeRequests is the least number of requests of a kind that is compared. Ratios of fewer vary by chance.
	minSurgeRequests = 30
)

// A Surge is a time in which one workspace sent far more than the engines can serve, and its requests.
type Surge struct {
	From, To time.Time
	Requests []SurgeRequest
}

// A SurgeRequest is one request of a caller during a surge. A lower urgency is more urgent.
type SurgeRequest struct {
	Workspace string
	Urgency   int
	Surging   bool
	Sent      time.Time
	Served    bool
}

// AddSurge records a surge.
func (r *Record) AddSurge(s Surge) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.Surges = append(r.Surges, s)
}

// surgeKind is one workspace's requests in a surge.
type surgeKind struct {
	workspace    string
	urgency      int
	surging      bool
	sent, served int
}

func (k *surgeKind) ratio() float64 { return float64(k.served) / float64(k.sent) }

// kinds returns the workspaces of a surge with enough requests, the most urgent first.
func (s Surge) kinds() []*surgeKind {
	byName := map[string]*surgeKind{}
	var kinds []*surgeKind
	for _, q := range s.Requests {
		if q.Sent.Sub(s.From) < surgeResponseTime {
			continue
		}
		k, ok := byName[q.Workspace]
		if !ok {
			k = &surgeKind{workspace: q.Workspace, urgency: q.Urgency, surging: q.Surging}
			byName[q.Workspace], kinds = k, append(kinds, k)
		}
		k.sent++
		if q.Served {
			k.served++
		}
	}
	kinds = slices.DeleteFunc(kinds, func(k *surgeKind) bool { return k.sent < minSurgeRequests })
	slices.SortFunc(kinds, func(a, b *surgeKind) int { return a.urgency - b.urgency })
	return kinds
}

// checkSurges checks that more urgent requests are not served less often than less urgent ones, nor those of workspaces
// that send their usual less often than those of the one that surges, if they are not less urgent.
func checkSurges(r *Record) (out []Violation) {
	for _, s := range r.Surges {
		kinds := s.kinds()
		for i, a := range kinds {
			for _, b := range kinds[i+1:] {
				if !a.surging && !b.surging && a.urgency < b.urgency && a.ratio() < b.ratio()-maxUrgencyLag {
					out = append(out, Violation{"urgency", a.compare(b)})
				}
			}
			for _, b := range kinds {
				if b.surging && !a.surging && a.urgency <= b.urgency && a.ratio() < b.ratio() {
					out = append(out, Violation{"shares", a.compare(b)})
				}
			}
		}
	}
	return out
}

// String returns how often the requests of each workspace were served.
func (s Surge) String() string {
	var parts []string
	for _, k := range s.kinds() {
		parts = append(parts, fmt.Sprintf("%s %d of %d", k.workspace, k.served, k.sent))
	}
	return "surge: " + strings.Join(parts, ", ") + " served"
}

// compare returns how often the requests of two workspaces were served.
func (k *surgeKind) compare(other *surgeKind) string {
	return fmt.Sprintf("%s has %d of %d requests served, %s %d of %d", k.workspace, k.served, k.sent, other.workspace, other.served, other.sent)
}
