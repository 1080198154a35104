package placement

import (
	"math"
	"slices"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"jackdawhinge/common/traffic"
	"jackdawhinge/jackdawd/internal/routing"
)

const (
	// coldBurst is how many requests a sender may send to a cold upstream at once.
	coldBurst = 1
	// coldLimitRatio is the part of what a cold upstream may get that its senders share. The rest is
	// for hosts that count themselves among the senders because they know another list of hosts.
	coldLimitRatio = 0.75
	// requestsPerSender is how many requests within a second each sender should be able to send. With
	// fewer senders, hosts find too few cold upstreams that they may use; with more, the bursts of
	// all leave nothing for a steady rate.
	requestsPerSender = 3.2
	// unusedLimitTTL is how long the limit of an upstream is kept after its last use.
	unusedLimitTTL = time.Minute
)

// ColdTolerance is how many requests within a second a cold upstream may get: its pool's ColdRate
// times Overrun, and Slack more.
type ColdTolerance struct {
	Overrun float64
	Slack   float64
}

// limit returns the maximum number of requests within a second.
func (t ColdTolerance) limit(coldRate float64) float64 { return max(t.Overrun, 1)*coldRate + t.Slack }

// A ColdLimiter limits the requests that this host sends to cold upstreams, so that all hosts
// together do not exceed what one bears. For each upstream a few hosts, the senders, are chosen by
// rendezvous hashing and have fixed shares. No host learns of the others' requests in time for any
// other division: an upstream is cold for a few seconds.
type ColdLimiter struct {
	self uint64
	// hosts returns the names of all hosts, this one included, or none if they are not known.
	hosts     func() []string
	tolerance func() ColdTolerance
	mu        sync.Mutex
	limits    map[traffic.UpstreamInstance]*coldLimit
}

// coldLimit is this host's share of the requests to one cold upstream.
type coldLimit struct {
	limiter  *rate.Limiter
	coldRate float64
	usedAt   time.Time
	// isSender is set if this host is a sender among hosts.
	isSender bool
	hosts    []string
}

// NewColdLimiter returns a limiter of the host with the given name. hosts returns the names of all
// hosts, or none if they are not known.
func NewColdLimiter(self string, hosts func() []string, tolerance func() ColdTolerance) *ColdLimiter {
	return &ColdLimiter{self: routing.NameHash(self), hosts: hosts, tolerance: tolerance, limits: map[traffic.UpstreamInstance]*coldLimit{}}
}

// Accepts reports whether this host may send a request to a cold upstream now.
func (l *ColdLimiter) Accepts(now time.Time, u *traffic.Upstream, coldRate float64) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	c := l.limit(now, u, coldRate)
	return c.isSender && c.limiter.TokensAt(now) >= 1
}

// Take counts a request to a cold upstream and reports whether this host may send it.
func (l *ColdLimiter) Take(now time.Time, u *traffic.Upstream, coldRate float64) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	c := l.limit(now, u, coldRate)
	return c.isSender && c.limiter.AllowN(now, 1)
}

// RemoveUnused drops the limits of upstreams that have not been used for a minute.
func (l *ColdLimiter) RemoveUnused(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for instance, limit := range l.limits {
		if now.Sub(limit.usedAt) > unusedLimitTTL {
			delete(l.limits, instance)
		}
	}
}

// limit returns this host's share of an upstream's requests; the lock must be held.
func (l *ColdLimiter) limit(now time.Time, u *traffic.Upstream, coldRate float64) *coldLimit {
	maxRequests := l.tolerance().limit(coldRate)
	c, ok := l.limits[u.Instance()]
	if !ok || c.coldRate != coldRate {
		c = &coldLimit{limiter: rate.NewLimiter(rate.Limit(senderRate(coldRate, maxRequests)), coldBurst), coldRate: coldRate}
		l.limits[u.Instance()] = c
	}
	if hosts := l.hosts(); !ok || !isSameSlice(hosts, c.hosts) {
		c.hosts, c.isSender = hosts, l.isSender(u, hosts, senderCount(maxRequests))
	}
	c.usedAt = now
	return c
}

