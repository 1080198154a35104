package routing

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"jackdawhinge/common/targets"
)

const (
	// rowTTL is how long another owner's row is valid. After that the upstream counts as
	// carrying the mean, unless this host has requests on it.
	rowTTL = 30 * time.Second
	// meanTTL is how long a pool's mean load is cached, to avoid a pass over the pool for
	// each decision.
	meanTTL = 100 * time.Millisecond
	// maxRememberedMoves is the maximum number of moved chats that are remembered.
	maxRememberedMoves = 1 << 16
	// moveTTL is how long an idle chat stays where it was moved; after that its
	// cached prefix there has most likely been evicted.
	moveTTL = 10 * time.Minute
	// minBoundDivisor sets the minimum of the load bound, capacity/minBoundDivisor: in a
	// nearly idle fleet no skew is worth a cold cache.
	minBoundDivisor = 16
	// urgencyHeadroomRatio is the part of the mean by which the load bound falls with each
	// lower urgency.
	urgencyHeadroomRatio = 0.03
	// smoothingFactor is the weight of the newest value in an EWMA.
	smoothingFactor = 0.3
)

// A LoadRow is an upstream's load as its owner counted it, in tokens, and the age of that count.
type LoadRow struct {
	Upstream uint64
	Load     int64
	Age      time.Duration
	// Gone means that the sender's host list no longer has the upstream, or that it failed.
	Gone bool
}

// A Balancer places requests by the load of upstreams. It counts the load of those that
// this host owns, and has the load of the rest from other owners' rows.
type Balancer struct {
	mu     sync.Mutex
	loads  map[uint64]*upstreamLoad
	means  map[string]cachedMean
	moves  *simplelru.LRU[uint64, rememberedMove]
	random *rand.Rand
}

// cachedMean is the mean load of a pool, in tokens, at the time it was computed.
type cachedMean struct {
	pool       *Pool
	load       float64
	computedAt time.Time
}

// upstreamLoad is what is known of one upstream's load: ownTokens from this host's
// requests, foreignTokens from hosts with another list, and rowTokens from the owner's row.
type upstreamLoad struct {
	owned         bool
	ownTokens     int64
	ownTokensEWMA float64
	foreignTokens int64
	rowTokens     int64
	rowTime       time.Time
}

type rememberedMove struct {
	upstream uint64
	lastUsed time.Time
}

// NewBalancer returns a balancer without known loads that draws random numbers from source.
func NewBalancer(source rand.Source) *Balancer {
	moves, err := simplelru.NewLRU[uint64, rememberedMove](maxRememberedMoves, nil)
	if err != nil {
		panic(err)
	}
	return &Balancer{loads: map[uint64]*upstreamLoad{}, means: map[string]cachedMean{}, moves: moves, random: rand.New(source)}
}

// SetOwned sets which upstreams this host owns, and drops those that are in no pool and have no
// requests here.
func (b *Balancer) SetOwned(isOwned func(*Upstream) bool, pools map[string]*Pool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	known := make(map[uint64]*upstreamLoad, len(b.loads))
	for _, p := range pools {
		for _, u := range p.upstreams {
			l := b.loadOf(u.hash)
			l.owned = isOwned(u)
			known[u.hash] = l
		}
	}
	for hash, l := range b.loads {
		if l.ownTokens > 0 {
			known[hash] = l
		}
	}
	b.loads = known
}

// Start adds a request's cost, in tokens, to an upstream's load.
func (b *Balancer) Start(u *Upstream, cost int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.loadOf(u.hash).ownTokens += cost
}

// Finish subtracts a request's cost, in tokens, from an upstream's load.
func (b *Balancer) Finish(u *Upstream, cost int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.loadOf(u.hash).ownTokens -= cost
}

// ReportResident records an upstream's own, delayed report of its resident tokens. The excess
// over this host's requests was sent by hosts with another list; if it were not counted,
// two owners would each fill the upstream to its bound.
func (b *Balancer) ReportResident(u *Upstream, residentTokens int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	l := b.loadOf(u.hash)
	l.ownTokensEWMA += smoothingFactor * (float64(l.ownTokens) - l.ownTokensEWMA)
	l.foreignTokens = max(0, residentTokens-max(l.ownTokens, int64(l.ownTokensEWMA)))
}

// Row returns the row of an upstream that this host owns, with its load in tokens.
func (b *Balancer) Row(u *Upstream) LoadRow {
	b.mu.Lock()
	defer b.mu.Unlock()
	return LoadRow{Upstream: u.hash, Load: b.loadOf(u.hash).totalTokens()}
}

// Merge records rows of other owners; the newer of two rows on an upstream wins.
func (b *Balancer) Merge(now time.Time, rows []LoadRow) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, r := range rows {
		if r.Gone {
			continue
		}
		l := b.loadOf(r.Upstream)
		if at := now.Add(-r.Age); at.After(l.rowTime) {
			l.rowTokens, l.rowTime = r.Load, at
		}
	}
}

