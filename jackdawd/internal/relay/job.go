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
	"jackdawhinge/jackdawd/internal/overload"
	"jackdawhinge/jackdawd/internal/placement"
	"jackdawhinge/jackdawd/internal/quarantine"
	"jackdawhinge/jackdawd/internal/work"
)

// A job is the state of one caller's request while it is in progress.
type job struct {
	*Handler
	w          http.ResponseWriter
	r          *http.Request
	controller *http.ResponseController
	arrived    time.Time
	deadline   time.Time
	snapshot   *membership.Snapshot
	request    traffic.Request
	route      *traffic.Route
	workspace  traffic.Workspace
	body       []byte
	// subjects are what the request has in common with others that may crash upstreams, its copies
	// first; nil until they are needed.
	subjects []quarantine.Subject
	// suspect is the fingerprint of the subject because of which the request is refused, or of the
	// request's copies if an upstream crashed while it ran it; else 0.
	suspect quarantine.Fingerprint
	// probing is set if the request is sent to an upstream although it is quarantined.
	probing bool
	// reservedBytes is the part of Handler.bodyBytes that is reserved for the bodies of the request and the response;
	// pendingBytes is the part of it for an incomplete event.
	reservedBytes, pendingBytes int64

	pool traffic.Pool
	// priorWait is the estimated time between the caller's first attempt and this one.
	priorWait time.Duration
	// delay is how long the request is expected to queue at the selected upstream.
	delay time.Duration
	// pooled is the decision of pool-wide admission; its zero value if there is none.
	pooled overload.Verdict
	// meanBacklog is the mean backlog of the upstreams at the latest placement; only set under pool-wide admission.
	meanBacklog placement.Backlog
	// precedence is the request's precedence over others to the same upstreams.
	precedence admission.Precedence
	// placementRefusal is set if the request would start too late at every upstream, or all of them
	// asked this host to back off.
	placementRefusal *work.Refusal
	// affinityKey is the hash of the prompt prefix that the request shares with others if cacheable
	// is set, else random.
	affinityKey uint64
	cacheable   bool
	// fetchFrom is the engine from which the selected one fetches the cached prompt, or nil.
	fetchFrom *traffic.Upstream
	// software is that of the upstream that sent the first event of the stream; 0 while there is no
	// event, so that any upstream may send it.
	software traffic.Software
	// current is the latest attempt; nil before the first.
	current *attempt
	// successor is asked to take the request over while the upstream of the current attempt is silent; nil for none.
	successor *successor
	// ahead forwards the response of the current upstream if it is read ahead; else nil.
	ahead *readAhead
	// attempted holds the upstreams that were sent the request or could not be reached.
	attempted []traffic.UpstreamInstance
	// sentCount is the number of upstreams that were sent the request.
	sentCount int
	// mayHaveRun is set once an upstream may have executed the request.
	mayHaveRun bool
	// headerSent is set once a response header was written to the caller.
	headerSent bool
	status     int
	splitter   events.Splitter

	// writeDeadline bounds the writes of parts of a response.
	writeDeadline writeDeadline
	// cause is why the response is not complete, if it isn't; set once the request has ended.
	cause EndCause
	// configurationAge is how old the configuration may have been when the request arrived.
	configurationAge time.Duration
	timeToFirstByte  time.Duration
	// lastWriteAt is when the latest events of a stream were written to the caller.
	lastWriteAt time.Time
	maxEventGap time.Duration
	steps       []Step
}

// A verdict is the result of an attempt at one upstream.
type verdict string

const (
	// answered: the caller has the complete response.
	answered verdict = "answered"
	// callerLeft: the caller disconnected.
	callerLeft verdict = "caller-left"
	// cutOff: the response was cut off because its caller did not read.
	cutOff verdict = "cut-off"
	// unsent: the upstream received nothing of the request.
	unsent verdict = "unsent"
	// rejected: the upstream reported that it did not execute the request.
	rejected verdict = "rejected"
	// replaced: another upstream now has the address.
	replaced verdict = "replaced"
	// failed: the upstream responded with a server error, which may still be returned to the
	// caller.
	failed verdict = "failed"
	// unproven: the status of the response would tell the caller that the request was not executed, which the
	// upstream does not say.
	unproven verdict = "unproven"
	// broken: the response was truncated, invalid or timed out; the request may have been executed.
	broken verdict = "broken"
	// unneeded: the upstream was asked to take the request over, and the one before it went on.
	unneeded verdict = "unneeded"
)

// A result is the outcome of an attempt. For a failed one it holds the upstream's error response,
// which the caller gets if no other upstream succeeds.
type result struct {
	verdict  verdict
	err      error
	response *bufferedResponse
	// unframed is set if the response ended with its connection, as that of an upstream that crashes
	// may too.
	unframed bool
}

const (
	// maxAttempts bounds the attempts of one request, including those that reached no upstream.
	maxAttempts = 5
	// timeoutStatus is the HTTP status of a request whose deadline has passed.
	timeoutStatus = http.StatusGatewayTimeout
)

