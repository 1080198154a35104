package relay

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"jackdawhinge/common/traffic"
	"jackdawhinge/jackdawd/internal/control"
	"jackdawhinge/jackdawd/internal/exchange"
)

const (
	// firstByteTimeoutFactor is the multiple of its target after which a repeatable request leaves
	// a silent upstream for another one if it is no stream, and any upstream is reported as silent.
	firstByteTimeoutFactor = 2
	// minFirstByteTimeout is the minimum of that timeout.
	minFirstByteTimeout = 600 * time.Millisecond
)

// firstByteTimeout returns how long an upstream may be silent before another is tried, or 0 if no
// other may be tried; sent counts the upstreams that were sent the request, including this one.
func (j *job) firstByteTimeout(sent int) time.Duration {
	if !j.mayFailOver(sent) {
		return 0
	}
	if j.route.Kind == traffic.Streaming {
		return j.eventTimeout()
	}
	return j.firstByteReportTime()
}

// firstByteReportTime returns how long an upstream may be silent before its first byte until it is reported.
func (j *job) firstByteReportTime() time.Duration {
	return max(firstByteTimeoutFactor*j.route.FirstByteTarget, minFirstByteTimeout)
}

// fullThreshold is the fraction of its slots from which an upstream counts as full. It is below 1
// because known loads are about a second old.
const fullThreshold = 0.9

// isFull reports whether an upstream is known to be full, which explains why it is silent. A
// request that left it would lose its place in the queue and the part of its prompt that was
// already processed, and find no shorter queue.
func (j *job) isFull(u *traffic.Upstream) bool {
	return u.Slots > 0 && j.Loads.Estimate(time.Now(), u) >= fullThreshold*float64(u.Slots)
}

// mayFailOver reports whether the request may be tried at another upstream after it was sent to a
// number of them.
func (j *job) mayFailOver(sent int) bool {
	return j.route.Repeatable() && sent < j.route.MaxUpstreams
}

// try has an upstream work on the request and forwards its response to the caller. A successor was sent the request
// already.
func (j *job) try(ctx context.Context, u *traffic.Upstream) result {
	var err error
	if s := j.successor; s != nil {
		j.successor, j.current = nil, s.attempt
		<-s.done
		err = s.err
	} else {
		j.current = j.startAttempt(u)
		err = j.send(ctx, j.current)
	}
	a, complete := j.current, false
	defer func() { j.closeAttempt(a, complete) }()
	if r, ended := j.handleHead(ctx, a, err); ended {
		return r
	}
	r := j.forward(ctx, a)
	complete = r.verdict == answered
	return r
}

// send sends the request to the upstream of an attempt and reads the header of the response.
func (j *job) send(ctx context.Context, a *attempt) error {
	var ok bool
	if a.release, ok = j.takeBrittle(a.upstream, a.own); !ok {
		return errNoRoomAtBrittle
	}
	if _, quarantined := j.findQuarantined(); quarantined && !j.probing {
		return errQuarantined
	}
	a.watchdog = j.startWatchdog(ctx, a.upstream)
	var err error
	a.response, err = j.Client.Do(ctx, j.upstreamRequest(ctx, a, j.firstByteTimeout(j.sentCount+1)))
	return err
}

// handleHead handles the header of the response to an attempt, or the error instead of one. It returns the result of
// the attempt if the upstream does not run the request.
func (j *job) handleHead(ctx context.Context, a *attempt, err error) (r result, ended bool) {
	if err != nil {
		return j.handleRequestError(ctx, a, err), true
	}
	j.sentCount++
	u, head := a.upstream, a.response.Head()
	if head.Load != nil {
		j.Loads.Record(time.Now(), u, *head.Load)
		j.enableByPace(head.Load)
	}
	isReplaced := head.NotExecuted && head.Upstream != "" && head.Upstream != u.ID
	if !isReplaced {
		j.Brittleness.Record(time.Now(), u.Pool, head.MaxRejections)
	}
	if head.Leaving && !isReplaced {
		j.Membership.MarkLeaving(u.Instance())
	}
	if head.Backoff > 0 && !isReplaced {
		j.Backoffs.Add(time.Now(), u.Instance(), head.Backoff)
	}
	switch {
	case isReplaced:
		a.rejected = true
		j.sentCount--
		j.Membership.RemoveReplaced(u.Instance())
		return result{verdict: replaced}, true
	case head.NotExecuted:
		a.rejected = true
		if head.Load == nil && u.Slots > 0 {
			// The upstream reports no load, only that it is full. Without an assumed load the next
			// requests would be sent there only to be rejected as well.
			j.Loads.Record(time.Now(), u, traffic.Load{Running: u.Slots, Waiting: u.Slots, Slots: u.Slots})
		}
		switch {
		case j.Brittleness.IsBrittle(time.Now(), u.Pool):
			j.Brittleness.RecordRejection(time.Now(), u, j.brittleShare())
		case head.Backoff == 0:
			j.reportToMembership(ctx, a, control.ConnectionFailed)
		}
		return result{verdict: rejected}, true
	}
	j.mayHaveRun = true
	a.firstByteAt = time.Now()
	a.sent.RecordFirstByte(a.firstByteAt)
	return result{}, false
}

// forward forwards the response to an attempt, whose header was handled, to the caller.
func (j *job) forward(ctx context.Context, a *attempt) result {
	response := a.response
	err := j.responseError(response)
	switch {
	case err != nil:
		return j.conclude(ctx, a, result{verdict: broken, err: err})
	case j.successor != nil && response.Status() >= http.StatusInternalServerError:
		return j.conclude(ctx, a, result{verdict: failed})
	}
	j.dropSuccessor()
	switch {
	case isStream(response):
		return j.conclude(ctx, a, j.relayStream(ctx, response))
	case !j.route.Repeatable() && claimsNotRun(response.Status()):
		return j.conclude(ctx, a, result{verdict: unproven, err: &unprovenError{response.Status()}})
	}
	return j.conclude(ctx, a, j.relayBuffered(ctx, response))
}

