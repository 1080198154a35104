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
	// smallFleetHosts is the fleet size up to which each host sees enough of all requests itself.
	smallFleetHosts = 8
	// maxExtraReplicas is how many additional engines serve a prompt in a large fleet while load
	// reports lag behind the requests. With four engines, loads differ by half as much.
	maxExtraReplicas = 3
	// minIdleRatio is the ratio of idle upstreams from which the loads of the others must be evened
	// out. With fewer, loads that differ as usual stay within the bound.
	minIdleRatio = 0.2
	// evenReplicas is how many engines serve a prompt then, unless it is long.
	evenReplicas = 4
	// longPromptTokens is the length from which a prompt gets no additional engines, as computing it
	// would hold up the queued requests on each of them.
	longPromptTokens = 8000
	// maxSpreadCost is the prefill cost below which a prompt goes to any engine while the pool is full: computing it
	// again takes less than engines lose that wait for requests while others have queues.
	maxSpreadCost = 0.25
)

// A Choice holds the inputs for placing one request.
type Choice struct {
	// Upstreams are the candidates, and Loads what is known of the load of each.
	Upstreams []*traffic.Upstream
	Loads     []Load
	// Usable is parallel to Upstreams and false for those that only count for the mean load; nil
	// means that all are usable.
	Usable []bool
	// Lifetime is the mean duration of the requests in progress, which is longer than that of all
	// requests.
	Lifetime time.Duration
	// Delay returns how long the request would wait at an upstream. It is called for few upstreams,
	// and nil if no upstream is ever full.
	Delay func(*traffic.Upstream) time.Duration
	// MaxDelay is how long the request may wait. An upstream with a longer delay is full.
	MaxDelay time.Duration
	// Stuck reports whether several of this host's requests have waited at an upstream for longer
	// than responses take to begin. It is nil if none ever do.
	Stuck func(*traffic.Upstream) bool
	// Key is the hash of the prompt that the request shares with others.
	Key uint64
	// Cacheable is set if the request has such a prompt, which engines can cache.
	Cacheable bool
	// SharedTokens is the length of that prompt; 0 if not known.
	SharedTokens int
	// MeanDuration is the mean duration of requests of this class; 0 if not known.
	MeanDuration time.Duration
	// FailureDomain is this host's failure domain.
	FailureDomain string
	// Hosts is how many hosts place requests; 0 if not known.
	Hosts int
	// LoadMultiple is how many times the mean load an upstream may carry.
	LoadMultiple float64
	// Random is a random number of the request, used to choose between equally good upstreams.
	Random uint64
	// Plan is the plan in force; nil if there is none.
	Plan *LocalPlan
	// Pool is the name of the upstreams' pool.
	Pool string
	// IdleRatio is the ratio of the pool's upstreams that get nothing for now, as they are evacuated
	// or cold. They lower the mean load that bounds the others.
	IdleRatio float64
	// SlotBound is set while the pool is full and its admission keeps its requests within its slots. A prompt then
	// leaves an upstream whose slots are in use, as others have free ones, and is spread over several engines.
	SlotBound bool
	// ReportsLag is set if requests arrive or end faster than hosts can report them to each other.
	ReportsLag bool
}

// isUsable reports whether upstream i may get the request.
func (c Choice) isUsable(i int) bool { return c.Usable == nil || c.Usable[i] }

// Choose returns the upstream for a request, or nil if none is usable.
func Choose(c Choice) *traffic.Upstream {
	if len(c.Upstreams) == 0 || c.Usable != nil && !slices.Contains(c.Usable, true) {
		return nil
	}
	if c.Cacheable {
		return c.chooseByAffinity()
	}
	return c.chooseByLoad()
}

// chooseByAffinity returns the upstream for a request with a shared prompt: the first in the
// prompt's rendezvous order that accepts it, or the second if the request can begin in time only
// there. All hosts use the same order, so without overload all requests of a prompt share one
// engine and its cache.
//
// There is no third choice. While engines are full, slots become free on any of them, and a prompt
// that followed the free slots would be computed again on each, which leaves less time for
// responses. In a surge of twelve times the usual load, engines then recomputed three times as many
// prompt parts as with one engine per prompt.
func (c Choice) chooseByAffinity() *traffic.Upstream {
	if c.SlotBound && c.prefillCost() < maxSpreadCost {
		return c.chooseLeastLoaded(c.usable())
	}
	if (c.IdleRatio >= minIdleRatio || c.SlotBound) && c.SharedTokens < longPromptTokens {
		if replicas := c.candidates(evenReplicas, false); len(replicas) > 1 {
			return c.chooseLeastLoaded(replicas)
		}
	}
	first, second := c.firstTwoEngines()
	switch {
	case first < 0:
		return c.chooseByLoad()
	case second >= 0 && c.isStuck(first) && !c.isStuck(second):
		return c.Upstreams[second]
	case second >= 0 && c.Loads[second].Requests() < maxTakeoverRatio*c.Loads[first].Requests() && c.Full(c.Upstreams[first]) && !c.Full(c.Upstreams[second]):
		return c.Upstreams[second]
	}
	return c.Upstreams[first]
}

