package dispatch

import "sync"

const (
	// retryShare is how many retries each first try adds to the budget.
	retryShare = 0.1
	// maxRetries bounds the budget, and is what a new host starts with.
	maxRetries = 20
)

// A Budget bounds a host's retries to a share of its first tries, so that an
// outage of upstreams raises the load on the rest by that share at most.
type Budget struct {
	mu    sync.Mutex
	left  float64
	share float64
	most  float64
}

// NewBudget returns a full budget.
func NewBudget() *Budget {
	return NewBudgetOf(retryShare, maxRetries)
}

// NewBudgetOf returns a full budget to which each first try adds a share of a retry, up to the most given.
func NewBudgetOf(share, most float64) *Budget {
	return &Budget{left: most, share: share, most: most}
}

// Earn counts a first try.
func (b *Budget) Earn() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.left = min(b.most, b.left+b.share)
}

// Spend reports whether a retry may be made, and counts it.
func (b *Budget) Spend() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.left < 1 {
		return false
	}
	b.left--
	return true
}

// Left returns how many retries may be made, fractions included.
func (b *Budget) Left() float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.left
}
