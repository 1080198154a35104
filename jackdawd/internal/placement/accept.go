package placement

import (
	"math"

	"jackdawhinge/jackdawd/internal/routing"
)

const (
	// loadSlack is how many requests above the load multiple an upstream may have and still accept
	// one more. It is one less than operators allow, to leave room for the request being placed.
	loadSlack = 2
	// maxMargin and minMargin are safety margins below the limit, in standard deviations of an
	// upstream's estimated load. maxMargin applies to requests whose prompt costs nothing to
	// compute on another engine and minMargin to the most expensive ones, so that when requests
	// have to leave an engine the cheap ones go first.
	maxMargin = 2.5
	minMargin = 0.25
	// prefillTokensPerSecond is roughly how fast engines compute prompt tokens (prefill).
	prefillTokensPerSecond = 64000
	// maxPrefillRatio is the ratio of prefill time to request duration from which a request counts
	// as one of the most expensive to move.
	maxPrefillRatio = 0.1
)

// Limit returns how many requests an upstream may have for one more to be placed there.
func (c Choice) Limit() float64 { return c.LoadMultiple*c.Mean() + loadSlack }

// accepts reports whether upstream i takes the request. The decision is random, with the ratio of
// requests that the upstream can take as its probability. If all hosts left an upstream at once,
// they would overload others together and all return with the next load report.
func (c Choice) accepts(limit float64, i int) bool {
	margin := maxMargin + (minMargin-maxMargin)*c.prefillCost()
	if slots := float64(c.Upstreams[i].Slots); c.SlotBound && slots > 0 {
		limit = min(limit, slots)
	}
	return c.uniform(i) < c.Loads[i].scaledByOwn(c.Hosts).acceptRatio(limit, margin, c.Lifetime)
}

// uniform returns a pseudo-random number in [0, 1) that differs per request and upstream.
func (c Choice) uniform(i int) float64 {
	return float64(routing.RendezvousScore(c.Random, c.Upstreams[i].Hash)) / (math.MaxUint64 + 1.0)
}

// prefillCost returns how expensive it is to compute the shared prompt on another engine, from 0
// to 1, by the ratio of its prefill time to the usual duration of such requests.
func (c Choice) prefillCost() float64 {
	if c.SharedTokens == 0 {
		return 0
	}
	prefill := float64(c.SharedTokens) / prefillTokensPerSecond
	return min(prefill/c.MeanDuration.Seconds()/maxPrefillRatio, 1)
}
