package readahead

import (
	"slices"
	"sync"
	"time"
)

const (
	// responseDivisor is the divisor of the total budget that gives the bound of one response, so that a few
	// callers that stop reading cannot take the room of all others.
	responseDivisor = 16
	// stalledAfter is how long a caller must have read nothing to count as not reading. Callers whose packets
	// are lost read nothing for about a second at times.
	stalledAfter = 2 * time.Second
)

// A Caller is the reader of a response.
type Caller interface {
	// HasRead reports whether the caller has read anything since the previous call. It is called with the
	// budget's lock held.
	HasRead() bool
	// RoomFreed says that a reservation that was refused may succeed now. It is called with the budget's lock
	// held and must not block.
	RoomFreed()
	// Cut ends the response, which must close its Holding soon.
	Cut(c Cut)
}

// A Cut says what a response held when it was selected to be cut off, and for how long its caller had read
// nothing.
type Cut struct {
	Held int64
	Idle time.Duration
}

// A Budget bounds the bytes that are held for slow callers. It is safe for concurrent use.
type Budget struct {
	maxTotal, maxPerResponse int64

	mu       sync.Mutex
	held     int64
	holdings map[*Holding]struct{}
	// beingFreed is the part of held that belongs to responses that were cut and are not closed yet.
	beingFreed int64
	// noneStalledBefore is a time before which no response can be cut. It saves a search by each of many
	// responses that wait for room.
	noneStalledBefore time.Time
	// waiting are the responses that were refused room in the total, the one that waits for longest first. They
	// are told one by one, since there is seldom room for all.
	waiting     []*Holding
	joined, cut int64
}

// NewBudget returns a budget of a number of bytes.
func NewBudget(maxTotal int64) *Budget {
	return &Budget{maxTotal: maxTotal, maxPerResponse: maxTotal / responseDivisor, holdings: map[*Holding]struct{}{}}
}

// Held returns the number of bytes that are held.
func (b *Budget) Held() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.held
}

// Responses returns the number of responses whose callers read slowly.
func (b *Budget) Responses() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return int64(len(b.holdings))
}

// CutCount returns how many responses were cut off.
func (b *Budget) CutCount() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.cut
}

// A Holding is what is held of one response.
type Holding struct {
	budget *Budget
	caller Caller
	// sequence is the order in which responses joined.
	sequence int64
	held     int64
	// idleSince is when the caller was last known to have read.
	idleSince time.Time
	isCut     bool
	// isWaiting is set while the response is in Budget.waiting.
	isWaiting bool
}

// Join adds a response of which n bytes are already held, whatever room there is.
func (b *Budget) Join(now time.Time, n int64, c Caller) *Holding {
	b.mu.Lock()
	b.joined++
	h := &Holding{budget: b, caller: c, sequence: b.joined, held: n, idleSince: now}
	b.holdings[h] = struct{}{}
	b.held += n
	victims := b.makeRoom(now, 0)
	b.mu.Unlock()
	cutAll(now, victims)
	return h
}

// Reserve takes room for n bytes more and reports whether there was any. If the budget is used up, it cuts
// responses off whose callers do not read; their room is free once they are closed.
func (h *Holding) Reserve(now time.Time, n int64) bool {
	b := h.budget
	b.mu.Lock()
	if h.isCut || h.held+n > b.maxPerResponse {
		b.mu.Unlock()
		return false
	}
	if b.held+n <= b.maxTotal {
		if h.held == 0 {
			// Until now there was nothing for the caller to read.
			h.idleSince = now
		}
		h.held += n
		b.held += n
		b.notifyNext()
		b.mu.Unlock()
		return true
	}
	if !h.isWaiting {
		h.isWaiting = true
		b.waiting = append(b.waiting, h)
	}
	victims := b.makeRoom(now, n)
	b.mu.Unlock()
	cutAll(now, victims)
	return false
}

