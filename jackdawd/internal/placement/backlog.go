package placement

import (
	"time"

	"jackdawhinge/common/traffic"
)

// meanLifetimes is for how many lifetimes of requests a report counts in the mean backlog of its pool, which changes
// more slowly than that of one upstream. With longer times hosts refuse requests because of queues that are gone.
const meanLifetimes = 2

// A Backlog is the work that an upstream has before it can begin the next request.
type Backlog struct {
	// Running is the number of requests that it works on, Waiting of those not yet begun.
	Running float64
	Waiting float64
	// HadQueue is set if requests waited at the time of the newest report, however old that is.
	HadQueue bool
	// Pace is how long work is expected to take there, as a multiple of the usual; 0 if the upstream
	// has not reported it lately.
	Pace float64
}

// Backlog returns the backlog of an upstream as far as this host knows it.
func (l *Loads) Backlog(now time.Time, u *traffic.Upstream) Backlog {
	l.mu.Lock()
	defer l.mu.Unlock()
	e, ok := l.byHash[u.ShortHash()]
	if !ok {
		return Backlog{}
	}
	r := e.newest()
	if weight := r.weight(now); weight > 0 {
		return e.backlog(now, u, weight)
	}
	return Backlog{Running: float64(e.own), HadQueue: r.waiting > 0, Pace: e.expectedPace(now)}
}

// MeanBacklog returns the mean backlog of a pool's upstreams by their newest reports, each of which loses its weight
// within meanLifetimes times the lifetime of requests.
func (l *Loads) MeanBacklog(now time.Time, upstreams []*traffic.Upstream, lifetime time.Duration) Backlog {
	l.mu.Lock()
	defer l.mu.Unlock()
	mean, reports := Backlog{}, 0.0
	for _, u := range upstreams {
		e, ok := l.byHash[u.ShortHash()]
		if !ok {
			continue
		}
		r := e.newest()
		mean.Running += float64(r.requests - r.waiting)
		mean.Waiting += float64(r.waiting) * ageWeight(now.Sub(r.at), meanLifetimes*lifetime)
		reports++
	}
	mean.Running /= max(reports, 1)
	mean.Waiting /= max(reports, 1)
	return mean
}

// RecentBacklog returns the backlog of an upstream whose newest report loses its weight to the mean backlog of the
// pool within the lifetime of requests, as the queue consists of other requests after that.
func (l *Loads) RecentBacklog(now time.Time, u *traffic.Upstream, lifetime time.Duration, mean Backlog) Backlog {
	l.mu.Lock()
	defer l.mu.Unlock()
	e, ok := l.byHash[u.ShortHash()]
	if !ok {
		return mean
	}
	weight := ageWeight(now.Sub(e.newest().at), lifetime)
	if weight == 0 {
		mean.HadQueue, mean.Pace = e.newest().waiting > 0, e.expectedPace(now)
		return mean
	}
	b := e.backlog(now, u, 1)
	b.Running = weight*b.Running + (1-weight)*mean.Running
	b.Waiting = weight*b.Waiting + (1-weight)*mean.Waiting
	return b
}

// backlog returns the newest report, adjusted by this host's requests that have begun and ended
// since then. weight is the weight that the report still has.
func (l *upstreamLoad) backlog(now time.Time, u *traffic.Upstream, weight float64) Backlog {
	r := l.newest()
	running := float64(r.requests - r.waiting)
	growth := float64(l.own - r.own)
	if growth > 0 {
		// If this host's requests grow, those of others are assumed to grow in proportion. One
		// additional request is weak evidence for that, several are strong.
		othersPerOwn := max(float64(r.requests)/float64(max(r.own, 1))-1, 0)
		growth *= 1 + othersPerOwn*growth/(growth+growthHalfPoint)
	}
	waiting := float64(r.waiting)*weight + growth
	if r.waiting == 0 {
		// Requests since then occupied free slots, as long as there were any.
		waiting = min(waiting, running+growth-float64(u.Slots))
	}
	return Backlog{Running: running, Waiting: max(waiting, 0), HadQueue: r.waiting > 0, Pace: l.expectedPace(now)}
}
