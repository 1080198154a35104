package relay

import (
	"sync"

	"jackdawhinge/jackdawd/internal/dispatch"
)

const (
	// localShare is the part of the fleet's retry ratio that a host's own requests
	// earn. Hosts do not know each other's retries; if each keeps below its own
	// requests' part, all together keep below the whole.
	localShare = 0.75
	// burst is how many retries a host may make at once, and has at its start.
	burst = 2
)

// Budgets holds the retries that may still be made to each pool.
type Budgets struct {
	ratio float64
	mu    sync.Mutex
	pools map[string]*dispatch.Budget
}

// NewBudgets returns budgets that earn a share of a retry with each request, as all hosts together may.
func NewBudgets(ratio float64) *Budgets {
	return &Budgets{ratio: ratio * localShare, pools: map[string]*dispatch.Budget{}}
}

// SetRatio puts another ratio into force; what has been earned is forgotten.
func (b *Budgets) SetRatio(ratio float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if ratio*localShare != b.ratio {
		b.ratio = ratio * localShare
		clear(b.pools)
	}
}

// Earn counts a request to a pool.
func (b *Budgets) Earn(pool string) { b.pool(pool).Earn() }

// Spend reports whether a retry may be sent to a pool, and counts it.
func (b *Budgets) Spend(pool string) bool { return b.pool(pool).Spend() }

// Left returns how many retries may be made to each pool.
func (b *Budgets) Left() map[string]int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	left := map[string]int64{}
	for name, p := range b.pools {
		left[name] = int64(p.Left())
	}
	return left
}

func (b *Budgets) pool(name string) *dispatch.Budget {
	b.mu.Lock()
	defer b.mu.Unlock()
	p, ok := b.pools[name]
	if !ok {
		p = dispatch.NewBudgetOf(b.ratio, burst)
		b.pools[name] = p
	}
	return p
}
