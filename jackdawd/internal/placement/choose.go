package placement

import (
	"cmp"
	"math"
	"slices"
	"time"

	"jackdawhinge/common/traffic"
	"jackdawhinge/jackdawd/internal/routing"
)

const (
	// fewHosts is up to how many hosts each sees enough of all requests itself.
	fewHosts = 8
	// outpacedReplicas is how many more engines a prompt has in a large fleet while what hosts tell each other is
	// outpaced: with four, loads differ by half as much.
	outpacedReplicas = 3
	// longPrompt is from how many tokens a prompt is too long for that: it would hold up the crowd at each of them.
	longPrompt = 8000
)

// A Choice is what a request is placed by.
type Choice struct {
	// Upstreams are those that may take the request, and Loads what is known of each one's requests.
	Upstreams []*traffic.Upstream
	Loads     []Load
	// Lifetime is how long requests in progress usually last.
	Lifetime time.Duration
	// Delay returns how long the request would wait at an upstream, and Patience is how long it
	// may; an upstream where it would wait longer is full. It is asked of few, and nil if no
	// upstream is ever full.
	Delay    func(*traffic.Upstream) time.Duration
	Patience time.Duration
	// Stuck reports whether several of this host's requests wait at an upstream for longer
	// than answers take to begin; nil if none ever is.
	Stuck func(*traffic.Upstream) bool
	// Key is the hash of the prompt that the request shares with others; Cached is set if it has one.
	Key    uint64
	Cached bool
	// SharedTokens is how long that prompt is, and Duration how long such requests usually take; 0 if that is not known.
	SharedTokens int
	Duration     time.Duration
	// FailureDomain is this host's own.
	FailureDomain string
	// Hosts is how many hosts place requests; 0 if that is not known.
	Hosts int
	// Multiple is how many times the mean load an upstream may carry.
	Multiple float64
	// Tie orders upstreams that are equally good.
	Tie uint64
	// Spread is how prompts are spread over engines; nil if this is not known.
	Spread *Spread
	// Pool is the pool of the upstreams.
	Pool string
	// Outpaced is set if requests come or end faster than hosts can tell each other of them.
	Outpaced bool
}

// Choose returns the upstream for a request, or nil if there is none.
func Choose(c Choice) *traffic.Upstream {
	if len(c.Upstreams) == 0 {
		return nil
	}
	if c.Cached {
		return c.warmest()
	}
	return c.lightest()
}

// warmest returns the upstream for a request with a prompt: the first in the prompt's own
// order that accepts it, or the second one if the request can begin in
// time there only. Every host has the same order, so that without overload all requests
// of a prompt meet at one engine.
//
// While engines are full each place that becomes free is anywhere. A prompt that follows
// them is read at each engine again, which then has less time for answers: in a surge of
// twelve times the usual engines read three times as many parts of prompts again as with
// one place for a prompt.
func (c Choice) warmest() *traffic.Upstream {
	first, second := c.firstTwo()
	switch {
	case first < 0:
		return c.lightest()
	case second >= 0 && c.stuck(first) && !c.stuck(second):
		return c.Upstreams[second]
	case second >= 0 && c.Loads[second].Requests() < unevenShare*c.Loads[first].Requests() && c.Full(c.Upstreams[first]) && !c.Full(c.Upstreams[second]):
		return c.Upstreams[second]
	}
	return c.Upstreams[first]
}

// firstTwo returns the indexes of the upstream that a prompt goes to and of the one that is
// next, -1 for none: of as many engines as the prompt has, the first in its order that take
// and accept it, one by the request's own hash.
func (c Choice) firstTwo() (first, second int) {
	replicas := c.replicas()
	order := c.order(max(replicas, 2), replicas > 1)
	switch len(order) {
	case 0:
		return -1, -1
	case 1:
		return order[0], -1
	}
	n := int(c.Tie % uint64(min(replicas, len(order))))
	return order[n], order[(n+1)%len(order)]
}

