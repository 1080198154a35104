package placement

import (
	"math"
	"math/rand/v2"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"jackdawhinge/common/traffic"
)

const (
	// brittleTTL is how long a pool counts as brittle after the last response that says so.
	brittleTTL = 2 * time.Second
	// brittleRejectionRatio is the part of the rejections that a brittle upstream bears which hosts
	// cause together when all of them are rejected.
	brittleRejectionRatio = 0.5
	// The time for which a rejected host sends a brittle upstream nothing.
	minBrittlePause = time.Second
	maxBrittlePause = 5 * time.Second
	// brittleReportTTL is how long an upstream that reported no free slot gets nothing for it.
	brittleReportTTL = 200 * time.Millisecond
	// brittleLoadRatio is the part of its slots that a brittle upstream uses in the mean if nobody
	// leases them. The rest absorbs requests that hosts send at the same moment.
	brittleLoadRatio = 0.3
	// minDominantRatio is how many times the requests of all other hosts a host must have at a brittle
	// upstream to use more than its share, in the mean over about dominanceWindow. When all hosts get
	// more requests, none has that many.
	minDominantRatio = 2
	dominanceWindow  = time.Second
	// minBrittleDuration is the mean duration of requests if it is not known.
	minBrittleDuration = 50 * time.Millisecond
)

// Brittleness limits the requests of this host to brittle upstreams, which fail if they reject too
// many within a second. What other hosts send at the same moment is not known in time, so each host
// uses a fixed share of an upstream's slots: together they need hardly more than there are. Where
// there are too many hosts for that, each request needs a lease of a slot. It is safe for concurrent
// use.
type Brittleness struct {
	mu    sync.Mutex
	pools map[string]*brittlePool
}

// brittlePool is a pool whose upstreams were brittle at seenAt and bear limit rejections a second.
type brittlePool struct {
	limit       int
	seenAt      time.Time
	pausedUntil map[traffic.UpstreamInstance]time.Time
	limiters    map[traffic.UpstreamInstance]*rate.Limiter
	meanLoads   map[traffic.UpstreamInstance]*meanLoad
}

// meanLoad is the mean of an upstream's load over about dominanceWindow.
type meanLoad struct {
	own, others float64
	updatedAt   time.Time
}

// add updates the mean with a load.
func (m *meanLoad) add(now time.Time, load Load) {
	weight := 1 - math.Exp(-now.Sub(m.updatedAt).Seconds()/dominanceWindow.Seconds())
	m.own += weight * (load.Own - m.own)
	m.others += weight * (load.Others - m.others)
	m.updatedAt = now
}

// isDominant reports whether this host has far more requests there than all others.
func (m *meanLoad) isDominant() bool { return m.own > minDominantRatio*m.others }

// A BrittleShare is what determines a host's share of a brittle upstream.
type BrittleShare struct {
	// Hosts is the number of hosts of the fleet.
	Hosts int
	// MeanDuration is the mean duration of requests; 0 if not known.
	MeanDuration time.Duration
}

// NewBrittleness returns a Brittleness without brittle pools.
func NewBrittleness() *Brittleness { return &Brittleness{pools: map[string]*brittlePool{}} }

// Record records the rejections a second that an upstream of a pool says it bears, 0 if it does not
// say that it is brittle.
func (b *Brittleness) Record(now time.Time, pool string, limit int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	p, ok := b.pools[pool]
	if limit <= 0 {
		if ok && now.Sub(p.seenAt) > brittleTTL {
			delete(b.pools, pool)
		}
		return
	}
	if !ok {
		p = &brittlePool{pausedUntil: map[traffic.UpstreamInstance]time.Time{}, limiters: map[traffic.UpstreamInstance]*rate.Limiter{}, meanLoads: map[traffic.UpstreamInstance]*meanLoad{}}
		b.pools[pool] = p
	}
	p.limit, p.seenAt = limit, now
}

// RecordRejection records that a brittle upstream rejected a request of this host for lack of room.
func (b *Brittleness) RecordRejection(now time.Time, u *traffic.Upstream, share BrittleShare) {
	b.mu.Lock()
	defer b.mu.Unlock()
	p := b.pool(now, u)
	if p == nil {
		return
	}
	seconds := float64(max(share.Hosts, 1)) / (brittleRejectionRatio * float64(p.limit))
	pause := min(max(time.Duration(seconds*float64(time.Second)), minBrittlePause), maxBrittlePause)
	// Without jitter hosts that were rejected together would return together.
	p.pausedUntil[u.Instance()] = now.Add(pause + rand.N(pause))
}

