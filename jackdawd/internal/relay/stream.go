package relay

import (
	"context"
	"errors"
	"io"
	"time"

	"jackdawhinge/jackdawd/internal/exchange"
)

const (
	// Callers leave a stream after a gap of callerGapFactor times the route's target for gaps, of
	// callerTargetFactor times its target for the first event, or of minCallerGap, whichever is longest.
	callerGapFactor    = 8
	callerTargetFactor = 4
	minCallerGap       = 2 * time.Second
	// eventTimeoutDivisor is the divisor of that gap that gives the time after which a stream is resumed elsewhere.
	// The other upstream gets the rest.
	eventTimeoutDivisor = 2
	// minEventTimeout is the minimum of that time. A sound upstream is silent for up to 1.9 s, and may work on for
	// 0.4 s after its stream was resumed elsewhere.
	minEventTimeout = 1500 * time.Millisecond
	// eventReportFactor is the multiple of the route's target for gaps after which an upstream is reported as silent,
	// so that new requests avoid it.
	eventReportFactor = 3
	// minEventReportTime is the minimum of that time.
	minEventReportTime = 800 * time.Millisecond
)

var (
	errTruncatedEvent = errors.New("the stream ended in the middle of an event")
	errEventTooLarge  = errors.New("an event is larger than this host can hold")
)

// relayStream forwards a stream event by event, starting after the last event that was delivered.
func (j *job) relayStream(ctx context.Context, resp *exchange.Response) result {
	j.splitter.DiscardPending()
	resp.SetReadTimeout(j.firstByteTimeout(j.sentCount))
	if j.readsAhead() {
		return j.relayAhead(resp, eventSource{j, ctx}, nil, nil)
	}
	buf := make([]byte, readBufferBytes)
	for {
		events, end := j.readEvents(ctx, resp, buf)
		if len(events) > 0 {
			j.startEvents(resp)
			if err := j.writeEvents(events); err != nil {
				return result{verdict: callerLeft, err: err}
			}
			j.setEventTimeout(resp)
			j.clearPartsOfLastingStream()
		}
		if end != nil {
			return *end
		}
	}
}

// readEvents reads once and returns the events that are complete, and the result of the attempt if no more
// follow.
func (j *job) readEvents(ctx context.Context, resp *exchange.Response, buf []byte) (events []byte, end *result) {
	n, err := resp.Read(buf)
	events = j.splitter.Add(buf[:n])
	// Parts of an event that never ends don't make a successor unneeded.
	if len(events) > 0 || errors.Is(err, io.EOF) {
		j.dropSuccessor()
	}
	switch {
	case errors.Is(err, io.EOF) && (j.splitter.PendingBytes() > 0 || j.splitter.EventCount() == 0):
		return events, &result{verdict: broken, err: errTruncatedEvent}
	case errors.Is(err, io.EOF):
		return events, &result{verdict: answered, unframed: !resp.Framed()}
	case err != nil && ctx.Err() != nil && j.r.Context().Err() != nil:
		return events, &result{verdict: callerLeft, err: err}
	case err != nil:
		return events, &result{verdict: broken, err: err}
	case j.splitter.IsPendingTooLarge() || !j.reservePending():
		return events, &result{verdict: broken, err: errEventTooLarge}
	}
	return events, nil
}

// reservePending reserves memory for an incomplete event, and reports whether there is room.
func (j *job) reservePending() bool {
	missing := int64(j.splitter.PendingBytes()) - unreservedBytes - j.pendingBytes
	if missing <= 0 {
		return true
	}
	missing = max(missing, unreservedBytes)
	if !j.reserveResponse(missing) {
		return false
	}
	j.pendingBytes += missing
	return true
}

// setEventTimeout sets the timeout of the next event, or none if no other upstream could resume the
// stream.
func (j *job) setEventTimeout(resp *exchange.Response) {
	if !j.mayFailOver(j.sentCount) {
		resp.SetReadTimeout(0)
		return
	}
	resp.SetReadTimeout(j.eventTimeout())
}

// eventTimeout returns how long the next event of a stream may take before the stream is sent elsewhere.
func (j *job) eventTimeout() time.Duration {
	callerGap := max(minCallerGap, callerTargetFactor*j.route.FirstByteTarget, callerGapFactor*j.route.EventIntervalTarget)
	return max(callerGap/eventTimeoutDivisor, minEventTimeout)
}

// eventReportTime returns how long the next event of a stream may take before its upstream is reported as silent.
func (j *job) eventReportTime() time.Duration {
	return max(eventReportFactor*j.route.EventIntervalTarget, minEventReportTime)
}

// startEvents writes the header before the first events of a stream, and records that the upstream has sent
// events.
func (j *job) startEvents(resp *exchange.Response) {
	if !j.headerSent {
		j.recordSoftware()
		// A resumed stream keeps the header of its first upstream.
		j.writeHeader(resp.Status(), resp.Header())
	}
	if j.current.firstEventAt.IsZero() {
		j.current.firstEventAt = time.Now()
	}
	j.current.watchdog.reset(j.eventReportTime())
}

// writeEvents writes complete events to the caller and flushes them.
func (j *job) writeEvents(events []byte) error {
	if err := j.setWriteDeadline(time.Now()); err != nil {
		return err
	}
	return j.sendEvents(events)
}

// extendWriteDeadline lets the server write the end of a complete response, whose last part may have been written
// long ago.
func (j *job) extendWriteDeadline() {
	end := time.Now().Add(writeTimeout)
	if d := j.deadline.Add(responseGracePeriod); d.After(end) {
		end = d
	}
	j.setFinalWriteDeadline(end)
}

// sendEvents writes complete events and flushes them; the deadline must be set.
func (j *job) sendEvents(events []byte) error {
	now := time.Now()
	if !j.lastWriteAt.IsZero() {
		j.maxEventGap = max(j.maxEventGap, now.Sub(j.lastWriteAt))
	}
	j.lastWriteAt = now
	if _, err := j.w.Write(events); err != nil {
		return err
	}
	return j.controller.Flush()
}