// order returns the indexes of the first upstreams in the prompt's own order that take
// and accept it, most at the most. All take it if none else does, or if it
// is hot: it would else go to and fro as a whole when a weight changes that it is the cause of.
func (c Choice) order(most int, hot bool) []int {
	limit := c.Limit()
	order, scores := make([]int, 0, most), make([]uint64, 0, most)
	spread := c.Spread
	if hot {
		spread = nil
	}
	for {
		for i, u := range c.Upstreams {
			score := routing.Score(c.Key, u.Hash)
			if (len(order) == most && score <= scores[most-1]) || !spread.takes(score, u, c.expense()) || !c.accepts(limit, i) {
				continue
			}
			if len(order) < most {
				order, scores = append(order, 0), append(scores, 0)
			}
			at := len(order) - 1
			for ; at > 0 && scores[at-1] < score; at-- {
				order[at], scores[at] = order[at-1], scores[at-1]
			}
			order[at], scores[at] = i, score
		}
		if len(order) > 0 || spread == nil {
			return order
		}
		spread = nil
	}
}

// replicas returns at how many engines the prompt's requests are served. What is told of loads is no guide while it is
// outpaced; all prompts but long ones are then spread over more engines, which evens loads out without it.
func (c Choice) replicas() int {
	replicas := c.Spread.replicas(c.Key, c.Pool)
	if !c.Outpaced {
		return replicas
	}
	return max(replicas, 1+int(math.Round(outpacedReplicas*c.distance()*(1-c.length()))))
}

// length says how long the prompt is, from 0 to 1.
func (c Choice) length() float64 { return min(float64(c.SharedTokens)/longPrompt, 1) }

// distance says how little the host sees of all requests by itself: 0 in a small fleet, up to 1.
func (c Choice) distance() float64 {
	if c.Hosts == 0 {
		return 1
	}
	return 1 - min(1, float64(fewHosts)/float64(c.Hosts))
}

// stuck reports whether requests of this host wait at an upstream. It is the first sign of
// a crowd there: what the upstream tells comes with answers, of which there are none then.
func (c Choice) stuck(i int) bool { return c.Stuck != nil && c.Stuck(c.Upstreams[i]) }

// unevenShare is the part of the load of a prompt's first engine that the second may have
// to take the prompt over.
const unevenShare = 0.5

// Full reports whether the request would wait for too long at an upstream.
func (c Choice) Full(u *traffic.Upstream) bool { return c.Delay != nil && c.Delay(u) > c.Patience }

// Rank returns upstreams in a prompt's own order, the one where it is usually cached first.
func Rank(key uint64, upstreams []*traffic.Upstream) []*traffic.Upstream {
	out := make([]*traffic.Upstream, len(upstreams))
	for n, i := range rank(key, upstreams) {
		out[n] = upstreams[i]
	}
	return out
}

// rank returns the indexes of upstreams in a prompt's own order, by rendezvous hashing.
func rank(key uint64, upstreams []*traffic.Upstream) []int {
	order := make([]int, len(upstreams))
	scores := make([]uint64, len(upstreams))
	for i, u := range upstreams {
		order[i], scores[i] = i, routing.Score(key, u.Hash)
	}
	slices.SortFunc(order, func(a, b int) int { return cmp.Compare(scores[b], scores[a]) })
	return order
}

// Mean returns the mean load of the upstreams. While plans tell of all of them, each counts by its newest news;
// without a plan upstreams that the host knows nothing of count as idle.
func (c Choice) Mean() float64 {
	sum, n := 0.0, float64(max(len(c.Loads), 1))
	if c.Spread == nil {
		for _, l := range c.Loads {
			sum += l.Requests()
		}
		return sum / n
	}
	for _, l := range c.Loads {
		sum += l.Own + l.Others
	}
	return sum / n * c.Spread.soundPart(c.Pool)
}