// serve tries upstreams until one has answered or no other may be tried.
func (j *job) serve() {
	ctx, cancel := context.WithDeadline(j.r.Context(), j.deadline)
	defer cancel()
	stopAbort := context.AfterFunc(j.aborted, cancel)
	defer stopAbort()
	// The connection may serve the next request after this one.
	defer j.stopWriteChecks()
	ctx, span := j.tracer.Start(ctx, "relay", trace.WithAttributes(
		attribute.String("request", j.request.ID), attribute.String("route", j.route.Name),
	))
	defer span.End()
	j.affinityKey, j.cacheable = j.request.CacheKey()
	if !j.cacheable {
		j.affinityKey = rand.Uint64()
	}
	j.pool, _ = j.snapshot.Configuration().Pool(j.route.PickPool(j.affinityKey))
	j.cacheable = j.cacheable && j.pool.Engine
	if refusal := j.findSoftware(ctx); refusal != nil {
		j.refuse(refusal)
		return
	}
	j.RetryBudgets.Deposit(j.arrived, j.pool.Name)
	j.priorWait = j.Admission.WaitedBeforeRetry(j.route.Name, j.request.TimeLeft)
	j.Admission.RecordArrival(time.Now(), j.admissionRequest())
	if refusal := j.admitByPool(); refusal != nil {
		j.refuse(refusal)
		return
	}
	defer j.dropSuccessor()
	var last result
	for range maxAttempts {
		upstream := j.nextUpstream()
		if upstream == nil {
			break
		}
		if HasDisconnected(ctx) {
			last = result{verdict: callerLeft}
			break
		}
		last = j.tracedAttempt(ctx, upstream)
		j.addStep(Step{Decision: Tried, Upstream: upstream.ID, Verdict: string(last.verdict), Err: last.err, Connect: j.current.connectTime, Through: j.current.through})
		if !j.shouldRetry(ctx, last) {
			break
		}
	}
	j.finish(ctx, last)
}

// tracedAttempt sends the request to an upstream within a trace span.
func (j *job) tracedAttempt(ctx context.Context, u *traffic.Upstream) result {
	number := len(j.attempted)
	if j.successor == nil {
		number++
	}
	ctx, span := j.tracer.Start(ctx, "upstream", trace.WithAttributes(
		attribute.String("upstream", u.ID), attribute.String("pool", u.Pool), attribute.Int("try", number),
	))
	defer span.End()
	r := j.try(ctx, u)
	span.SetAttributes(attribute.String("verdict", string(r.verdict)))
	if r.err != nil {
		span.RecordError(r.err)
	}
	return r
}

// shouldRetry reports whether the request is tried at another upstream, and takes the retry from
// the budget.
func (j *job) shouldRetry(ctx context.Context, r result) bool {
	if r.verdict == answered || r.verdict == callerLeft || r.verdict == cutOff || ctx.Err() != nil {
		return false
	}
	if reason := j.retryDenial(r); reason != "" {
		j.addStep(Step{Decision: Stopped, Reason: reason})
		return false
	}
	if id := j.splitter.LastEventID(); id != "" {
		j.addStep(Step{Decision: Resumed, ResumeAfter: id})
	} else {
		j.addStep(Step{Decision: Retried})
	}
	return true
}

// retryDenial returns the reason why the request may not be retried, or "" if it may. It takes a
// retry from the budget where one is needed.
func (j *job) retryDenial(r result) string {
	_, quarantined := j.findQuarantined()
	safe := r.verdict == rejected || r.verdict == replaced || j.route.Repeatable()
	switch {
	case quarantined:
		return reasonQuarantined
	case r.verdict == unsent, j.successor != nil:
		// No upstream has received the request, so that a retry adds no load, or the successor has been asked already.
		return ""
	case r.verdict != replaced && j.sentCount >= j.route.MaxUpstreams:
		return "upstreams-bounded"
	case !safe:
		return "may-have-run"
	case !j.RetryBudgets.TryWithdraw(time.Now(), j.pool.Name):
		return reasonBudgetSpent
	}
	return ""
}

// finish sends the error response, if any, and records how the request ended.
func (j *job) finish(ctx context.Context, last result) {
	j.cause = j.endCause(ctx, last)
	switch {
	case last.verdict == answered:
		j.extendWriteDeadline()
		j.record(Answered, j.status, nil)
	case last.verdict == cutOff:
		j.record(Truncated, j.status, nil)
		panic(http.ErrAbortHandler)
	case last.verdict == callerLeft || j.r.Context().Err() != nil:
		j.record(CallerLeft, j.status, nil)
		// Abort the connection, so that a partial response does not look complete.
		panic(http.ErrAbortHandler)
	case j.headerSent:
		j.record(Truncated, j.status, nil)
		panic(http.ErrAbortHandler)
	case last.response != nil:
		j.writeBuffered(last.response)
		j.record(Answered, j.status, nil)
	default:
		j.refuse(j.refusal(ctx, last))
	}
}

