package verdict

import (
	"net/http"
	"slices"
	"sync"
	"time"
)

// A Route is a kind of request that callers make.
type Route string

// The routes.
const (
	Notice Route = "notice"
	Scan   Route = "scan"
	Sort   Route = "sort"
	Digest Route = "digest"
	Probe  Route = "probe"
)

// Once reports whether requests of the route run at most once.
func (r Route) Once() bool { return r == Notice || r == Sort }

// Streams reports whether answers are streams.
func (r Route) Streams() bool { return r == Sort || r == Digest }

// An Exchange is one request of a caller and what came of it.
type Exchange struct {
	ID    string
	Route Route
	Host  int
	// Life counts the host's processes.
	Life  int
	Key   string
	Sent  time.Time
	Ended time.Time
	// Status is 0 if no answer came.
	Status   int
	AnswerID string
	Body     string
	// Want is the whole body: exact for streams, the end of it otherwise.
	Want string
	// Whole is set if the answer ended as it should.
	Whole bool
	// Number is the route that a probe asks for.
	Number int
}

// A Run is one request at an upstream.
type Run struct {
	ID       string
	Pool     string
	Upstream string
	At       time.Time
	// Ended is zero for a run that did not end as it should.
	Ended time.Time
}

// A Span is a time during which a promise with a bound does not hold.
type Span struct {
	From, To time.Time
	// Host is the host concerned, or -1 for all.
	Host int
}

// A Change is something that operators or upstreams did, and when the store took it in.
type Change struct {
	At time.Time
	// Key is a key that was revoked, Number a route that was added, Upstream one that leaves.
	Key      string
	Number   int
	Upstream string
}

// Known is what a host knows of the fleet and the store.
type Known struct {
	// Hosts is how many hosts it knows, itself included; Era how often the store came back from an older copy.
	Hosts int
	Era   int64
}

// A Record is everything that was seen in a run.
type Record struct {
	mu        sync.Mutex
	Exchanges []Exchange
	Runs      []Run
	// Disturbed are the times at which hosts were paused, killed, stopped or unable to read the store.
	Disturbed []Span
	// Upset are the times at which upstreams were disturbed.
	Upset []Span
	// Stops are the graceful stops.
	Stops    []Span
	Changes  []Change
	FaultEnd time.Time
	End      time.Time
	Hosts    int
	// Known is what each host said at the end, Era how often the store came back from an older copy.
	Known []Known
	Era   int64
	// PoolUpstreams is how many upstreams each pool has while none is disturbed.
	PoolUpstreams int
}

// Add takes in an exchange.
func (r *Record) Add(e Exchange) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.Exchanges = append(r.Exchanges, e)
}

// Disturb takes in a time at which a host, or all if it is -1, is disturbed.
func (r *Record) Disturb(host int, from, to time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.Disturbed = append(r.Disturbed, Span{From: from, To: to, Host: host})
}

// Upsets takes in a time at which an upstream is disturbed.
func (r *Record) Upsets(from, to time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.Upset = append(r.Upset, Span{From: from, To: to, Host: -1})
}

// Stop takes in a graceful stop.
func (r *Record) Stop(host int, from, to time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.Stops = append(r.Stops, Span{From: from, To: to, Host: host})
}

// Change takes in a change.
func (r *Record) Change(c Change) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.Changes = append(r.Changes, c)
}

// promised reports whether a status says that the request was not and will not be run.
func promised(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// calm reports whether a host was undisturbed from a time before a moment until it.
func (r *Record) calm(host int, at time.Time, before time.Duration) bool {
	for _, s := range r.Disturbed {
		if (s.Host == host || s.Host < 0) && s.From.Before(at) && s.To.After(at.Add(-before)) {
			return false
		}
	}
	return true
}

// Agree reports whether all hosts know all hosts and how often the store was restored.
func (r *Record) Agree() bool {
	return !slices.ContainsFunc(r.Known, func(k Known) bool { return !r.agrees(k) })
}

func (r *Record) agrees(k Known) bool { return k.Hosts == r.Hosts && k.Era == r.Era }