// Rows returns up to limit rows on a pool to send to another owner: this host's own, then
// the newest others.
func (b *Balancer) Rows(now time.Time, p *Pool, limit int) []LoadRow {
	b.mu.Lock()
	defer b.mu.Unlock()
	rows := make([]LoadRow, 0, len(p.upstreams))
	for _, u := range p.upstreams {
		l := b.loadOf(u.hash)
		switch {
		case l.owned:
			rows = append(rows, LoadRow{Upstream: u.hash, Load: l.totalTokens()})
		case now.Sub(l.rowTime) <= rowTTL:
			rows = append(rows, LoadRow{Upstream: u.hash, Load: l.rowTokens, Age: now.Sub(l.rowTime)})
		}
	}
	slices.SortStableFunc(rows, func(x, y LoadRow) int { return cmp.Compare(x.Age, y.Age) })
	return rows[:min(limit, len(rows))]
}

// Load returns an upstream's load in tokens, and false if it is unknown.
func (b *Balancer) Load(now time.Time, u *Upstream) (int64, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.knownLoad(now, u)
}

// Mean returns the mean load, in tokens, of the pool's upstreams whose load is known.
func (b *Balancer) Mean(now time.Time, p *Pool) float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.meanLoad(now, p)
}

// A Placement is an owner's decision on a request that reached it.
type Placement string

// The placements.
const (
	// Accept means that the request fits on the upstream it reached.
	Accept Placement = "accept"
	// Moved means that the request goes to another upstream.
	Moved Placement = "moved"
	// Linger means that the request waits a limited time for the upstream that likely has its
	// prefix cached, before it is moved.
	Linger Placement = "linger"
	// Wait means that the request waits for this upstream until its deadline.
	Wait Placement = "wait"
)

// MaxMoves is the number of moves after which a request waits instead of being moved again.
const MaxMoves = 3

// A Candidate is a chat's request for an upstream that this host owns; its cost is in tokens.
type Candidate struct {
	Chat      uint64
	Upstream  *Upstream
	Cost      int64
	Returning bool
	Urgency   targets.Urgency
	// MoveCount counts how often the request has been moved.
	MoveCount int
	// VisitedRows holds the loads of the upstreams that it was moved away from.
	VisitedRows []LoadRow
}

func (c Candidate) visited(u *Upstream) bool {
	return slices.ContainsFunc(c.VisitedRows, func(r LoadRow) bool { return r.Upstream == u.hash })
}

// Place decides whether a request is accepted, is moved to the returned upstream, or
// waits for the load of its upstream to fall.
func (b *Balancer) Place(now time.Time, p *Pool, c Candidate) (Placement, *Upstream) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if c.MoveCount < MaxMoves {
		if to := b.rememberedUpstream(now, p, c); to != nil && to != c.Upstream {
			return Moved, to
		}
	}
	current := b.loadOf(c.Upstream.hash).totalTokens()
	if !c.Returning && c.MoveCount < MaxMoves {
		// A new chat has no cached prefix, so it can balance the load before the bound is reached.
		if to := b.lessLoaded(now, p, c, current); to != nil {
			b.rememberMove(now, c, to)
			return Moved, to
		}
	}
	switch {
	case current+c.Cost <= b.loadBound(now, p, c.Upstream, c.Cost, c.Urgency):
		return Accept, c.Upstream
	case c.MoveCount >= MaxMoves:
		return Wait, c.Upstream
	case c.Returning:
		return Linger, c.Upstream
	}
	return b.moveElsewhere(now, p, c)
}

// Move decides on a request whose limited wait has ended: it is moved, or waits if no other
// upstream is better.
func (b *Balancer) Move(now time.Time, p *Pool, c Candidate) (Placement, *Upstream) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.moveElsewhere(now, p, c)
}

func (b *Balancer) moveElsewhere(now time.Time, p *Pool, c Candidate) (Placement, *Upstream) {
	to := b.alternative(now, p, c)
	if to == nil {
		return Wait, c.Upstream
	}
	b.rememberMove(now, c, to)
	return Moved, to
}

// rememberMove records where a chat is moved to, and counts its cost there until the
// next row arrives; otherwise all concurrent requests would pick the same lightly loaded
// upstream and overload it.
func (b *Balancer) rememberMove(now time.Time, c Candidate, to *Upstream) {
	b.moves.Add(c.Chat, rememberedMove{upstream: to.hash, lastUsed: now})
	if l := b.loadOf(to.hash); !l.owned {
		l.rowTokens += c.Cost
	}
}

