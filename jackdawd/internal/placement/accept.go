package placement

import (
	"math"

	"jackdawhinge/jackdawd/internal/routing"
)

const (
	// limitSlack is how many requests above the multiple of the mean an upstream may have for one more to go there:
	// one less than operators allow, for the one that is placed.
	limitSlack = 2
	// cheapMargin is how many standard deviations of what an upstream may have stay below the limit for a request
	// whose prompt costs nothing to read elsewhere, expensiveMargin for one of the most expensive: of those that would have to leave
	// an engine the cheap ones go first.
	cheapMargin     = 2.5
	expensiveMargin = 0.25
	// tokensPerSecond is about how fast engines read prompts.
	tokensPerSecond = 64000
	// expensiveShare is the part of a request's time that reading its prompt takes from which it is one of the most expensive.
	expensiveShare = 0.2
)

// Limit returns how many requests an upstream may have for one more to be placed there.
func (c Choice) Limit() float64 { return c.Multiple*c.Mean() + limitSlack }

// accepts reports whether an upstream takes the request, drawn by the part of its requests that it can take:
// hosts that all left it together would meet at others, and come back together with the next news.
func (c Choice) accepts(limit float64, i int) bool {
	margin := cheapMargin + (expensiveMargin-cheapMargin)*c.expense()
	return c.draw(i) < c.Loads[i].withOwnEvidence(c.Hosts).acceptance(limit, margin, c.Lifetime)
}

// draw returns a number from 0 up to 1, another one for each request and upstream.
func (c Choice) draw(i int) float64 {
	return float64(routing.Score(c.Tie, c.Upstreams[i].Hash)) / (math.MaxUint64 + 1.0)
}

// expense says how expensive it is to read the prompt at another engine, from 0 to 1: by how much of that one's time
// it takes against the time of the request itself.
func (c Choice) expense() float64 {
	if c.SharedTokens == 0 {
		return 0
	}
	reading := float64(c.SharedTokens) / tokensPerSecond
	return min(reading/c.Duration.Seconds()/expensiveShare, 1)
}
