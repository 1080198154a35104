package relay

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
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
	// maxBufferedBytes is the size up to which a response is buffered before it is sent to the
	// caller, so that another upstream can be tried if it is truncated.
	maxBufferedBytes = 256 << 10
	// readBufferBytes is the size of the buffer that responses are read into.
	readBufferBytes = 16 << 10
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

// attempt sends the request to an upstream and forwards the response to the caller.
func (j *job) attempt(ctx context.Context, u *traffic.Upstream) result {
	j.attempted, j.current = append(j.attempted, u.Instance()), u
	now := time.Now()
	j.attemptStartedAt, j.connectTime, j.through, j.sent = now, 0, "", nil
	j.firstEventAt, j.firstByteAt, j.attemptEndedAt, j.clearedParts = time.Time{}, time.Time{}, time.Time{}, false
	own := j.Loads.Begin(now, u)
	j.RequestStats.RecordStart(now, j.pool.Name)
	if j.cacheable {
		j.Balancer.Begin(j.affinityKey)
	}
	j.startInPool()
	var release func()
	var response *exchange.Response
	complete, refused, ended := false, false, false
	j.endAttempt = func(complete bool) {
		if ended {
			return
		}
		ended = true
		if response != nil {
			response.Close()
		}
		if release != nil {
			release()
		}
		now := time.Now()
		j.attemptEndedAt = now
		j.endInPool(now, refused)
		j.Loads.End(now, u)
		if complete {
			j.RequestStats.RecordEnd(now, j.pool.Name, j.route.Name, now.Sub(j.attemptStartedAt))
		}
		if j.cacheable {
			j.Balancer.End(j.affinityKey)
		}
		if j.sent != nil {
			j.sent.RecordEnd(now, complete)
		}
	}
	defer func() { j.endAttempt(complete) }()
	var ok bool
	if release, ok = j.reserved, j.reserved != nil; !ok {
		release, ok = j.takeBrittle(u, own)
	}
	if j.reserved = nil; !ok {
		return result{verdict: unsent, err: errNoRoomAtBrittle}
	}
	if _, quarantined := j.findQuarantined(); quarantined && !j.probing {
		return result{verdict: unsent, err: errQuarantined}
	}
	j.watchdog = j.startWatchdog(ctx, u)
	defer j.watchdog.stop()
	req := j.upstreamRequest(u)
	var err error
	if response, err = j.Client.Do(ctx, req); err != nil {
		return j.handleRequestError(ctx, u, err)
	}
	j.sentCount++
	head := response.Head()
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
		refused = true
		j.sentCount--
		j.Membership.RemoveReplaced(u.Instance())
		return result{verdict: replaced}
	case head.NotExecuted:
		refused = true
		if head.Load == nil && u.Slots > 0 {
			// The upstream reports no load, only that it is full. Without an assumed load the next
			// requests would be sent there only to be rejected as well.
			j.Loads.Record(time.Now(), u, traffic.Load{Running: u.Slots, Waiting: u.Slots, Slots: u.Slots})
		}
		switch {
		case j.Brittleness.IsBrittle(time.Now(), u.Pool):
			j.Brittleness.RecordRejection(time.Now(), u, j.brittleShare())
		case head.Backoff == 0:
			j.reportToMembership(ctx, u, control.ConnectionFailed)
		}
		return result{verdict: rejected}
	}
	j.mayHaveRun = true
	j.firstByteAt = time.Now()
	j.sent.RecordFirstByte(j.firstByteAt)
	isStream := head.EventStream && response.Status() == http.StatusOK
	switch {
	case response.Status() < http.StatusMultipleChoices && !head.Signed:
		return j.conclude(ctx, u, result{verdict: broken, err: errUnsigned})
	case isStream:
		r := j.relayStream(ctx, response)
		complete = r.verdict == answered
		return j.conclude(ctx, u, r)
	case j.headerSent:
		return j.conclude(ctx, u, result{verdict: broken, err: errNotStream})
	case !j.route.Repeatable() && claimsNotRun(response.Status()):
		return j.conclude(ctx, u, result{verdict: unproven, err: &unprovenError{response.Status()}})
	}
	r := j.relayBuffered(ctx, response)
	complete = r.verdict == answered
	return j.conclude(ctx, u, r)
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

// recordConnected records that the attempt has a connection. The time until then says nothing of the
// upstream's queue.
func (j *job) recordConnected(u *traffic.Upstream, through string) {
	now := time.Now()
	j.connectTime, j.through = now.Sub(j.attemptStartedAt), through
	if j.sent == nil {
		j.sent = j.Admission.RecordSent(now, j.admissionRequest(), u.Instance(), j.delay)
	}
}

// handleRequestError returns the result of a request that got no response header.
func (j *job) handleRequestError(ctx context.Context, u *traffic.Upstream, err error) result {
	var notSent *exchange.NotSentError
	if errors.As(err, &notSent) {
		if !errors.Is(err, exchange.ErrTooManyConnections) {
			j.reportToMembership(ctx, u, control.ConnectionFailed)
		}
		return result{verdict: unsent, err: err}
	}
	j.sentCount++
	j.mayHaveRun = true
	return j.conclude(ctx, u, result{verdict: broken, err: err})
}