// IsBrittle reports whether the upstreams of a pool are brittle.
func (b *Brittleness) IsBrittle(now time.Time, pool string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	p, ok := b.pools[pool]
	return ok && now.Sub(p.seenAt) <= brittleTTL
}

// Accepts reports whether this host may send another request to an upstream with the given load.
func (b *Brittleness) Accepts(now time.Time, u *traffic.Upstream, load Load, share BrittleShare) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	p := b.pool(now, u)
	if p == nil {
		return true
	}
	p.meanLoad(now, u).add(now, load)
	switch {
	case now.Before(p.pausedUntil[u.Instance()]):
		return false
	case p.needsLease(u, share):
		return load.Own+load.Others < float64(u.Slots) || load.Age >= brittleReportTTL
	}
	return int(load.Own) < ownSlots(u, share)
}

// Take reports whether this host may send a request to an upstream, and whether it needs a lease of
// one of its slots for that; own counts this host's requests there, this one included.
func (b *Brittleness) Take(now time.Time, u *traffic.Upstream, own int, share BrittleShare) (ok, needsLease bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	p := b.pool(now, u)
	switch {
	case p == nil:
		return true, false
	case p.needsLease(u, share):
		return true, true
	}
	return own <= ownSlots(u, share), false
}

// SpareSlots returns how many of an upstream's slots hosts may lease together beyond their shares, by its
// latest report. Where most callers come to one host, the shares of the others are idle.
func (b *Brittleness) SpareSlots(now time.Time, u *traffic.Upstream, load Load, share BrittleShare) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	p := b.pool(now, u)
	if p == nil || p.needsLease(u, share) || now.Before(p.pausedUntil[u.Instance()]) || load.Age >= brittleReportTTL {
		return 0
	}
	if load.Own+load.Others >= float64(u.Slots) || !p.meanLoad(now, u).isDominant() {
		return 0
	}
	return max(u.Slots-int(math.Ceil(load.Others))-ownSlots(u, share), 0)
}

// TakeWithoutLease counts a request that gets no lease as no host answers, and reports whether this
// host may send it.
func (b *Brittleness) TakeWithoutLease(now time.Time, u *traffic.Upstream, own int, share BrittleShare) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	p := b.pool(now, u)
	return p == nil || own <= 1 && p.limiter(now, u, share).AllowN(now, 1)
}

// needsLease reports whether one request of each host at a time may be more than the upstream bears.
func (p *brittlePool) needsLease(u *traffic.Upstream, share BrittleShare) bool {
	return share.Hosts > u.Slots+p.limit
}

// meanLoad returns the mean load of an upstream; one that is new begins as if others had it all.
func (p *brittlePool) meanLoad(now time.Time, u *traffic.Upstream) *meanLoad {
	m, ok := p.meanLoads[u.Instance()]
	if !ok {
		m = &meanLoad{others: float64(u.Slots), updatedAt: now}
		p.meanLoads[u.Instance()] = m
	}
	return m
}

// pool returns the state of an upstream's pool, or nil if it is not brittle. The lock must be held.
func (b *Brittleness) pool(now time.Time, u *traffic.Upstream) *brittlePool {
	p, ok := b.pools[u.Pool]
	if !ok || now.Sub(p.seenAt) > brittleTTL || u.Slots == 0 {
		return nil
	}
	return p
}

// ownSlots returns this host's share of an upstream's slots, 1 at least.
func ownSlots(u *traffic.Upstream, share BrittleShare) int {
	return max(u.Slots/max(share.Hosts, 1), 1)
}

// limiter returns the limiter of this host's requests to an upstream whose slots nobody leases.
func (p *brittlePool) limiter(now time.Time, u *traffic.Upstream, share BrittleShare) *rate.Limiter {
	duration := max(share.MeanDuration, minBrittleDuration)
	perSecond := rate.Limit(brittleLoadRatio * float64(u.Slots) / float64(share.Hosts) / duration.Seconds())
	l, ok := p.limiters[u.Instance()]
	if !ok {
		l = rate.NewLimiter(perSecond, 1)
		// The first requests of all hosts must not come together.
		l.AllowN(now, 1)
		p.limiters[u.Instance()] = l
	}
	if math.Abs(float64(l.Limit()-perSecond)) > 0.1*float64(perSecond) {
		l.SetLimit(perSecond)
	}
	return l
}
