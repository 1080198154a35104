package verdict

import (
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"
)

// A Route is the name of a route that callers send requests to.
type Route string

// The routes. Probe stands for the routes added during the run.
const (
	Notice Route = "notice"
	Scan   Route = "scan"
	Sort   Route = "sort"
	Digest Route = "digest"
	Probe  Route = "probe"
)

// AtMostOnce reports whether requests of the route must be executed at most once.
func (r Route) AtMostOnce() bool { return r == Notice || r == Sort }

// Streams reports whether responses of the route are streams.
func (r Route) Streams() bool { return r == Sort || r == Digest }

// LeastTimeout returns the least time-out that the route has in any configuration.
func (r Route) LeastTimeout() time.Duration {
	if r.Streams() {
		return 3 * time.Second
	}
	return 1500 * time.Millisecond
}

// An Exchange is one request of a caller and its outcome.
type Exchange struct {
	ID    string
	Route Route
	Host  int
	// Incarnation is the number of the host's process, from 1, when the request was sent.
	Incarnation int
	Key         string
	Sent        time.Time
	// Written is when the whole request had been written to the host, or the first of its parts; zero if the host may
	// have closed the connection before.
	Written time.Time
	Ended   time.Time
	// Error is why there is no complete response, NewConnection whether the connection was opened for the request.
	Error         error
	NewConnection bool
	// Status is 0 if there was no response.
	Status     int
	ResponseID string
	Body       string
	// WantBody is the expected body of a stream, and the expected end of any other body.
	WantBody string
	// Complete is set if the body was read to its end without an error.
	Complete bool
	// Events is the number of events of a whole stream. Resumes is the ID of the request that the
	// caller resumes, ResumeAfter the number of its last event.
	Events      int
	Resumes     string
	ResumeAfter int
	// Versions are the software versions that wrote events of the stream, over all its requests.
	Versions []string
	// RouteNumber is the added route that a probe asks for.
	RouteNumber int
}

// LastEvent returns the number of the last whole event that the caller has.
func (e *Exchange) LastEvent() int {
	if !e.Route.Streams() || e.Status != http.StatusOK {
		return e.ResumeAfter
	}
	return e.ResumeAfter + strings.Count(e.Body, eventEnd)
}

// IsResumable reports whether the exchange left the caller with the first events of a stream that may
// be resumed.
func (e *Exchange) IsResumable() bool {
	return e.Route == Digest && !e.Complete && e.LastEvent() > 0 && e.LastEvent() < e.Events
}

// AddVersions adds the versions of the whole events in the body. Events of another version than the
// usual one name it, which is removed from the body.
func (e *Exchange) AddVersions(other, usual string) {
	for _, event := range strings.SplitAfter(e.Body, eventEnd) {
		version := usual
		if strings.Contains(event, " of "+other) {
			version = other
		}
		if strings.HasSuffix(event, eventEnd) && !slices.Contains(e.Versions, version) {
			// The slice is shared with the exchange that this one resumes.
			e.Versions = append(slices.Clip(e.Versions), version)
		}
	}
	e.Body = strings.ReplaceAll(e.Body, " of "+other, "")
}

// eventEnd is the end of each event.
const eventEnd = "\n\n"

// An Execution is one request executed by an upstream.
type Execution struct {
	ID       string
	Pool     string
	Upstream string
	// FailureDomain is the upstream's.
	FailureDomain string
	Started       time.Time
	// Ended is zero if the execution did not end normally.
	Ended time.Time
}

// An Effect is what a fault of an upstream may do to a response in progress.
type Effect string

// The effects. A response that goes on after a silence is not excused by it.
const (
	Unaffected Effect = ""
	Silences   Effect = "silences"
	// Delays holds back or rejects without an end to responses that have begun.
	Delays Effect = "delays"
	// Breaks ends the response or its connection.
	Breaks Effect = "breaks"
)

// An Interval is the time of a fault, in which time bounds do not apply.
type Interval struct {
	From, To time.Time
	// Host is the index of the affected host, or -1 for all.
	Host int
	// Upstream begins the IDs of the affected upstreams, Effect is what the fault may do to their responses.
	Upstream string
	Effect   Effect
}

