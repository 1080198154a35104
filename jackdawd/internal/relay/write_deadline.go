package relay

import (
	"sync"
	"time"
)

const (
	// writeTimeout is how long a caller may read nothing during a write. A caller that stops reading would
	// otherwise occupy an engine's slot forever.
	writeTimeout = 10 * time.Second
	// readCheckInterval is how often it is checked whether a caller reads.
	readCheckInterval = 2 * time.Second
)

// A writeDeadline bounds the writes to one caller. A write may take long although the caller reads, as the kernel lets
// it wait until a large part of its buffer is free; so its deadline is extended as long as the caller acknowledges more.
type writeDeadline struct {
	mu sync.Mutex
	// timer checks whether the caller reads; nil before the first write.
	timer *time.Timer
	// startedAt is when the latest write began, acknowledged what the caller had acknowledged at the latest check.
	startedAt    time.Time
	acknowledged uint64
	// isFinal is set once the deadline is not extended any more.
	isFinal bool
}

// setWriteDeadline bounds a write that begins now.
func (j *job) setWriteDeadline(now time.Time) error {
	w := &j.writeDeadline
	w.mu.Lock()
	defer w.mu.Unlock()
	w.startedAt = now
	if w.timer == nil {
		w.acknowledged = j.acknowledged(j.r.Context())
		w.timer = time.AfterFunc(readCheckInterval, j.checkReading)
	}
	return j.controller.SetWriteDeadline(now.Add(writeTimeout))
}

// checkReading extends the deadline of a write if the caller has read since the latest check, but not beyond that of
// the request.
func (j *job) checkReading() {
	w := &j.writeDeadline
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.isFinal {
		return
	}
	w.timer.Reset(readCheckInterval)
	previous := w.acknowledged
	w.acknowledged = j.acknowledged(j.r.Context())
	deadline, last := time.Now().Add(writeTimeout), j.deadline.Add(responseGracePeriod)
	if last.Before(deadline) {
		deadline = last
	}
	if w.acknowledged > previous && deadline.After(w.startedAt.Add(writeTimeout)) {
		// Setting a deadline fails only on a closed connection, whose caller has left.
		_ = j.controller.SetWriteDeadline(deadline)
	}
}

// setFinalWriteDeadline sets a deadline that is not extended.
func (j *job) setFinalWriteDeadline(t time.Time) {
	j.stopWriteChecks()
	// Setting a deadline fails only on a closed connection, whose caller has left.
	_ = j.controller.SetWriteDeadline(t)
}

// stopWriteChecks leaves the write deadline as it is.
func (j *job) stopWriteChecks() {
	w := &j.writeDeadline
	w.mu.Lock()
	defer w.mu.Unlock()
	w.isFinal = true
	if w.timer != nil {
		w.timer.Stop()
	}
}