// lessLoaded returns the least loaded of a new chat's candidates, or nil if the current
// upstream would stay below the mean or no candidate is less loaded.
func (b *Balancer) lessLoaded(now time.Time, p *Pool, c Candidate, current int64) *Upstream {
	mean := b.meanLoad(now, p)
	if float64(current+c.Cost) <= mean || current+c.Cost <= c.Upstream.capacity/minBoundDivisor {
		return nil
	}
	var best *Upstream
	bestLoad := min(current-c.Cost, int64(mean))
	for _, u := range p.Rank(c.Chat) {
		if l, ok := b.knownLoad(now, u); ok && u != c.Upstream && l < bestLoad && !c.visited(u) {
			best, bestLoad = u, l
		}
	}
	return best
}

// Fits reports whether a request of that cost, in tokens, stays within the load bound of an
// upstream this host owns.
func (b *Balancer) Fits(now time.Time, p *Pool, u *Upstream, cost int64, urgency targets.Urgency) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.loadOf(u.hash).totalTokens()+cost <= b.loadBound(now, p, u, cost, urgency)
}

// MovedChats returns the number of moved chats that are remembered.
func (b *Balancer) MovedChats() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.moves.Len()
}

// rememberedUpstream returns the upstream the chat was last moved to, if its prefix is
// likely still cached there.
func (b *Balancer) rememberedUpstream(now time.Time, p *Pool, c Candidate) *Upstream {
	chat := c.Chat
	m, ok := b.moves.Get(chat)
	if !ok {
		return nil
	}
	// A host with a newer list returns a request that was moved to an upstream which has
	// left; moving it there again would use up its attempts.
	if now.Sub(m.lastUsed) > moveTTL || slices.ContainsFunc(c.VisitedRows, func(r LoadRow) bool { return r.Gone && r.Upstream == m.upstream }) {
		b.moves.Remove(chat)
		return nil
	}
	for _, u := range p.upstreams {
		if u.hash == m.upstream {
			b.moves.Add(chat, rememberedMove{upstream: u.hash, lastUsed: now})
			return u
		}
	}
	b.moves.Remove(chat)
	return nil
}

// loadBound returns the maximum load of an upstream in tokens, including the new request:
// the mean times the load multiple. It is lower for less urgent requests, to leave room
// for urgent ones.
func (b *Balancer) loadBound(now time.Time, p *Pool, u *Upstream, cost int64, urgency targets.Urgency) int64 {
	if len(p.upstreams) < 2 {
		return unlimitedLoad
	}
	mean := b.meanLoad(now, p) + float64(cost)/float64(len(p.upstreams))
	// One request must always fit, or nothing could be placed at low load.
	return max(int64((p.loadMultiple-urgencyHeadroomRatio*float64(urgency.Rank()))*mean), u.capacity/minBoundDivisor, cost)
}

func (b *Balancer) meanLoad(now time.Time, p *Pool) float64 {
	m := b.means[p.model]
	if m.pool == p && now.Sub(m.computedAt) < meanTTL {
		return m.load
	}
	sum, n := int64(0), 0
	for _, u := range p.upstreams {
		if load, ok := b.knownLoad(now, u); ok {
			sum += load
			n++
		}
	}
	m = cachedMean{pool: p, load: float64(sum) / float64(max(n, 1)), computedAt: now}
	b.means[p.model] = m
	return m.load
}

// alternative returns the chat's best other candidate that has room, or else the less
// loaded of two random upstreams, or nil if neither is less loaded than the current one.
func (b *Balancer) alternative(now time.Time, p *Pool, c Candidate) *Upstream {
	limit := b.loadBound(now, p, c.Upstream, c.Cost, c.Urgency)
	for _, u := range p.Rank(c.Chat) {
		if load, ok := b.knownLoad(now, u); u != c.Upstream && ok && load+c.Cost <= limit && !c.visited(u) {
			return u
		}
	}
	var best *Upstream
	bestLoad := b.loadOf(c.Upstream.hash).totalTokens()
	for range 2 {
		u := p.upstreams[b.random.IntN(len(p.upstreams))]
		if load, ok := b.knownLoad(now, u); u != c.Upstream && ok && load < bestLoad {
			best, bestLoad = u, load
		}
	}
	return best
}

func (b *Balancer) knownLoad(now time.Time, u *Upstream) (int64, bool) {
	l := b.loadOf(u.hash)
	switch {
	case l.owned:
		return l.totalTokens(), true
	case now.Sub(l.rowTime) <= rowTTL:
		return max(l.rowTokens, l.ownTokens), true
	default:
		return l.ownTokens, l.ownTokens > 0
	}
}

func (b *Balancer) loadOf(hash uint64) *upstreamLoad {
	l, ok := b.loads[hash]
	if !ok {
		l = &upstreamLoad{}
		b.loads[hash] = l
	}
	return l
}

func (l *upstreamLoad) totalTokens() int64 {
	return l.ownTokens + l.foreignTokens
}
