package relay

import (
	"sync"
	"time"
)

const (
	// hostRatioFactor is the fraction of the fleet's retry ratio that a host may use for its own
	// requests. Hosts do not know each other's retries; if each stays below the ratio of its own
	// requests, the fleet does too.
	hostRatioFactor = 0.75
	// minRetries is how many retries a host may make within the window whatever its requests.
	minRetries = 2
	// budgetSlot is the resolution of the window.
	budgetSlot = time.Second
)

// RetryBudgets limits the retries to each pool within a sliding window, by the requests to the pool
// in that window. It is safe for concurrent use.
//
// When part of a pool's requests fail from one moment to the next, the first seconds may use what the
// window before has left, which a budget of a steady rate would refuse.
type RetryBudgets struct {
	mu     sync.Mutex
	ratio  float64
	window time.Duration
	byPool map[string]*retryWindow
}

// retryWindow counts requests and retries by the slot of their time.
type retryWindow struct {
	// slots are consecutive, the latest one first.
	slots []retrySlot
	// latestStart is the start of the latest slot; zero before the first request. It keeps its monotonic reading: with
	// the time of day, a clock that is set back would leave out what was counted before.
	latestStart time.Time
}

type retrySlot struct {
	requests int
	retries  int
}

// NewRetryBudgets returns budgets for a ratio of retries to requests that the whole fleet must keep
// within each window.
func NewRetryBudgets(ratio float64, window time.Duration) *RetryBudgets {
	b := &RetryBudgets{}
	b.SetRatio(ratio, window)
	return b
}

// SetRatio changes the fleet's retry ratio and window. Requests and retries within the new window still count.
func (b *RetryBudgets) SetRatio(ratio float64, window time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	before := b.byPool
	b.ratio, b.window, b.byPool = ratio, window, map[string]*retryWindow{}
	for name, w := range before {
		resized := b.pool(name)
		resized.latestStart = w.latestStart
		copy(resized.slots, w.slots)
	}
}

// Deposit counts a request to a pool.
func (b *RetryBudgets) Deposit(now time.Time, pool string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.pool(pool).slot(now).requests++
}

// CanWithdraw reports whether the budget of a pool allows a retry.
func (b *RetryBudgets) CanWithdraw(now time.Time, pool string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.remaining(now, b.pool(pool)) >= 1
}

// TryWithdraw counts a retry at a pool and reports whether the budget allows it.
func (b *RetryBudgets) TryWithdraw(now time.Time, pool string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.remaining(now, b.pool(pool)) < 1 {
		return false
	}
	b.pool(pool).slot(now).retries++
	return true
}

// Remaining returns the number of retries that remain, by pool.
func (b *RetryBudgets) Remaining() map[string]int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	remaining, now := map[string]int64{}, time.Now()
	for name, w := range b.byPool {
		remaining[name] = int64(b.remaining(now, w))
	}
	return remaining
}

// remaining returns the number of retries that remain within a window; the lock must be held.
func (b *RetryBudgets) remaining(now time.Time, w *retryWindow) float64 {
	requests, retries := w.count(now)
	return hostRatioFactor*b.ratio*float64(requests) + minRetries - float64(retries)
}

// pool returns the window of a pool; the lock must be held.
func (b *RetryBudgets) pool(name string) *retryWindow {
	w, ok := b.byPool[name]
	if !ok {
		// One more slot than the window has, as the first one is only partly in it.
		w = &retryWindow{slots: make([]retrySlot, max(int(b.window/budgetSlot), 1)+1)}
		b.byPool[name] = w
	}
	return w
}

// slot returns the slot of a time. A time before the latest slot counts as in that one.
func (w *retryWindow) slot(now time.Time) *retrySlot {
	switch passed := int64(now.Sub(w.latestStart) / budgetSlot); {
	case passed >= int64(len(w.slots)):
		clear(w.slots)
		w.latestStart = now
	case passed > 0:
		copy(w.slots[passed:], w.slots)
		clear(w.slots[:passed])
		w.latestStart = w.latestStart.Add(time.Duration(passed) * budgetSlot)
	}
	return &w.slots[0]
}

// count returns the requests and retries in the window that ends now. Retries count for a slot longer than requests,
// so that the ratio holds for windows that begin within a slot.
func (w *retryWindow) count(now time.Time) (requests, retries int) {
	w.slot(now)
	for i, s := range w.slots {
		retries += s.retries
		if i < len(w.slots)-1 {
			requests += s.requests
		}
	}
	return requests, retries
}
