package quarantine

import (
	"slices"
	"time"
)

const (
	// mostCrashes is how many upstreams may end under a request before it is barred. A request that
	// only met others' crashes seldom has two; the third is no chance any more.
	mostCrashes = 3
	// suspectedFor is for how long a request is remembered under which fewer upstreams have ended,
	// barredFor for how long it is barred. Engines' software changes in days; a
	// request that was barred by mistake has a second chance after an hour.
	suspectedFor = 10 * time.Minute
	barredFor    = time.Hour
	// tellingError bounds by how much later than it was a crash may seem at another host: its age does not grow while the
	// messages that tell of it are on their way.
	tellingError = 100 * time.Millisecond
)

// crash is one upstream that ended under a request.
type crash struct {
	// start is the short hash of the start of the upstream.
	start uint32
	// from is when the request was sent to the upstream, at when that ended.
	from, at time.Time
}

// before reports whether the upstream had ended before the request was sent to another one. Those that end at one
// moment overlap for as long as the later one had the request.
func (c crash) before(other crash) bool {
	overlap := c.at.Sub(other.from)
	return overlap <= min(tellingError, other.at.Sub(other.from)/2)
}

// suspect is what is known of one request under which upstreams have ended.
type suspect struct {
	// crashes are in order of time, mostCrashes at most.
	crashes []crash
	// answeredAt is when an upstream that had run it last answered; zero if none has.
	answeredAt time.Time
	// worst is how many crashes there were at most, with which others were told of the case.
	worst int
	// changed numbers the last change among all of the registry.
	changed int64
}

// add takes in a crash and reports whether it counts. Only those do that came one after the other: when a rack or a
// host's network fails, many connections end at the same moment, which says nothing of the requests on them.
func (c *suspect) add(news crash) bool {
	if !news.at.After(c.answeredAt) || len(c.crashes) == mostCrashes {
		return false
	}
	for _, known := range c.crashes {
		if known.start == news.start || !known.before(news) && !news.before(known) {
			return false
		}
	}
	c.crashes = append(c.crashes, news)
	slices.SortFunc(c.crashes, func(a, b crash) int { return a.at.Compare(b.at) })
	c.worst = max(c.worst, len(c.crashes))
	return true
}

// answer takes in that an upstream has answered, and reports whether that is news. One that runs the request and
// answers shows that it does not crash each upstream: what ended before was chance, or has been mended since.
func (c *suspect) answer(at time.Time) bool {
	if !at.After(c.answeredAt) {
		return false
	}
	c.answeredAt = at
	c.crashes = slices.DeleteFunc(c.crashes, func(k crash) bool { return !k.at.After(at) })
	return true
}

// barred reports whether the request is kept from upstreams.
func (c *suspect) barred() bool { return len(c.crashes) == mostCrashes }

// last returns when something happened last.
func (c *suspect) last() time.Time {
	if n := len(c.crashes); n > 0 {
		return c.crashes[n-1].at
	}
	return c.answeredAt
}

// expires returns until when the case is remembered.
func (c *suspect) expires() time.Time {
	if c.barred() {
		return c.last().Add(barredFor)
	}
	return c.last().Add(suspectedFor)
}