// responseError returns why a response is not forwarded, by its header, or nil if it may be.
func (j *job) responseError(response *exchange.Response) error {
	switch {
	case response.Status() < http.StatusMultipleChoices && !response.Head().Signed:
		return errUnsigned
	case j.headerSent && !isStream(response):
		return errNotStream
	}
	return nil
}

func isStream(response *exchange.Response) bool {
	return response.Head().EventStream && response.Status() == http.StatusOK
}

// takeBrittle reports whether the request may be sent to an upstream that may be brittle; own counts
// this host's requests there. The place is free again once release is called.
func (j *job) takeBrittle(u *traffic.Upstream, own int) (release func(), ok bool) {
	now, share := time.Now(), j.brittleShare()
	ok, needsLease := j.Brittleness.Take(now, u, own, share)
	if ok && !needsLease {
		return func() {}, true
	}
	slots := u.Slots
	if !ok {
		slots = j.spareBrittleSlots(now, u, own)
	}
	if slots == 0 {
		return nil, false
	}
	release, granted, err := j.SlotLeases.AcquireSlot(u, slots, time.Until(j.deadline))
	if err != nil && !ok {
		return nil, false
	}
	if err != nil {
		return func() {}, j.Brittleness.TakeWithoutLease(now, u, own, share)
	}
	if !granted {
		return nil, false
	}
	return release, true
}

// spareBrittleSlots returns how many of a brittle upstream's slots hosts may lease beyond their shares; own
// counts this host's requests there, this one included.
func (j *job) spareBrittleSlots(now time.Time, u *traffic.Upstream, own int) int {
	load := j.Loads.Load(now, u)
	load.Own = float64(own - 1)
	return j.Brittleness.SpareSlots(now, u, load, j.brittleShare())
}

// recordConnected records that an attempt has a connection. The time until then says nothing of the
// upstream's queue.
func (j *job) recordConnected(a *attempt, through string) {
	now := time.Now()
	a.connectTime, a.through = now.Sub(a.startedAt), through
	if a.sent == nil {
		a.sent = j.Admission.RecordSent(now, a.admission, a.upstream.Instance(), a.delay)
	}
}

// handleRequestError returns the result of a request that got no response header.
func (j *job) handleRequestError(ctx context.Context, a *attempt, err error) result {
	var notSent *exchange.NotSentError
	switch {
	case errors.Is(err, errNoRoomAtBrittle), errors.Is(err, errQuarantined):
		return result{verdict: unsent, err: err}
	case errors.As(err, &notSent):
		if !errors.Is(err, exchange.ErrTooManyConnections) {
			j.reportToMembership(ctx, a, control.ConnectionFailed)
		}
		return result{verdict: unsent, err: err}
	}
	j.sentCount++
	j.mayHaveRun = true
	return j.conclude(ctx, a, result{verdict: broken, err: err})
}

// conclude reports the result of an attempt to prompt placement, the quarantine and membership, and
// returns it.
func (j *job) conclude(ctx context.Context, a *attempt, r result) result {
	if r.verdict == answered && j.cacheable {
		j.CacheLocations.Record(time.Now(), j.affinityKey, a.upstream.Instance())
	}
	j.reportToQuarantine(a, r)
	switch r.verdict {
	case callerLeft, cutOff:
	case failed:
		j.reportToMembership(ctx, a, control.Failed)
	case unproven:
		j.reportUnproven(ctx, a, r)
	case broken:
		j.reportToMembership(ctx, a, control.ConnectionFailed)
	default:
		j.reportToMembership(ctx, a, control.Succeeded)
	}
	return r
}

// reportUnproven reports a response whose status is not forwarded to membership as one that is: a server error
// counts against the upstream.
func (j *job) reportUnproven(ctx context.Context, a *attempt, r result) {
	var unproven *unprovenError
	observed := control.Succeeded
	if errors.As(r.err, &unproven) && unproven.status >= http.StatusInternalServerError {
		observed = control.Failed
	}
	j.reportToMembership(ctx, a, observed)
}

// reportToMembership reports the result of an attempt to membership, once for each attempt. One that
// ended because the caller disconnected or the deadline passed does not count against the upstream.
func (j *job) reportToMembership(ctx context.Context, a *attempt, observed control.Result) {
	if a.watchdog.stop() && (observed == control.Succeeded || ctx.Err() == nil) {
		j.Membership.Observe(a.upstream.Instance(), observed)
	}
}

var (
	errUnsigned  = errors.New("a success without the upstream's signature")
	errNotStream = errors.New("no stream where one should go on")
	// errNoRoomAtBrittle is the error of a request for which a brittle upstream has no room.
	errNoRoomAtBrittle = errors.New("the brittle upstream has no room")
	// errQuarantined is the error of a request that was quarantined while it waited to be sent.
	errQuarantined = errors.New("upstreams have crashed under requests like this one")
)

// An unprovenError is the error of a response whose status tells callers that the request has not run, from an
// upstream that does not say so.
type unprovenError struct {
	status int
}

// Error returns the status.
func (e *unprovenError) Error() string {
	return fmt.Sprintf("status %d without the header that the request was not executed", e.status)
}

// claimsNotRun reports whether callers take a status for the promise that the request has not run and never will.
func claimsNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}
