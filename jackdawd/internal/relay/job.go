package relay

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/trace"

	"jackdawhinge/common/traffic"
	"jackdawhinge/jackdawd/internal/admission"
	"jackdawhinge/jackdawd/internal/events"
	"jackdawhinge/jackdawd/internal/exchange"
	"jackdawhinge/jackdawd/internal/membership"
	"jackdawhinge/jackdawd/internal/quarantine"
	"jackdawhinge/jackdawd/internal/work"
)

// job is one caller's request on its way.
type job struct {
	*Handler
	w         http.ResponseWriter
	r         *http.Request
	out       *http.ResponseController
	arrived   time.Time
	deadline  time.Time
	snapshot  *membership.Snapshot
	request   traffic.Request
	route     *traffic.Route
	workspace traffic.Workspace
	body      []byte
	// fingerprint is what copies of the request have in common, set once it is of interest.
	fingerprint quarantine.Fingerprint
	// suspected is set if an upstream ended under the request, or others have under copies of it.
	suspected bool
	// reserved is the room that the body takes of what all bodies may.
	reserved int64

	pool traffic.Pool
	// waited is how long before it arrived the caller had come first.
	waited time.Duration
	// delay is how long the request is expected to wait at the upstream it was placed at.
	delay time.Duration
	// precedence is how it stands to others that want the same upstreams.
	precedence admission.Precedence
	// full is set once the request was found to begin too late everywhere.
	full *work.Refusal
	// key is the hash of the prompt that the request shares with others, if cached is set.
	key    uint64
	cached bool
	// fetchFrom is the engine that the one chosen fetches the prompt from, or nil.
	fetchFrom *traffic.Upstream
	// tried names the upstreams that were sent the request or could not be reached.
	tried []traffic.Start
	// triedAt is when the last try began.
	triedAt time.Time
	// sent counts the upstreams that were sent the request.
	sent int
	// mayHaveRun is set once an upstream may have executed the request.
	mayHaveRun bool
	// begun is set once the head of an answer has gone to the caller.
	begun  bool
	status int
	split  events.Splitter

	// watch looks after the upstream that the request is tried at.
	watch *watch
	// age is how old the configuration may have been when the request arrived.
	age        time.Duration
	firstEvent time.Duration
	// sentAt is when the last piece of a stream went out.
	sentAt       time.Time
	longestPause time.Duration
	steps        []Step
}

// verdict says how a try at one upstream ended.
type verdict string

const (
	// answered: the caller has the whole answer.
	answered verdict = "answered"
	// callerLeft: nobody waits for an answer any more.
	callerLeft verdict = "caller-left"
	// unsent: the upstream has seen nothing of the request.
	unsent verdict = "unsent"
	// rejected: the upstream says that it did not run the request.
	rejected verdict = "rejected"
	// replaced: another upstream has the address.
	replaced verdict = "replaced"
	// failed: the upstream answered that it failed; the answer may still be passed on.
	failed verdict = "failed"
	// broken: the answer broke off, was silent for too long or was none; it may have run.
	broken verdict = "broken"
)

// result is how a try ended, with the whole answer of a failure, which is passed
// on if no other upstream does better.
type result struct {
	verdict verdict
	err     error
	answer  *wholeAnswer
}

const (
	// maxTries bounds the tries of one request, those that reached no upstream included.
	maxTries = 5
	// expiredStatus is for a request whose time is over.
	expiredStatus = http.StatusGatewayTimeout
)

// serve tries upstreams until one has answered or nothing more may be tried.
func (j *job) serve() {
	ctx, cancel := context.WithDeadline(j.r.Context(), j.deadline)
	defer cancel()
	ctx, span := j.tracer.Start(ctx, "relay", trace.WithAttributes(
		attribute.String("request", j.request.ID), attribute.String("route", j.route.Name),
	))
	defer span.End()
	j.key, j.cached = j.request.CacheKey()
	if !j.cached {
		j.key = rand.Uint64()
	}
	j.pool, _ = j.snapshot.Configuration().Pool(j.route.Pick(j.key))
	j.cached = j.cached && j.pool.Engine
	j.Budgets.Earn(j.pool.Name)
	j.waited = j.Admission.Waited(j.route.Name, j.request.TimeLeft)
	j.Admission.Arrived(time.Now(), j.admissionRequest())
	var last result
	for range maxTries {
		upstream := j.place()
		if upstream == nil {
			break
		}
		if HasHungUp(ctx) {
			last = result{verdict: callerLeft}
			break
		}
		last = j.traced(ctx, upstream)
		j.note(Step{Decision: Tried, Upstream: upstream.ID, Verdict: string(last.verdict), Err: last.err})
		if !j.again(ctx, last) {
			break
		}
	}
	j.finish(ctx, last)
}

// traced tries an upstream, in a span of its own.
func (j *job) traced(ctx context.Context, u *traffic.Upstream) result {
	ctx, span := j.tracer.Start(ctx, "upstream", trace.WithAttributes(
		attribute.String("upstream", u.ID), attribute.String("pool", u.Pool), attribute.Int("try", len(j.tried)+1),
	))
	defer span.End()
	r := j.try(ctx, u)
	span.SetAttributes(attribute.String("verdict", string(r.verdict)))
	if r.err != nil {
		span.RecordError(r.err)
	}
	return r
}