// A Change is a change of the configuration or of an upstream, and when it was written to the
// store.
type Change struct {
	At time.Time
	// One of these is set: a key that was revoked, an added route, an upstream that drains, or a
	// failure domain that was evacuated until a time.
	RevokedKey       string
	RouteNumber      int
	DrainingUpstream string
	EvacuatedDomain  string
	EvacuatedUntil   time.Time
}

// A BrittleTime is a time in which the upstreams of a service were brittle, and how often they fell
// over in it.
type BrittleTime struct {
	Service   string
	Upstreams int
	Falls     int
}

// PartCrashes are what happened while a part of prompts crashed engines: when they crashed, and the index of
// the host that each request with the part was sent to, by the request's ID.
type PartCrashes struct {
	CrashedAt []time.Time
	Hosts     map[string]int
}

// HostView is what a host reports about the fleet and the store.
type HostView struct {
	// Hosts is the number of hosts that it knows, itself included; StoreRestores is how often the
	// store was restored from a snapshot.
	Hosts         int
	StoreRestores int64
	// RefusedConnections is how many new connections its process closed unread.
	RefusedConnections int
}

// A Record is all that was observed in a run.
type Record struct {
	mu         sync.Mutex
	Exchanges  []Exchange
	Executions []Execution
	// HostFaults are the times in which hosts were paused, killed, stopped or unable to read the
	// store.
	HostFaults []Interval
	// UpstreamFaults are the times in which upstreams were affected by a fault.
	UpstreamFaults []Interval
	// GracefulStops are the grace periods of stopped hosts.
	GracefulStops []Interval
	Changes       []Change
	// ColdCrashes are the upstreams that crashed because they got too many requests while cold.
	ColdCrashes  []string
	BrittleTimes []BrittleTime
	PartCrashes  []PartCrashes
	Surges       []Surge
	FaultEnd     time.Time
	End          time.Time
	Hosts        int
	// HostViews are the views of all hosts at the end, StoreRestores how often the store was
	// restored from a snapshot.
	HostViews     []HostView
	StoreRestores int64
	// PoolUpstreams is the number of upstreams in each pool without faults.
	PoolUpstreams int
}

// AddExchange records an exchange.
func (r *Record) AddExchange(e Exchange) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.Exchanges = append(r.Exchanges, e)
}

// AddHostFault records the time of a fault of a host, or of all if host is -1.
func (r *Record) AddHostFault(host int, from, to time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.HostFaults = append(r.HostFaults, Interval{From: from, To: to, Host: host})
}

// AddUpstreamFault records the time and the effect of a fault of the upstreams whose IDs begin with a text.
func (r *Record) AddUpstreamFault(from, to time.Time, upstream string, effect Effect) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.UpstreamFaults = append(r.UpstreamFaults, Interval{From: from, To: to, Host: -1, Upstream: upstream, Effect: effect})
}

// AddGracefulStop records the grace period of a stopped host.
func (r *Record) AddGracefulStop(host int, from, to time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.GracefulStops = append(r.GracefulStops, Interval{From: from, To: to, Host: host})
}

// AddBrittleTime records a time in which upstreams were brittle.
func (r *Record) AddBrittleTime(b BrittleTime) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.BrittleTimes = append(r.BrittleTimes, b)
}

// AddPartCrashes records what happened while a part of prompts crashed engines.
func (r *Record) AddPartCrashes(p PartCrashes) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.PartCrashes = append(r.PartCrashes, p)
}

// AddChange records a change.
func (r *Record) AddChange(c Change) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.Changes = append(r.Changes, c)
}

// claimsNotExecuted reports whether a status says that the request was not and will not be
// executed.
func claimsNotExecuted(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// undisturbed reports whether no fault affected a host from the duration before a time until that
// time.
func (r *Record) undisturbed(host int, at time.Time, before time.Duration) bool {
	for _, s := range r.HostFaults {
		if (s.Host == host || s.Host < 0) && s.From.Before(at) && s.To.After(at.Add(-before)) {
			return false
		}
	}
	return true
}

// Converged reports whether all hosts know all hosts and the number of store restores.
func (r *Record) Converged() bool {
	return !slices.ContainsFunc(r.HostViews, func(v HostView) bool { return !r.isCurrent(v) })
}

func (r *Record) isCurrent(v HostView) bool {
	return v.Hosts == r.Hosts && v.StoreRestores == r.StoreRestores
}
