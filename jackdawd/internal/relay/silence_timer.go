package relay

import (
	"sync"
	"time"

	"jackdawhinge/common/traffic"
	"jackdawhinge/jackdawd/internal/placement"
)

// startSilenceTimer reports the upstream of a service as silent while a request that is sent now is overdue, until stop
// is called. Engines are left out: their requests take too different times, and plans show their loads.
func (j *job) startSilenceTimer(u *traffic.Upstream) (stop func()) {
	if j.pool.Engine {
		return func() {}
	}
	sentAt, meanDuration := time.Now(), j.RequestStats.MeanDuration(j.route.Name)
	var mu sync.Mutex
	stopped := false
	mu.Lock()
	defer mu.Unlock()
	var timer *time.Timer
	timer = time.AfterFunc(placement.OverdueTime(meanDuration), func() {
		mu.Lock()
		defer mu.Unlock()
		if stopped {
			return
		}
		j.Silent.RecordOverdue(time.Now(), u, sentAt)
		timer.Reset(placement.SilenceRenewInterval)
	})
	return func() {
		mu.Lock()
		defer mu.Unlock()
		stopped = true
		timer.Stop()
	}
}