// conclude reports the result of an attempt to prompt placement, the quarantine and membership, and
// returns it.
func (j *job) conclude(ctx context.Context, u *traffic.Upstream, r result) result {
	if r.verdict == answered && j.cacheable {
		j.CacheLocations.Record(time.Now(), j.affinityKey, u.Instance())
	}
	j.reportToQuarantine(u, r)
	switch r.verdict {
	case callerLeft, cutOff:
	case failed:
		j.reportToMembership(ctx, u, control.Failed)
	case unproven:
		j.reportUnproven(ctx, u, r)
	case broken:
		j.reportToMembership(ctx, u, control.ConnectionFailed)
	default:
		j.reportToMembership(ctx, u, control.Succeeded)
	}
	return r
}

// reportUnproven reports a response whose status is not forwarded to membership as one that is: a server error
// counts against the upstream.
func (j *job) reportUnproven(ctx context.Context, u *traffic.Upstream, r result) {
	var unproven *unprovenError
	observed := control.Succeeded
	if errors.As(r.err, &unproven) && unproven.status >= http.StatusInternalServerError {
		observed = control.Failed
	}
	j.reportToMembership(ctx, u, observed)
}

// reportToMembership reports the result of an attempt to membership, once for each attempt. One that
// ended because the caller disconnected or the deadline passed does not count against the upstream.
func (j *job) reportToMembership(ctx context.Context, u *traffic.Upstream, observed control.Result) {
	if j.watchdog.stop() && (observed == control.Succeeded || ctx.Err() == nil) {
		j.Membership.Observe(u.Instance(), observed)
	}
}

// A bufferedResponse is a response that was read completely, or up to maxBufferedBytes.
type bufferedResponse struct {
	status int
	header http.Header
	body   []byte
}

// relayBuffered forwards a response that is no stream.
func (j *job) relayBuffered(ctx context.Context, resp *exchange.Response) result {
	body, err := io.ReadAll(io.LimitReader(resp, maxBufferedBytes))
	if err != nil {
		return result{verdict: broken, err: err}
	}
	buffered := &bufferedResponse{status: resp.Status(), header: resp.Header(), body: body}
	if len(body) == maxBufferedBytes {
		return j.relayUnbuffered(ctx, resp, buffered)
	}
	if resp.Status() >= http.StatusInternalServerError {
		return result{verdict: failed, response: buffered, unframed: !resp.Framed()}
	}
	end := result{verdict: answered, unframed: !resp.Framed()}
	if j.readsAhead() {
		return j.writeBufferedAhead(ctx, resp, buffered, &end)
	}
	j.writeBuffered(buffered)
	return end
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

// writeBuffered writes a buffered response to the caller.
func (j *job) writeBuffered(response *bufferedResponse) {
	j.writeBufferedHeader(response)
	// A write error means that the caller has disconnected.
	_, _ = j.w.Write(response.body)
}

// writeBufferedHeader writes the header of a buffered response to the caller.
func (j *job) writeBufferedHeader(response *bufferedResponse) {
	if len(response.body) > 0 {
		j.w.Header().Set("Content-Length", strconv.Itoa(len(response.body)))
	}
	j.writeHeader(response.status, response.header)
}

// writeBufferedAhead writes a response to the caller whose upstream has been read to its end, so that its slot is
// free already.
func (j *job) writeBufferedAhead(ctx context.Context, resp *exchange.Response, buffered *bufferedResponse, end *result) result {
	j.endAttempt(true)
	j.writeBufferedHeader(buffered)
	j.watchdog.suspend()
	return j.relayAhead(resp, unbufferedSource{j, ctx}, buffered.body, end)
}

// writeHeader writes the header of a response to the caller.
func (j *job) writeHeader(status int, header http.Header) {
	j.Protocol.CopyResponseHeader(j.w.Header(), header)
	if header.Get("Content-Type") == "" {
		// Otherwise the HTTP server would guess a type that the upstream did not send.
		j.w.Header()["Content-Type"] = nil
	}
	j.watchdog.reset(j.eventTimeout())
	j.headerSent, j.status, j.timeToFirstByte = true, status, time.Since(j.arrived)
	j.w.WriteHeader(status)
}

// relayUnbuffered forwards a response that is too large to buffer, of which prefix was already
// read.
func (j *job) relayUnbuffered(ctx context.Context, resp *exchange.Response, prefix *bufferedResponse) result {
	if resp.ContentLength() >= 0 {
		// The length lets the caller detect a truncated response.
		j.w.Header().Set("Content-Length", strconv.FormatInt(resp.ContentLength(), 10))
	}
	j.writeHeader(prefix.status, prefix.header)
	if j.readsAhead() {
		return j.relayAhead(resp, unbufferedSource{j, ctx}, prefix.body, nil)
	}
	if _, err := j.w.Write(prefix.body); err != nil {
		return result{verdict: callerLeft, err: err}
	}
	if _, err := io.CopyBuffer(writerOnly{j.w}, readerOnly{resp}, make([]byte, readBufferBytes)); err != nil {
		var interrupted *exchange.InterruptedError
		if !errors.As(err, &interrupted) || j.r.Context().Err() != nil {
			return result{verdict: callerLeft, err: err}
		}
		return result{verdict: broken, err: err}
	}
	return result{verdict: answered, unframed: !resp.Framed()}
}

// writerOnly and readerOnly hide all other methods, so that io.CopyBuffer uses the given buffer.
type writerOnly struct{ io.Writer }

type readerOnly struct{ io.Reader }
