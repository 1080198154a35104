package traffic

import (
	"strings"
	"time"
)

// A Kind says what may be repeated of a route's requests.
type Kind string

// The kinds of route.
const (
	// Idempotent requests may be executed more than once.
	Idempotent Kind = "idempotent"
	// NonIdempotent requests are executed at most once.
	NonIdempotent Kind = "non-idempotent"
	// Streaming requests are answered with events; they are executed at most once unless the route is resumable.
	Streaming Kind = "streaming"
)

// A Destination is a pool that takes a share of a route's requests.
type Destination struct {
	Pool string
	// Weight is the pool's share, relative to the route's other destinations.
	Weight int
}

// A Route says where the requests of a host and path go, and what is owed to them.
type Route struct {
	Name string
	Host string
	// Prefix begins and ends with a slash.
	Prefix string
	Kind   Kind
	// Timeout is how long a request may take altogether; 0 means no limit.
	Timeout time.Duration
	// Target is how soon an answer, or a stream's first event, must come.
	Target time.Duration
	// PauseTarget is the longest pause between two events of a stream that is still in time.
	PauseTarget time.Duration
	// Urgency is the route's rank; 0 is the most urgent.
	Urgency      int
	Destinations []Destination
	// MaxUpstreams bounds the upstreams that one request is sent to.
	MaxUpstreams int
	// Public routes need no key.
	Public bool
	// Resumable streams may go on at another upstream after the last event delivered.
	Resumable bool
	// Cached routes are answered by engines that cache prompts.
	Cached bool
}

// Repeatable reports whether a request may be executed again at another upstream.
func (r *Route) Repeatable() bool {
	return r.Kind == Idempotent || (r.Kind == Streaming && r.Resumable)
}

// Pick returns the pool of a request's destination; the same key gives the same
// destination, so that a chat stays in one pool while the weights stay.
func (r *Route) Pick(key uint64) string {
	total := 0
	for _, d := range r.Destinations {
		total += max(d.Weight, 0)
	}
	if total == 0 {
		if len(r.Destinations) == 0 {
			return ""
		}
		return r.Destinations[0].Pool
	}
	at := int(key % uint64(total))
	for _, d := range r.Destinations {
		at -= max(d.Weight, 0)
		if at < 0 {
			return d.Pool
		}
	}
	return ""
}

// covers reports whether the route's prefix begins a path.
func (r *Route) covers(path string) bool {
	return strings.HasPrefix(path, r.Prefix)
}
