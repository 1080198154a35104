package relay

import (
	"sync"
	"sync/atomic"
	"time"
)

// slowWriteInterval is how often writes in progress are checked; one that is seen twice is slow. A host may get no
// processor time for most of a tenth of a second, which must not count as a slow caller.
const slowWriteInterval = 100 * time.Millisecond

// A slowWriteMonitor finds writes to callers that take long. All responses share its timer, since setting one for
// each write costs more than the rest of the forwarding of an event. It is safe for concurrent use.
type slowWriteMonitor struct {
	mu     sync.Mutex
	writes map[*monitoredWrites]struct{}
	timer  *time.Timer
}

// monitoredWrites are the writes of one response.
type monitoredWrites struct {
	// state counts the begins and ends of writes, so that it is odd during a write, or is slowWrite.
	state atomic.Uint64
	// seen is the state at the latest check.
	seen   uint64
	onSlow func()
}

// slowWrite is the state once a write was found to be slow, until the writes are monitored again.
const slowWrite = 1 << 63

// add monitors writes. The first write that is slow makes it call onSlow in a goroutine.
func (m *slowWriteMonitor) add(w *monitoredWrites) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.writes == nil {
		m.writes = map[*monitoredWrites]struct{}{}
	}
	if len(m.writes) == 0 {
		m.startTimer()
	}
	m.writes[w] = struct{}{}
}

// startTimer starts the timer; the lock must be held.
func (m *slowWriteMonitor) startTimer() {
	if m.timer == nil {
		m.timer = time.AfterFunc(slowWriteInterval, m.check)
		return
	}
	m.timer.Reset(slowWriteInterval)
}

// remove ends the monitoring of writes.
func (m *slowWriteMonitor) remove(w *monitoredWrites) {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.writes, w)
	if len(m.writes) == 0 {
		m.timer.Stop()
	}
}

// check finds slow writes.
func (m *slowWriteMonitor) check() {
	m.mu.Lock()
	defer m.mu.Unlock()
	for w := range m.writes {
		state := w.state.Load()
		if state%2 == 1 && state == w.seen && w.state.CompareAndSwap(state, slowWrite) {
			state = slowWrite
			go w.onSlow()
		}
		w.seen = state
	}
	if len(m.writes) > 0 {
		m.timer.Reset(slowWriteInterval)
	}
}

// begin records the begin of a write.
func (w *monitoredWrites) begin() { w.state.Add(1) }

// end records the end of a write, and reports whether it was slow.
func (w *monitoredWrites) end() (slow bool) {
	state := w.state.Load()
	return state == slowWrite || !w.state.CompareAndSwap(state, state+1)
}

// restart monitors further writes after a slow one.
func (w *monitoredWrites) restart() { w.state.Store(0) }