// again decides whether the request is tried at another upstream, and takes the retry from the budget.
func (j *job) again(ctx context.Context, r result) bool {
	if r.verdict == answered || r.verdict == callerLeft || ctx.Err() != nil {
		return false
	}
	if reason := j.denied(r); reason != "" {
		j.note(Step{Decision: Stopped, Reason: reason})
		return false
	}
	if id := j.split.LastID(); id != "" {
		j.note(Step{Decision: Resumed, ResumeAfter: id})
	} else {
		j.note(Step{Decision: Retried})
	}
	return true
}

// denied returns why a request may not be tried again, or "" if it may.
func (j *job) denied(r result) string {
	_, barred := j.barred()
	harmless := r.verdict == rejected || r.verdict == replaced || j.route.Repeatable()
	switch {
	case barred:
		return barredReason
	case r.verdict == unsent:
		// No upstream has seen it, so that trying another costs none of them anything.
		return ""
	case r.verdict != replaced && j.sent >= j.route.MaxUpstreams:
		return "upstreams-bounded"
	case !harmless:
		return "may-have-run"
	case !j.Budgets.Spend(j.pool.Name):
		return "budget-spent"
	}
	return ""
}

// finish ends a request that no upstream has answered.
func (j *job) finish(ctx context.Context, last result) {
	switch {
	case last.verdict == answered:
		j.end(Answered, j.status, nil)
	case last.verdict == callerLeft || j.r.Context().Err() != nil:
		j.end(Left, j.status, nil)
		// Nobody reads an answer; what has gone out must not look complete.
		panic(http.ErrAbortHandler)
	case j.begun:
		j.end(BrokenOff, j.status, nil)
		panic(http.ErrAbortHandler)
	case last.answer != nil:
		j.pass(last.answer)
		j.end(Answered, j.status, nil)
	default:
		j.refuse(j.refusal(ctx, last))
	}
}

// refusal returns what is true of a request that has no answer.
func (j *job) refusal(ctx context.Context, last result) *work.Refusal {
	expired := errors.Is(ctx.Err(), context.DeadlineExceeded)
	switch {
	case j.mayHaveRun && expired:
		r := work.Uncertain(work.UpstreamFailed, "no answer came in time")
		r.Status = expiredStatus
		return r
	case j.mayHaveRun:
		return work.Uncertain(work.UpstreamFailed, "no whole answer came: %v", last.err)
	}
	if r := j.checkQuarantine(); r != nil {
		return r
	}
	switch {
	case j.full != nil:
		return j.full
	case len(j.tried) == 0:
		return work.Refuse(http.StatusServiceUnavailable, work.NoUpstream, "no upstream takes requests").Retry(retryLater)
	case last.verdict == rejected:
		return work.Refuse(http.StatusServiceUnavailable, work.Overloaded, "the upstream is full").Retry(retryFull)
	default:
		return work.Refuse(http.StatusServiceUnavailable, work.NoUpstream, "no upstream could be reached").Retry(retrySoon)
	}
}

// refuse answers with a refusal.
func (j *job) refuse(r *work.Refusal) {
	defer j.end(Refused, r.Status, r)
	h := j.w.Header()
	h.Set("Content-Type", "application/json")
	j.Protocol.Refusal(h, j.request.ID, r.RetryAfter)
	j.w.WriteHeader(r.Status)
	// A caller that has gone away needs no refusal.
	_, _ = j.w.Write(r.Body())
}

// hop returns what is added to the request on its way to an upstream.
func (j *job) hop(u *traffic.Upstream) traffic.Hop {
	hop := traffic.Hop{
		Upstream: u.ID, Workspace: j.workspace.Name, TimeLeft: time.Until(j.deadline),
		Urgency: j.urgency(), ResumeAfter: j.split.LastID(),
	}
	if j.fetchFrom != nil {
		hop.FetchFrom = j.fetchFrom.Address
	}
	return hop
}

const (
	// urgenciesPerWorkspace keeps routes of one workspace's rank apart: the
	// workspace's rank goes before the route's.
	urgenciesPerWorkspace = 3
	lowestUrgency         = 9
)

func urgency(w traffic.Workspace, r *traffic.Route) int {
	return min(w.Urgency*urgenciesPerWorkspace+min(r.Urgency, urgenciesPerWorkspace-1), lowestUrgency)
}

// call returns the request as it goes to an upstream.
func (j *job) call(u *traffic.Upstream) exchange.Call {
	call := exchange.Call{
		Address: u.Address, Upstream: u.Start(), ID: j.request.ID, Method: j.r.Method, Target: target(j.r), Host: j.r.Host,
		Header: j.Protocol.Forwarded(j.r.Header, j.hop(u)), Body: j.body,
		MaxConnections: j.pool.MaxConnections / connectionShare,
		HeadWithin:     j.firstWithin(j.sent + 1),
		GiveUp:         func() bool { return !j.overloaded(u) },
	}
	if !j.route.Repeatable() {
		call.MaxIdle = freshWithin
	}
	return call
}

const (
	// connectionShare is the part of an upstream's connections that one host may
	// open: a crowd that reaches few hosts gets an eighth each.
	connectionShare = 8
	// freshWithin is how recently a connection must have been used for a request
	// that must not run twice. Upstreams keep idle connections for seconds at least.
	freshWithin = 1500 * time.Millisecond
)
