package dispatch

import (
	"context"
	"errors"
	"time"
)

var errStalled = errors.New("no frame came in time")

// A stallWatch ends a call whose other side hangs without closing the
// connection. The caller would wait for ever; ending the call makes it a broken
// one, which is resumed.
type stallWatch struct {
	timer  *time.Timer
	cancel context.CancelCauseFunc
}

// watchStall returns a context that ends when the first frame does not come in time.
func watchStall(ctx context.Context, first time.Duration) (context.Context, *stallWatch) {
	ctx, cancel := context.WithCancelCause(ctx)
	return ctx, &stallWatch{cancel: cancel, timer: time.AfterFunc(first, func() { cancel(errStalled) })}
}

// frame notes that a frame came and that the next one is due within a time.
func (s *stallWatch) frame(next time.Duration) {
	s.timer.Reset(next)
}

func (s *stallWatch) stop() {
	s.timer.Stop()
	s.cancel(nil)
}