// isSameSlice reports whether two slices are one, without comparing their elements.
func isSameSlice(a, b []string) bool {
	return len(a) == len(b) && (len(a) == 0 || &a[0] == &b[0])
}

// senderCount returns how many hosts may send to an upstream that may get a number of requests
// within a second.
func senderCount(limit float64) int {
	return max(int(math.Round(limit/requestsPerSender)), 1)
}

// senderRate returns the steady rate of requests per second of one sender. A sender sends its burst
// and the requests of its rate within one second.
func senderRate(coldRate, limit float64) float64 {
	senders := float64(senderCount(limit))
	steady := coldLimitRatio*limit/senders - coldBurst
	if steady <= 0 {
		// An upstream that bears hardly any requests still gets some.
		return coldRate / 2
	}
	return min(steady, coldRate/senders)
}

// isSender reports whether this host is one of the count hosts that may send to an upstream.
func (l *ColdLimiter) isSender(u *traffic.Upstream, hosts []string, count int) bool {
	if len(hosts) == 0 {
		return false
	}
	own, ahead := routing.RendezvousScore(u.Hash, l.self), 0
	for _, host := range hosts {
		if routing.RendezvousScore(u.Hash, routing.NameHash(host)) > own {
			if ahead++; ahead >= count {
				return false
			}
		}
	}
	return true
}

// coldShare returns the share of a pool's requests that should go to its cold upstreams. While enough
// are warm these get nothing, as their prompts are cached elsewhere. With fewer, the warm ones would
// exceed the load multiple.
func coldShare(warm, cold int, loadMultiple float64) float64 {
	if warm == 0 {
		return 1
	}
	return max(1-warmLoadRatio*loadMultiple*float64(warm)/float64(warm+cold), 0)
}

// warmLoadRatio is the part of the load multiple up to which warm upstreams take the requests of cold
// ones.
const warmLoadRatio = 0.75

// A Temperature sorts the candidates of a request into warm and cold upstreams.
type Temperature struct {
	// Warm are the upstreams that are not cold, Cold the cold ones that this host may send to now.
	// Both are parallel to the candidates, and nil if no upstream is cold.
	Warm, Cold          []bool
	warmCount, coldOpen int
	coldCount           int
}

// NewTemperature returns the temperature of candidates; accepts reports whether this host may send to
// a cold one.
func NewTemperature(upstreams []*traffic.Upstream, isCold, accepts func(*traffic.Upstream) bool) Temperature {
	var t Temperature
	for i, u := range upstreams {
		if !isCold(u) {
			continue
		}
		if t.Warm == nil {
			t.Warm, t.Cold = slices.Repeat([]bool{true}, len(upstreams)), make([]bool, len(upstreams))
		}
		t.Warm[i] = false
		t.coldCount++
		if accepts(u) {
			t.Cold[i] = true
			t.coldOpen++
		}
	}
	t.warmCount = len(upstreams) - t.coldCount
	return t
}

// Usable returns the candidates to choose from, nil for all, and false if there are none. random is a
// number from 0 to 1 that differs between requests.
func (t Temperature) Usable(loadMultiple, random float64) (usable []bool, ok bool) {
	switch {
	case t.coldCount == 0:
		return nil, t.warmCount > 0
	case t.coldOpen > 0 && random < coldShare(t.warmCount, t.coldCount, loadMultiple):
		return t.Cold, true
	default:
		return t.Warm, t.warmCount > 0
	}
}

// IdleRatio returns the ratio of upstreams that get nothing while enough are warm: the cold ones, and
// a number that are evacuated and no candidates.
func (t Temperature) IdleRatio(evacuated int) float64 {
	return float64(t.coldCount+evacuated) / float64(max(t.warmCount+t.coldCount+evacuated, 1))
}

// HasOpenCold reports whether this host may send to any cold candidate.
func (t Temperature) HasOpenCold() bool { return t.coldOpen > 0 }

// AllCold reports whether there are candidates and none is warm.
func (t Temperature) AllCold() bool { return t.coldCount > 0 && t.warmCount == 0 }
