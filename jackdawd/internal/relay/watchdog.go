package relay

import (
	"context"
	"sync"
	"time"

	"jackdawhinge/common/traffic"
	"jackdawhinge/jackdawd/internal/control"
)

// A watchdog reports an upstream that is silent while a request still waits for it.
//
// A request that must not run twice waits for a hanging engine until its caller gives up, three
// seconds or more. If it counted against the engine only then, every host would keep sending
// requests there in the meantime.
type watchdog struct {
	mu      sync.Mutex
	timer   *time.Timer
	stopped bool
}

// startWatchdog returns a watchdog that reports the upstream to membership if it is silent for too
// long.
func (j *job) startWatchdog(ctx context.Context, u *traffic.Upstream) *watchdog {
	w := &watchdog{}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.timer = time.AfterFunc(j.firstByteReportTime(), func() {
		if !j.isFull(u) && w.stop() && ctx.Err() == nil {
			j.Membership.Observe(u.Instance(), control.TimedOut)
			// Connections that were idle before may be as dead as the one of this request.
			j.Client.DiscardIdle(u.Address)
		}
	})
	return w
}

// reset restarts the timer after the upstream has sent data; more is due within the given time.
func (w *watchdog) reset(within time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.stopped {
		w.timer.Reset(within)
	}
}

// stop stops the watchdog and reports whether it was still running.
func (w *watchdog) stop() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.timer.Stop()
	wasRunning := !w.stopped
	w.stopped = true
	return wasRunning
}

// suspend stops the timer until the next reset, while nothing is awaited from the upstream.
func (w *watchdog) suspend() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.timer.Stop()
}
