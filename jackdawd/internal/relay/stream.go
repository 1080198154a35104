package relay

import (
	"context"
	"errors"
	"io"
	"time"

	"jackdawhinge/jackdawd/internal/exchange"
)

const (
	// eventTimeoutFactor is the multiple of the route's target for the gap between events after
	// which a resumable stream is resumed at another upstream.
	eventTimeoutFactor = 3
	// minEventTimeout is the minimum of that timeout.
	minEventTimeout = 800 * time.Millisecond
	// writeTimeout bounds each write to a caller. A caller that stops reading would otherwise
	// occupy an engine's slot forever.
	writeTimeout = 10 * time.Second
)

var errTruncatedEvent = errors.New("the stream ended in the middle of an event")

// relayStream forwards a stream event by event, starting after the last event that was delivered.
func (j *job) relayStream(ctx context.Context, resp *exchange.Response) result {
	j.splitter.DiscardPending()
	resp.SetReadTimeout(j.firstByteTimeout(j.sentCount))
	buf := make([]byte, readBufferBytes)
	for {
		n, err := resp.Read(buf)
		if events := j.splitter.Add(buf[:n]); len(events) > 0 {
			if err := j.writeEvents(resp, events); err != nil {
				return result{verdict: callerLeft, err: err}
			}
			j.setEventTimeout(resp)
			j.clearPartsOfLastingStream()
		}
		switch {
		case errors.Is(err, io.EOF) && (j.splitter.PendingBytes() > 0 || j.splitter.EventCount() == 0):
			return result{verdict: broken, err: errTruncatedEvent}
		case errors.Is(err, io.EOF):
			return result{verdict: answered, unframed: !resp.Framed()}
		case err != nil && ctx.Err() != nil && j.r.Context().Err() != nil:
			return result{verdict: callerLeft, err: err}
		case err != nil:
			return result{verdict: broken, err: err}
		case j.splitter.IsPendingTooLarge():
			return result{verdict: broken, err: errTruncatedEvent}
		}
	}
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

// eventTimeout returns how long the next event of a stream may take.
func (j *job) eventTimeout() time.Duration {
	return max(eventTimeoutFactor*j.route.EventIntervalTarget, minEventTimeout)
}

// writeEvents writes complete events to the caller and flushes them.
func (j *job) writeEvents(resp *exchange.Response, events []byte) error {
	if !j.headerSent {
		j.recordSoftware()
		// A resumed stream keeps the header of its first upstream.
		j.writeHeader(resp.Status(), resp.Header())
	}
	now := time.Now()
	if j.firstEventAt.IsZero() {
		j.firstEventAt = now
	}
	if !j.lastWriteAt.IsZero() {
		j.maxEventGap = max(j.maxEventGap, now.Sub(j.lastWriteAt))
	}
	j.lastWriteAt = now
	j.watchdog.reset(j.eventTimeout())
	if err := j.controller.SetWriteDeadline(now.Add(writeTimeout)); err != nil {
		return err
	}
	if _, err := j.w.Write(events); err != nil {
		return err
	}
	return j.controller.Flush()
}
