package relay

import (
	"strings"
	"time"

	"jackdawhinge/jackdawd/internal/overload"
	"jackdawhinge/jackdawd/internal/placement"
	"jackdawhinge/jackdawd/internal/quarantine"
	"jackdawhinge/jackdawd/internal/resumption"
	"jackdawhinge/jackdawd/internal/work"
)

// A Decision is the kind of a Step.
type Decision string

// The decisions.
const (
	// Placed: an upstream was selected.
	Placed Decision = "placed"
	// Tried: an attempt at an upstream ended.
	Tried Decision = "tried"
	// Retried: the request is tried at another upstream.
	Retried Decision = "retried"
	// Resumed: the rest of a stream is requested from another upstream.
	Resumed Decision = "resumed"
	// OriginFound: a request resumes an earlier stream, and its software version was looked up.
	OriginFound Decision = "origin-found"
	// Kept: the upstream is silent, and no other takes the request over.
	Kept Decision = "kept"
	// Stopped: no other upstream is tried.
	Stopped Decision = "stopped"
)

// An Outcome is how a request ended.
type Outcome string

// The outcomes.
const (
	// Answered: the caller has the complete response of an upstream.
	Answered Outcome = "answered"
	// Refused: the caller has an error response of this host.
	Refused Outcome = "refused"
	// Truncated: the caller has a truncated response and can tell so.
	Truncated Outcome = "broken-off"
	// CallerLeft: the caller disconnected before the response was complete.
	CallerLeft Outcome = "left"
)

// A Step is one decision on a request, with its inputs.
type Step struct {
	// Elapsed is the time since the request arrived.
	Elapsed  time.Duration
	Decision Decision
	Upstream string
	// SoftwareVersion is that of the selected upstream.
	SoftwareVersion string
	// Origin is which software began the stream that the request resumes.
	Origin resumption.Origin
	// Candidates counts the eligible upstreams, Avoided those that are avoided for recent failures.
	Candidates int
	Avoided    int
	// Cold is set if the selected upstream was cold, Evacuated is how many upstreams were left out
	// because their failure domains are evacuated.
	Cold      bool
	Evacuated int
	// Load is the known load of the selected upstream, Mean the mean of its pool, and Limit the
	// maximum at which it may take one more request.
	Load  placement.Load
	Mean  float64
	Limit float64
	// PlanAge is the age of the balancing plan that the request was placed by.
	PlanAge time.Duration
	// HasPlan is set if there was such a plan.
	HasPlan bool
	// Cacheable is set if the request has a prompt that engines cache.
	Cacheable bool
	// FetchFrom is the upstream from which the selected one was told to fetch the prompt; empty if
	// it should hold the prompt itself.
	FetchFrom string
	// Verdict and Err are the result of an attempt.
	Verdict string
	Err     error
	// Connect is how long the attempt took to get a connection; 0 if it got none.
	Connect time.Duration
	// Through is the host that the connection leads through; empty for none.
	Through string
	// Delay is how long the request was expected to queue at the upstream.
	Delay time.Duration
	// MaxDelay is the maximum time that it may queue there.
	MaxDelay time.Duration
	// Reason is why no other upstream was tried.
	Reason string
	// AdmissionRatio is the part that pool-wide admission admits of requests like this one, if it refused it.
	AdmissionRatio float64
	// Rank is the urgency rank that pool-wide admission refused the request at.
	Rank int
	// ResumeAfter is the ID of the last event that the caller got before its stream was resumed.
	ResumeAfter string
}

// PoolRefusal returns why pool-wide admission refused the request, and false if it didn't.
func (s Step) PoolRefusal() (overload.Reason, bool) {
	reason, ok := strings.CutPrefix(s.Reason, reasonPoolPrefix)
	return overload.Reason(reason), ok
}

// A RequestRecord is the record of a request that has ended.
type RequestRecord struct {
	RequestID string
	// ResumedID is the ID of the caller's attempt whose response the request resumes, ResumeAfter the
	// ID of the last event that the caller has of it; empty for none.
	ResumedID   string
	ResumeAfter string
	// Fingerprint is set if an upstream crashed while it ran the request, and if the request is refused
	// because upstreams crashed while they ran others like it. It is then that of the reason.
	Fingerprint quarantine.Fingerprint
	// PromptParts are the IDs of the parts of its prompt that other requests may share; set as
	// Fingerprint is.
	PromptParts []string
	Route       string
	Kind        string
	Workspace   string
	Pool        string
	// HasConfiguration is set if the host had a configuration.
	HasConfiguration bool
	// ConfigurationVersion is the version of the configuration that the request was checked against.
	ConfigurationVersion int64
	// ConfigurationAge is how old that configuration may have been when the request arrived.
	ConfigurationAge time.Duration
	Arrived          time.Time
	Steps            []Step
	Outcome          Outcome
	// Cause is why the response is not complete; only set if the caller has left or the response is truncated.
	Cause   EndCause
	Status  int
	Refusal *work.Refusal
	// TimeToFirstByte is the time from arrival to the response header; 0 if none was sent.
	TimeToFirstByte time.Duration
	// MaxEventGap is the maximum time between two writes of a stream; 0 if there were fewer than
	// two.
	MaxEventGap time.Duration
	// Duration is the time from arrival to the end of the request.
	Duration time.Duration
}

// Attempts returns the number of times that an upstream was selected for the request.
func (r *RequestRecord) Attempts() int {
	n := 0
	for _, step := range r.Steps {
		if step.Decision == Placed {
			n++
		}
	}
	return n
}

// A Recorder receives the records of requests that have ended.
type Recorder interface {
	Record(r *RequestRecord)
}

// addStep appends a step to the record.
func (j *job) addStep(s Step) {
	s.Elapsed = time.Since(j.arrived)
	j.steps = append(j.steps, s)
}

// record delivers the record of the finished request.
func (j *job) record(o Outcome, status int, refusal *work.Refusal) {
	r := &RequestRecord{
		RequestID: j.request.ID, ResumedID: j.request.ResumedID, ResumeAfter: j.request.ResumeAfter, Workspace: j.workspace.Name, Pool: j.pool.Name, Arrived: j.arrived, Steps: j.steps,
		Outcome: o, Status: status, Refusal: refusal, TimeToFirstByte: j.timeToFirstByte, MaxEventGap: j.maxEventGap, Duration: time.Since(j.arrived),
	}
	if j.suspect != 0 {
		r.Fingerprint, r.PromptParts = j.suspect, j.request.SharedPartIDs()
	}
	if o == CallerLeft || o == Truncated {
		r.Cause = j.cause
	}
	if j.route != nil {
		r.Route, r.Kind = j.route.Name, string(j.route.Kind)
	}
	if j.snapshot != nil && j.snapshot.Configuration() != nil {
		r.HasConfiguration, r.ConfigurationVersion, r.ConfigurationAge = true, j.snapshot.Configuration().Version(), j.configurationAge
	}
	j.Recorder.Record(r)
}
