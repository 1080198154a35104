package relay

import (
	"time"

	"jackdawhinge/jackdawd/internal/placement"
	"jackdawhinge/jackdawd/internal/quarantine"
	"jackdawhinge/jackdawd/internal/work"
)

// A Decision is what was decided on a request at one moment.
type Decision string

// The decisions.
const (
	Placed  Decision = "placed"
	Tried   Decision = "tried"
	Retried Decision = "retried"
	Resumed Decision = "resumed"
	Stopped Decision = "stopped"
)

// An Outcome is how a request ended.
type Outcome string

// The outcomes.
const (
	// Answered: the caller has an upstream's whole answer.
	Answered Outcome = "answered"
	// Refused: the caller has an answer of the host's own.
	Refused Outcome = "refused"
	// BrokenOff: the caller has part of an answer and sees that it is no whole one.
	BrokenOff Outcome = "broken-off"
	// Left: the caller did not wait for the answer.
	Left Outcome = "left"
)

// A Step is one decision on a request, with what decided it.
type Step struct {
	After    time.Duration
	Decision Decision
	Upstream string
	// Candidates and Avoided count the upstreams that were to be had and those that evidence speaks against.
	Candidates int
	Avoided    int
	// Load is what was known of the chosen upstream, Mean what its pool has, Limit what it may have for one more.
	Load  placement.Load
	Mean  float64
	Limit float64
	// PlanAge is how long ago the plan was drawn that the request was placed by; Planned is set if there was one.
	PlanAge time.Duration
	Planned bool
	// Cached is set if the request has a prompt that engines cache; FetchFrom is the
	// upstream that the chosen one was told to fetch it from, empty if it should have it.
	Cached    bool
	FetchFrom string
	// Verdict and Err are how a try ended.
	Verdict string
	Err     error
	// Delay is how long the request was expected to wait at the upstream, Patience how long it may.
	Delay    time.Duration
	Patience time.Duration
	// Reason says why a request was not tried again.
	Reason string
	// ResumeAfter is the last event that the caller had when its stream went on elsewhere.
	ResumeAfter string
}

// A Story is what is told of a request that has ended.
type Story struct {
	Request string
	// Fingerprint is set if an upstream ended under the request, or others have under copies of it.
	Fingerprint quarantine.Fingerprint
	Route       string
	Kind        string
	Workspace   string
	Pool        string
	// Configured is set if a configuration was known; Version is the one that the request was checked against, and
	// Age how long before that it had been confirmed.
	Configured bool
	Version    int64
	Age        time.Duration
	Arrived    time.Time
	Steps      []Step
	Outcome    Outcome
	Status     int
	Refusal    *work.Refusal
	// FirstEvent is when the answer began to go out; 0 if it did not.
	FirstEvent time.Duration
	// LongestPause is the longest time between two pieces of a stream; 0 if there were not two.
	LongestPause time.Duration
	Took         time.Duration
}

// Tries returns how many upstreams the request was sent to.
func (s *Story) Tries() int {
	n := 0
	for _, step := range s.Steps {
		if step.Decision == Placed {
			n++
		}
	}
	return n
}

// A Journal takes in how requests ended.
type Journal interface {
	Ended(s *Story)
}

func (j *job) note(s Step) {
	s.After = time.Since(j.arrived)
	j.steps = append(j.steps, s)
}

// end tells how the request ended.
func (j *job) end(o Outcome, status int, refusal *work.Refusal) {
	s := &Story{
		Request: j.request.ID, Workspace: j.workspace.Name, Pool: j.pool.Name, Arrived: j.arrived, Steps: j.steps,
		Outcome: o, Status: status, Refusal: refusal, FirstEvent: j.firstEvent, LongestPause: j.longestPause, Took: time.Since(j.arrived),
	}
	if j.suspected {
		s.Fingerprint = j.fingerprint
	}
	if j.route != nil {
		s.Route, s.Kind = j.route.Name, string(j.route.Kind)
	}
	if j.snapshot != nil && j.snapshot.Configuration() != nil {
		s.Configured, s.Version, s.Age = true, j.snapshot.Configuration().Version(), j.age
	}
	j.Journal.Ended(s)
}
