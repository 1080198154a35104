package relay

import (
	"context"
	"sync"
	"time"

	"jackdawhinge/common/traffic"
	"jackdawhinge/jackdawd/internal/control"
)

// A watch notices that an upstream is silent while a request still waits for it.
//
// A request that must not run twice waits for an engine that hangs until its caller
// gives up, three seconds and more. Did it speak against the engine only then, each
// host would go on sending others there meanwhile.
type watch struct {
	mu    sync.Mutex
	timer *time.Timer
	ended bool
}

// watchOver returns a watch that tells of the upstream if it is silent for too long.
func (j *job) watchOver(ctx context.Context, u *traffic.Upstream) *watch {
	w := &watch{}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.timer = time.AfterFunc(max(silentTargets*j.route.Target, leastSilence), func() {
		if !j.overloaded(u) && w.stop() && ctx.Err() == nil {
			j.Members.Observe(u.Start(), control.Silent)
		}
	})
	return w
}

// heard takes in a sign of life; the next one is due within a time.
func (w *watch) heard(within time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.ended {
		w.timer.Reset(within)
	}
}

// stop ends the watch, and reports whether it had not ended before.
func (w *watch) stop() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.timer.Stop()
	first := !w.ended
	w.ended = true
	return first
}
