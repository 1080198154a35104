package telemetry

import (
	"math"
	"runtime/metrics"
	"sync/atomic"
	"time"
)

const (
	// schedulingDelayInterval is how often the delay is measured.
	schedulingDelayInterval = 100 * time.Millisecond
	// schedulingDelayQuantile is the part of all goroutines that waited for less than the delay. Most
	// never wait even in an overload, as the one that wakes them hands its time on to them.
	schedulingDelayQuantile = 0.9
	// schedulingDelayDecay is the part of the delay that remains after an interval without any. The
	// measured values vary, as waits end in groups.
	schedulingDelayDecay = 0.7
	// maxSchedulingDelay bounds the delay, so that it does not last long after a pause of the whole
	// process.
	maxSchedulingDelay = 300 * time.Millisecond
	// schedulingLatencies is the runtime's histogram of how long goroutines were ready before they ran,
	// in seconds.
	schedulingLatencies = "/sched/latencies:seconds"
)

// A SchedulingDelay measures for how long goroutines that are ready wait for the processor. A host
// with more work than processor time hears everything that late: new requests, responses, news from
// other hosts, and callers that have disconnected.
type SchedulingDelay struct {
	current atomic.Int64
	stop    chan struct{}
}

// NewSchedulingDelay starts to measure the delay until Close is called.
func NewSchedulingDelay() *SchedulingDelay {
	d := &SchedulingDelay{stop: make(chan struct{})}
	go func() {
		ticker := time.NewTicker(schedulingDelayInterval)
		defer ticker.Stop()
		sample := []metrics.Sample{{Name: schedulingLatencies}}
		var last []uint64
		lastAt := time.Now()
		for {
			select {
			case <-ticker.C:
				metrics.Read(sample)
				histogram := sample[0].Value.Float64Histogram()
				// The measurement itself is late if this goroutine waits.
				late := time.Since(lastAt) - schedulingDelayInterval
				d.observe(max(quantileSince(last, histogram, schedulingDelayQuantile), late))
				last, lastAt = append(last[:0], histogram.Counts...), time.Now()
			case <-d.stop:
				return
			}
		}
	}()
	return d
}

// observe applies a measured delay.
func (d *SchedulingDelay) observe(measured time.Duration) {
	decayed := time.Duration(schedulingDelayDecay * float64(d.Current()))
	d.current.Store(int64(min(max(measured, decayed), maxSchedulingDelay)))
}

// Current returns the delay as measured last.
func (d *SchedulingDelay) Current() time.Duration { return time.Duration(d.current.Load()) }

// Close stops measuring.
func (d *SchedulingDelay) Close() { close(d.stop) }

// quantileSince returns a quantile of the values that a histogram, in seconds, has got since its counts
// were last; 0 if there are none. It is the lower bound of the quantile's bucket.
func quantileSince(last []uint64, h *metrics.Float64Histogram, quantile float64) time.Duration {
	added, total := make([]uint64, len(h.Counts)), uint64(0)
	for i, n := range h.Counts {
		added[i] = n
		if i < len(last) {
			added[i] -= last[i]
		}
		total += added[i]
	}
	rank, below := uint64(math.Ceil(quantile*float64(total))), uint64(0)
	for i, n := range added {
		if below += n; n > 0 && below >= rank {
			return time.Duration(max(h.Buckets[i], 0) * float64(time.Second))
		}
	}
	return 0
}
