package placement

import (
	"math"
	"sync"
	"time"

	lru "github.com/hashicorp/golang-lru/v2"
)

const (
	// burstWindow is the time over which a burst is detected, and minBurstRequests the least number
	// of requests in it. At a host with a few requests a second, fewer coincide by chance.
	burstWindow      = 300 * time.Millisecond
	minBurstRequests = 4
	// burstThreshold is the ratio of a burst's request rate to the baseline.
	burstThreshold = 3
	// baselineWindow is the time over which the baseline rate is averaged.
	baselineWindow = 5 * time.Second
	// meanDurationRequests is the number of requests over which durations are averaged, and
	// initialDuration the average before any request has ended.
	meanDurationRequests = 8
	initialDuration      = time.Second
	// lifetimeRequests is the number of requests over which the durations of requests in progress
	// and of classes are averaged.
	lifetimeRequests = 32
	// maxClasses bounds the classes whose durations are kept.
	maxClasses = 1024
)

// RequestStats measures, per pool, how fast requests arrive at this host and how long they take.
//
// A plan's loads are at least planLag old. If requests take longer than that, the plan still
// describes many of those in progress. It says nothing of shorter ones, or of a burst that has just
// begun: hosts that all leave the most loaded engines by it overload the other ones together, and
// half a second later all of them go back.
type RequestStats struct {
	mu    sync.Mutex
	pools map[string]*poolStats
	// classes holds the mean duration of responses per class of requests, named after its route.
	classes *lru.Cache[string, time.Duration]
}

// NewRequestStats returns empty statistics.
func NewRequestStats() *RequestStats {
	// The only error is a size that isn't positive.
	classes, _ := lru.New[string, time.Duration](maxClasses)
	return &RequestStats{pools: map[string]*poolStats{}, classes: classes}
}

// RecordStart records that a request was sent to a pool.
func (s *RequestStats) RecordStart(now time.Time, pool string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.poolStats(now, pool).recordStart(now)
}

// RecordEnd records how long a response took, for its pool and class.
func (s *RequestStats) RecordEnd(now time.Time, pool, class string, took time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.poolStats(now, pool)
	p.meanDuration += (took - p.meanDuration) / meanDurationRequests
	p.meanSquareSeconds += (took.Seconds()*took.Seconds() - p.meanSquareSeconds) / lifetimeRequests
	p.meanSeconds += (took.Seconds() - p.meanSeconds) / lifetimeRequests
	if previous, ok := s.classes.Get(class); ok {
		took = previous + (took-previous)/lifetimeRequests
	}
	s.classes.Add(class, took)
}

// MeanDuration returns the mean duration of responses to a class of requests.
func (s *RequestStats) MeanDuration(class string) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if took, ok := s.classes.Get(class); ok {
		return took
	}
	return initialDuration
}

// MeanLifetime returns the mean duration of a pool's requests in progress. It is longer than the
// mean of all requests, as long requests are in progress more of the time.
func (s *RequestStats) MeanLifetime(now time.Time, pool string) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.poolStats(now, pool)
	if p.meanSeconds <= 0 {
		return 0
	}
	return time.Duration(p.meanSquareSeconds / p.meanSeconds * float64(time.Second))
}

// ReportsLag reports whether a pool's requests arrive or end faster than hosts can report them to
// each other.
func (s *RequestStats) ReportsLag(now time.Time, pool string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	p, ok := s.pools[pool]
	return ok && (p.meanDuration < planLag || p.isBurst(now))
}

func (s *RequestStats) poolStats(now time.Time, pool string) *poolStats {
	p, ok := s.pools[pool]
	if !ok {
		initialSeconds := initialDuration.Seconds()
		p = &poolStats{startedAt: now, rateUpdatedAt: now, meanDuration: initialDuration, meanSeconds: initialSeconds, meanSquareSeconds: initialSeconds * initialSeconds}
		s.pools[pool] = p
	}
	return p
}

// poolStats holds the statistics of one pool.
type poolStats struct {
	// recent holds the start times of requests within burstWindow.
	recent []time.Time
	// rate is the EWMA of requests per second, from startedAt to rateUpdatedAt.
	rate                     float64
	startedAt, rateUpdatedAt time.Time
	// meanDuration is the EWMA of durations over meanDurationRequests.
	meanDuration time.Duration
	// meanSeconds and meanSquareSeconds are the EWMAs of durations and of their squares over
	// lifetimeRequests.
	meanSeconds, meanSquareSeconds float64
}

func (p *poolStats) recordStart(now time.Time) {
	p.recent = append(p.recent, now)
	for now.Sub(p.recent[0]) > burstWindow {
		p.recent = p.recent[1:]
	}
	p.rate = p.rate*math.Exp(-now.Sub(p.rateUpdatedAt).Seconds()/baselineWindow.Seconds()) + 1/baselineWindow.Seconds()
	p.rateUpdatedAt = now
}

// baselineRate returns the usual number of requests per second. Until the statistics cover
// baselineWindow, as after the host has started, the average is corrected for the missing time.
func (p *poolStats) baselineRate(now time.Time) float64 {
	decay := math.Exp(-now.Sub(p.rateUpdatedAt).Seconds() / baselineWindow.Seconds())
	covered := 1 - math.Exp(-max(now.Sub(p.startedAt), burstWindow).Seconds()/baselineWindow.Seconds())
	return p.rate * decay / covered
}

// isBurst reports whether requests arrive much faster than the baseline rate.
func (p *poolStats) isBurst(now time.Time) bool {
	n := 0
	for _, at := range p.recent {
		if now.Sub(at) <= burstWindow {
			n++
		}
	}
	return n >= minBurstRequests && float64(n)/burstWindow.Seconds() > burstThreshold*p.baselineRate(now)
}
