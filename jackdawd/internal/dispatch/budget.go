package dispatch

import "sync"

const (
	// retryRatio is how many retries each first attempt adds to the budget.
	retryRatio = 0.1
	// maxRetryBalance bounds the accumulated retries; a new host starts with it.
	maxRetryBalance = 20
)

// A RetryBudget limits a host's retries to a ratio of its first attempts, so that an
// outage of some upstreams raises the load on the others by that ratio at most.
type RetryBudget struct {
	mu         sync.Mutex
	balance    float64
	ratio      float64
	maxBalance float64
}

// NewRetryBudget returns a full budget with the default ratio and maximum.
func NewRetryBudget() *RetryBudget {
	return NewRetryBudgetWithRatio(retryRatio, maxRetryBalance)
}

// NewRetryBudgetWithRatio returns a full budget: each first attempt adds ratio retries, up to maxBalance.
func NewRetryBudgetWithRatio(ratio, maxBalance float64) *RetryBudget {
	return &RetryBudget{balance: maxBalance, ratio: ratio, maxBalance: maxBalance}
}

// Deposit credits the budget for a first attempt.
func (b *RetryBudget) Deposit() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.balance = min(b.maxBalance, b.balance+b.ratio)
}

// TryWithdraw withdraws one retry, and reports whether the budget allowed it.
func (b *RetryBudget) TryWithdraw() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.balance < 1 {
		return false
	}
	b.balance--
	return true
}

// Balance returns the retries available, fractions included.
func (b *RetryBudget) Balance() float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.balance
}
