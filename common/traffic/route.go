package traffic

import (
	"strings"
	"time"
)

// A RouteKind states whether a route's requests may be retried after they were sent.
type RouteKind string

// The kinds of routes.
const (
	// Idempotent requests may be executed more than once.
	Idempotent RouteKind = "idempotent"
	// NonIdempotent requests are executed at most once.
	NonIdempotent RouteKind = "non-idempotent"
	// Streaming requests get an event stream in response; they execute at most once unless the
	// route is resumable.
	Streaming RouteKind = "streaming"
)

// A Destination is a pool that serves a share of a route's requests.
type Destination struct {
	Pool string
	// Weight is relative to the weights of the route's other destinations.
	Weight int
}

// A Route maps the requests for a host and path prefix to pools and sets their retry rules and
// latency targets.
type Route struct {
	Name string
	Host string
	// Prefix is the path prefix; it begins and ends with a slash.
	Prefix string
	Kind   RouteKind
	// Timeout limits the total duration of a request; 0 means no limit.
	Timeout time.Duration
	// FirstByteTarget is the latency target for the response, or for the first event of a stream.
	FirstByteTarget time.Duration
	// EventIntervalTarget is the target for the longest interval between two events of a stream.
	EventIntervalTarget time.Duration
	// Urgency ranks the route's requests, 0 being the most urgent.
	Urgency      int
	Destinations []Destination
	// MaxUpstreams limits how many upstreams one request is sent to.
	MaxUpstreams int
	// Public routes need no API key.
	Public bool
	// Resumable streams may continue at another upstream after the last event delivered.
	Resumable bool
	// PromptCaching routes are served by engines that cache prompts.
	PromptCaching bool
}

// Repeatable reports whether a request that may have been executed may be sent to another upstream.
func (r *Route) Repeatable() bool {
	return r.Kind == Idempotent || (r.Kind == Streaming && r.Resumable)
}

// PickPool returns the name of the pool for a request's key, by weight. The same key gives the
// same pool, so that a chat stays in one pool as long as the weights do not change; it is empty if
// the route has no destination.
func (r *Route) PickPool(key uint64) string {
	totalWeight := 0
	for _, d := range r.Destinations {
		totalWeight += max(d.Weight, 0)
	}
	if totalWeight == 0 {
		if len(r.Destinations) == 0 {
			return ""
		}
		return r.Destinations[0].Pool
	}
	point := int(key % uint64(totalWeight))
	for _, d := range r.Destinations {
		point -= max(d.Weight, 0)
		if point < 0 {
			return d.Pool
		}
	}
	return ""
}

// matches reports whether path begins with the route's prefix.
func (r *Route) matches(path string) bool {
	return strings.HasPrefix(path, r.Prefix)
}