// refusal returns the refusal of a request that no upstream answered. It says truly whether the
// request may have been executed.
func (j *job) refusal(ctx context.Context, last result) *work.Refusal {
	expired := errors.Is(ctx.Err(), context.DeadlineExceeded)
	switch {
	case j.mayHaveRun && expired:
		r := work.NewUncertainRefusal(work.UpstreamFailed, "no answer came in time")
		r.Status = timeoutStatus
		return r
	case j.mayHaveRun && j.aborted.Err() != nil:
		return work.NewUncertainRefusal(work.UpstreamFailed, "the host stopped before an answer came")
	case j.mayHaveRun:
		return work.NewUncertainRefusal(work.UpstreamFailed, "no whole answer came: %v", last.err)
	}
	if r := j.checkQuarantine(); r != nil {
		return r
	}
	switch {
	case j.placementRefusal != nil:
		return j.placementRefusal
	case len(j.attempted) == 0:
		return work.NewRefusal(http.StatusServiceUnavailable, work.NoUpstream, "no upstream takes requests").WithRetryAfter(retryAfterUnavailable)
	case last.verdict == rejected, errors.Is(last.err, errNoRoomAtBrittle):
		return work.NewRefusal(http.StatusServiceUnavailable, work.Overloaded, "the upstream is full").WithRetryAfter(retryAfterFull)
	default:
		return work.NewRefusal(http.StatusServiceUnavailable, work.NoUpstream, "no upstream could be reached").WithRetryAfter(retryAfterTransient)
	}
}

// refuse writes a refusal to the caller.
func (j *job) refuse(r *work.Refusal) {
	defer j.record(Refused, r.Status, r)
	h := j.w.Header()
	h.Set("Content-Type", "application/json")
	j.Protocol.SetRefusalHeader(h, j.request.ID, r.RetryAfter)
	j.w.WriteHeader(r.Status)
	// A write error means that the caller has disconnected.
	_, _ = j.w.Write(r.Body())
}

// forwardMetadata returns the metadata that is added to the request to an upstream.
func (j *job) forwardMetadata(u *traffic.Upstream) traffic.ForwardMetadata {
	metadata := traffic.ForwardMetadata{
		Upstream: u.ID, Workspace: j.workspace.Name, TimeLeft: time.Until(j.deadline),
		Urgency: j.urgency(), ResumeAfter: j.splitter.LastEventID(),
	}
	if j.fetchFrom != nil {
		metadata.FetchFrom = j.fetchFrom.Address
	}
	return metadata
}

const (
	// urgenciesPerWorkspace is the number of route urgencies within one workspace urgency. The
	// workspace's urgency takes precedence over the route's.
	urgenciesPerWorkspace = 3
	// lowestUrgency is the rank of the least urgent requests; 0 is the most urgent.
	lowestUrgency = 9
)

// baseUrgency returns the urgency rank of a workspace's requests on a route.
func baseUrgency(w traffic.Workspace, r *traffic.Route) int {
	return min(w.Urgency*urgenciesPerWorkspace+min(r.Urgency, urgenciesPerWorkspace-1), lowestUrgency)
}

// maxConnections returns the maximum number of this host's connections to an upstream; 0 means no bound.
func (j *job) maxConnections() int { return j.pool.MaxConnections / hostConnectionDivisor }

// upstreamRequest returns the request of an attempt. headerTimeout is how long the upstream may be silent until its
// response begins, 0 for no bound.
func (j *job) upstreamRequest(ctx context.Context, a *attempt, headerTimeout time.Duration) exchange.Request {
	u := a.upstream
	req := exchange.Request{
		Address: u.Address, Upstream: u.Instance(), ID: j.request.ID, Method: j.r.Method, Target: requestTarget(j.r), Host: j.r.Host,
		Header: j.Protocol.UpstreamHeader(j.r.Header, j.forwardMetadata(u)), Body: j.body,
		MaxConnections: j.maxConnections(),
		HeaderTimeout:  headerTimeout,
		OnConnected:    func(through string) { j.recordConnected(a, through) },
		AbortOnTimeout: func(recheck func()) bool { return j.handleSilence(ctx, recheck) },
	}
	if !j.route.Repeatable() {
		req.MaxIdleTime = maxIdleNonRepeatable
	}
	return req
}

const (
	// hostConnectionDivisor is the divisor of an upstream's connection limit that gives the limit
	// of one host. Requests that all come to a few hosts can use an eighth of the connections at
	// each.
	hostConnectionDivisor = 8
	// maxIdleNonRepeatable is how long a connection may have been idle to be used for a request
	// that must not be executed twice. Upstreams keep idle connections open for at least several
	// seconds.
	maxIdleNonRepeatable = 1500 * time.Millisecond
)
