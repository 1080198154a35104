package dispatch

import (
	"context"
	"errors"
	"time"
)

var errStalled = errors.New("no frame came in time")

// A stallTimer cancels a call when the other side hangs without closing the
// connection. The call then fails like one with a broken connection, and is resumed.
type stallTimer struct {
	timer  *time.Timer
	cancel context.CancelCauseFunc
}

// withStallTimeout returns a context that is cancelled when no frame arrives in time.
func withStallTimeout(ctx context.Context, firstFrameTimeout time.Duration) (context.Context, *stallTimer) {
	ctx, cancel := context.WithCancelCause(ctx)
	return ctx, &stallTimer{cancel: cancel, timer: time.AfterFunc(firstFrameTimeout, func() { cancel(errStalled) })}
}

// reset restarts the timer after a frame, with the timeout for the next one.
func (s *stallTimer) reset(timeout time.Duration) {
	s.timer.Reset(timeout)
}

func (s *stallTimer) stop() {
	s.timer.Stop()
	s.cancel(nil)
}