// Release returns the room of n bytes that the caller has read.
func (h *Holding) Release(now time.Time, n int64) {
	h.budget.mu.Lock()
	defer h.budget.mu.Unlock()
	h.idleSince = now
	h.free(n)
}

// Return returns the room of n bytes that are no longer needed, although the caller has read nothing.
func (h *Holding) Return(n int64) {
	h.budget.mu.Lock()
	defer h.budget.mu.Unlock()
	h.free(n)
}

// Close returns all room and removes the response from the budget.
func (h *Holding) Close() {
	h.budget.mu.Lock()
	defer h.budget.mu.Unlock()
	h.free(h.held)
	delete(h.budget.holdings, h)
	if h.isWaiting {
		h.budget.waiting = slices.DeleteFunc(h.budget.waiting, func(other *Holding) bool { return other == h })
	}
}

// free returns the room of n bytes; the lock must be held.
func (h *Holding) free(n int64) {
	h.held -= n
	h.budget.held -= n
	if h.isCut {
		h.budget.beingFreed -= n
	}
	if n > 0 {
		h.budget.notifyNext()
	}
}

// notifyNext tells the response that has waited for longest if there is room; the lock must be held.
func (b *Budget) notifyNext() {
	if len(b.waiting) == 0 || b.held >= b.maxTotal {
		return
	}
	next := b.waiting[0]
	b.waiting = slices.Delete(b.waiting, 0, 1)
	next.isWaiting = false
	next.caller.RoomFreed()
}

// makeRoom selects responses to be cut until n bytes more fit, or until no caller is left that does not read.
// The lock must be held.
func (b *Budget) makeRoom(now time.Time, n int64) (victims []*Holding) {
	for b.held-b.beingFreed+n > b.maxTotal && !now.Before(b.noneStalledBefore) {
		h := firstToCut(now, b.holdings)
		if h == nil {
			b.noneStalledBefore = nextStalled(now, b.holdings)
			return victims
		}
		if h.caller.HasRead() {
			h.idleSince = now
			continue
		}
		h.isCut = true
		b.beingFreed += h.held
		b.cut++
		victims = append(victims, h)
	}
	return victims
}

// cutAll cuts responses off. The lock must not be held, since a response that is being cut may be about to
// release room.
func cutAll(now time.Time, victims []*Holding) {
	for _, h := range victims {
		h.caller.Cut(h.cutAt(now))
	}
}

func (h *Holding) cutAt(now time.Time) Cut {
	h.budget.mu.Lock()
	defer h.budget.mu.Unlock()
	return Cut{Held: h.held, Idle: now.Sub(h.idleSince)}
}

// isCuttable reports whether the response holds anything for a caller that does not read.
func (h *Holding) isCuttable(now time.Time) bool {
	return !h.isCut && h.held > 0 && now.Sub(h.idleSince) >= stalledAfter
}

// cost returns how much a response takes from others: the bytes held times how long nothing was read of them.
func (h *Holding) cost(now time.Time) float64 {
	return float64(h.held) * now.Sub(h.idleSince).Seconds()
}

// firstToCut returns the response that is cut first: the one with the greatest cost among those whose callers do
// not read, the earliest of equals; nil if all callers read.
func firstToCut(now time.Time, holdings map[*Holding]struct{}) *Holding {
	var first *Holding
	for h := range holdings {
		if !h.isCuttable(now) {
			continue
		}
		if first == nil || h.cost(now) > first.cost(now) || (h.cost(now) == first.cost(now) && h.sequence < first.sequence) {
			first = h
		}
	}
	return first
}

// nextStalled returns the earliest time at which a caller may count as not reading.
func nextStalled(now time.Time, holdings map[*Holding]struct{}) time.Time {
	next := now.Add(stalledAfter)
	for h := range holdings {
		if at := h.idleSince.Add(stalledAfter); !h.isCut && h.held > 0 && at.Before(next) {
			next = at
		}
	}
	return next
}
