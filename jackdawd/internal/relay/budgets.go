package relay

import (
	"sync"

	"jackdawhinge/jackdawd/internal/dispatch"
)

const (
	// hostRatioFactor is the fraction of the fleet's retry ratio that a host may use for its own
	// requests. Hosts do not know each other's retries; if each stays below the ratio of its own
	// requests, the fleet does too.
	hostRatioFactor = 0.75
	// maxBurst is how many retries a host may make at once, and how many it starts with.
	maxBurst = 2
)

// RetryBudgets holds a retry budget for each pool. It is safe for concurrent use.
type RetryBudgets struct {
	ratio  float64
	mu     sync.Mutex
	byPool map[string]*dispatch.RetryBudget
}

// NewRetryBudgets returns budgets for a ratio of retries to requests that the whole fleet must keep.
func NewRetryBudgets(ratio float64) *RetryBudgets {
	return &RetryBudgets{ratio: ratio * hostRatioFactor, byPool: map[string]*dispatch.RetryBudget{}}
}

// SetRatio changes the fleet's retry ratio; a different ratio resets all budgets.
func (b *RetryBudgets) SetRatio(ratio float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if ratio*hostRatioFactor != b.ratio {
		b.ratio = ratio * hostRatioFactor
		clear(b.byPool)
	}
}

// Deposit adds the retry credit of one request to a pool's budget.
func (b *RetryBudgets) Deposit(pool string) { b.pool(pool).Deposit() }

// TryWithdraw takes one retry from a pool's budget and reports whether there was one.
func (b *RetryBudgets) TryWithdraw(pool string) bool { return b.pool(pool).TryWithdraw() }

// Remaining returns the number of retries that remain, by pool.
func (b *RetryBudgets) Remaining() map[string]int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	remaining := map[string]int64{}
	for name, budget := range b.byPool {
		remaining[name] = int64(budget.Balance())
	}
	return remaining
}

func (b *RetryBudgets) pool(name string) *dispatch.RetryBudget {
	b.mu.Lock()
	defer b.mu.Unlock()
	budget, ok := b.byPool[name]
	if !ok {
		budget = dispatch.NewRetryBudgetWithRatio(b.ratio, maxBurst)
		b.byPool[name] = budget
	}
	return budget
}