// usable returns the indexes of all upstreams that may get the request.
func (c Choice) usable() []int {
	var indexes []int
	for i := range c.Upstreams {
		if c.isUsable(i) {
			indexes = append(indexes, i)
		}
	}
	return indexes
}

// firstTwoEngines returns the indexes of the upstream that serves the prompt and of its fallback,
// -1 for none. A prompt with several replicas uses one of them by the request's random number.
func (c Choice) firstTwoEngines() (first, second int) {
	replicas := c.replicas()
	candidates := c.candidates(max(replicas, 2), replicas > 1)
	switch len(candidates) {
	case 0:
		return -1, -1
	case 1:
		return candidates[0], -1
	}
	n := int(c.Random % uint64(min(replicas, len(candidates))))
	return candidates[n], candidates[(n+1)%len(candidates)]
}

// candidates returns the indexes of the first n upstreams in the prompt's rendezvous order whose
// weight and load allow the prompt. Weights are ignored if they exclude all upstreams, or if the
// prompt is hot: it causes the weights to change, and would move back and forth as a whole.
func (c Choice) candidates(n int, hot bool) []int {
	limit := c.Limit()
	order, scores := make([]int, 0, n), make([]uint64, 0, n)
	plan := c.Plan
	if hot {
		plan = nil
	}
	for {
		for i, u := range c.Upstreams {
			score := routing.RendezvousScore(c.Key, u.Hash)
			if !c.isUsable(i) || (len(order) == n && score <= scores[n-1]) || !plan.takes(score, u, c.prefillCost()) || !c.accepts(limit, i) {
				continue
			}
			if len(order) < n {
				order, scores = append(order, 0), append(scores, 0)
			}
			at := len(order) - 1
			for ; at > 0 && scores[at-1] < score; at-- {
				order[at], scores[at] = order[at-1], scores[at-1]
			}
			order[at], scores[at] = i, score
		}
		if len(order) > 0 || plan == nil {
			return order
		}
		plan = nil
	}
}

// replicas returns how many engines serve the prompt. While load reports lag behind the requests
// they can't balance the load; all but long prompts are then spread over more engines, which evens
// out the load without reports.
func (c Choice) replicas() int {
	replicas := c.Plan.replicas(c.Key, c.Pool)
	if !c.ReportsLag {
		return replicas
	}
	return max(replicas, 1+int(math.Round(maxExtraReplicas*c.unseenRatio()*(1-c.lengthRatio()))))
}

// lengthRatio returns how long the prompt is, from 0 to 1 for longPromptTokens and more.
func (c Choice) lengthRatio() float64 { return min(float64(c.SharedTokens)/longPromptTokens, 1) }

// unseenRatio returns how few of all requests the host sees itself, from 0 in a small fleet to 1.
func (c Choice) unseenRatio() float64 {
	if c.Hosts == 0 {
		return 1
	}
	return 1 - min(1, float64(smallFleetHosts)/float64(c.Hosts))
}

// isStuck reports whether requests of this host wait at an upstream for too long. It is the first
// sign of a queue there, as load reports come with responses and a stuck upstream sends none.
func (c Choice) isStuck(i int) bool { return c.Stuck != nil && c.Stuck(c.Upstreams[i]) }

// maxTakeoverRatio is the ratio of the second engine's load to the first one's below which the
// second may take the prompt over.
const maxTakeoverRatio = 0.5

// Full reports whether the request would wait for too long at an upstream.
func (c Choice) Full(u *traffic.Upstream) bool { return c.Delay != nil && c.Delay(u) > c.MaxDelay }

// Rank returns upstreams in a prompt's rendezvous order. The prompt is usually cached at the first.
func Rank(key uint64, upstreams []*traffic.Upstream) []*traffic.Upstream {
	out := make([]*traffic.Upstream, len(upstreams))
	for n, i := range rankIndexes(key, upstreams) {
		out[n] = upstreams[i]
	}
	return out
}

// rankIndexes returns the indexes of upstreams in a prompt's order, by rendezvous hashing.
func rankIndexes(key uint64, upstreams []*traffic.Upstream) []int {
	order := make([]int, len(upstreams))
	scores := make([]uint64, len(upstreams))
	for i, u := range upstreams {
		order[i], scores[i] = i, routing.RendezvousScore(key, u.Hash)
	}
	slices.SortFunc(order, func(a, b int) int { return cmp.Compare(scores[b], scores[a]) })
	return order
}

// Mean returns the mean load of the upstreams. With a plan, which covers all upstreams, each counts
// with its newest report, however old. Without a plan, reports lose weight with age and upstreams
// that the host knows nothing about count as idle.
func (c Choice) Mean() float64 {
	sum, n := 0.0, float64(max(len(c.Loads), 1))
	if c.Plan == nil {
		for _, l := range c.Loads {
			sum += l.Requests()
		}
		return sum / n
	}
	for _, l := range c.Loads {
		sum += l.Own + l.Others
	}
	return sum / n * c.Plan.cappedMeanRatio(c.Pool)
}
