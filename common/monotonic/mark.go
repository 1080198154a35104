package monotonic

import (
	"sync/atomic"
	"time"
)

// A Mark is a time that goroutines may set and read concurrently; its zero value is not set.
type Mark struct {
	time atomic.Pointer[time.Time]
}

// Set sets the mark to a time, which should have a monotonic reading.
func (m *Mark) Set(t time.Time) { m.time.Store(&t) }

// Get returns the time of the mark, or false if it is not set.
func (m *Mark) Get() (time.Time, bool) {
	t := m.time.Load()
	if t == nil {
		return time.Time{}, false
	}
	return *t, true
}

// Since returns how long before now the mark was, or false if it is not set.
func (m *Mark) Since(now time.Time) (time.Duration, bool) {
	t, ok := m.Get()
	return now.Sub(t), ok
}
