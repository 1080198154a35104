package relay

import (
	"context"
	"errors"
	"io"
	"time"

	"jackdawhinge/jackdawd/internal/exchange"
)

const (
	// silentPauses is how many times the longest pause in time a resumable stream
	// waits for the next event before it goes on at another upstream.
	silentPauses = 3
	// leastPause is the least time that it waits.
	leastPause = 800 * time.Millisecond
	// writeTimeout is how long a caller may take to accept a piece of its answer:
	// one that stops reading would hold an engine's slot for ever.
	writeTimeout = 10 * time.Second
)

var errCutEvent = errors.New("the stream ended in the middle of an event")

// stream passes a stream on event by event, from the first event that has not been delivered.
func (j *job) stream(ctx context.Context, a *exchange.Answer) result {
	j.split.Drop()
	a.SetPatience(j.firstWithin(j.sent))
	buf := make([]byte, chunkBytes)
	for {
		n, err := a.Read(buf)
		if whole := j.split.Add(buf[:n]); len(whole) > 0 {
			if err := j.send(a, whole); err != nil {
				return result{verdict: callerLeft, err: err}
			}
			j.setPause(a)
		}
		switch {
		case errors.Is(err, io.EOF) && (j.split.Pending() > 0 || j.split.Events() == 0):
			return result{verdict: broken, err: errCutEvent}
		case errors.Is(err, io.EOF):
			return result{verdict: answered}
		case err != nil && ctx.Err() != nil && j.r.Context().Err() != nil:
			return result{verdict: callerLeft, err: err}
		case err != nil:
			return result{verdict: broken, err: err}
		case j.split.Overlong():
			return result{verdict: broken, err: errCutEvent}
		}
	}
}

// setPause sets how long the next event may take, where another upstream could go on instead.
func (j *job) setPause(a *exchange.Answer) {
	if !j.mayMove(j.sent) {
		a.SetPatience(0)
		return
	}
	a.SetPatience(j.pauseWithin())
}

// pauseWithin returns how long the next event of a stream may take.
func (j *job) pauseWithin() time.Duration {
	return max(silentPauses*j.route.PauseTarget, leastPause)
}

// send passes whole events on at once.
func (j *job) send(a *exchange.Answer, whole []byte) error {
	if !j.begun {
		// A stream that goes on at another upstream keeps its first head.
		j.begin(a.Status(), a.Header())
	}
	now := time.Now()
	if !j.sentAt.IsZero() {
		j.longestPause = max(j.longestPause, now.Sub(j.sentAt))
	}
	j.sentAt = now
	j.watch.heard(j.pauseWithin())
	if err := j.out.SetWriteDeadline(now.Add(writeTimeout)); err != nil {
		return err
	}
	if _, err := j.w.Write(whole); err != nil {
		return err
	}
	return j.out.Flush()
}
