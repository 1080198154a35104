package fleet

import (
	"iter"
	"maps"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"jackdawhinge/jackdawd/internal/overload"
	"jackdawhinge/jackdawd/internal/placement"
)

// subtree holds the state reported by this host's children, and the failure scores of the whole
// region.
type subtree struct {
	mu       sync.Mutex
	children map[string]child
	// regionScores are the failure scores of all hosts, as received at regionScoresAt.
	regionScores   map[uint32]float64
	regionScoresAt time.Time
	// reported is raised when a child has reported.
	reported *signal
}

// child is the last reported state of a child.
type child struct {
	lastCall   time.Time
	scores     map[uint32]float64
	inProgress placement.InProgress
	// depth is the number of levels below the child.
	depth int
	// budgetUsedUntil is the time until which plans already sent use up the child's part of the
	// budget.
	budgetUsedUntil time.Time
}

func newSubtree() *subtree { return &subtree{children: map[string]child{}, reported: newSignal()} }

// record stores a child's report.
func (t *subtree) record(now time.Time, args *ExchangeArgs) {
	t.mu.Lock()
	defer t.mu.Unlock()
	c := t.children[args.Host]
	if args.First || c.inProgress.Engines == nil {
		c.inProgress.Engines = map[uint32]int{}
	}
	args.Engines.each(func(engine uint32, requests int) {
		c.inProgress.Engines[engine] = requests
		if requests == 0 {
			delete(c.inProgress.Engines, engine)
		}
	})
	c.inProgress.Prompts = map[uint32]int{}
	args.Prompts.each(func(prompt uint32, requests int) { c.inProgress.Prompts[prompt] = requests })
	if !args.DemandKept {
		c.inProgress.Demand = decodeDemand(args)
	}
	c.lastCall, c.scores, c.depth = now, args.Scores.decode(), min(max(args.Steps, 0), maxDepth)
	t.children[args.Host] = c
	t.reported.raise()
}

// decodeDemand returns the demand that a child reports, nil for none or a malformed one.
func decodeDemand(args *ExchangeArgs) *overload.Demand {
	if len(args.Demand) == 0 {
		return nil
	}
	demand, err := overload.DecodeDemand(args.Demand)
	if err != nil {
		logrus.WithError(err).WithField("peer", args.Host).Warn("fleet: A malformed demand was ignored.")
		return nil
	}
	return demand
}

// allReportedSince reports whether all active children have reported since the given time.
func (t *subtree) allReportedSince(since time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, c := range t.activeChildren(since) {
		if c.lastCall.Before(since) {
			return false
		}
	}
	return true
}

// depth returns the number of levels below this host, counting active children only.
func (t *subtree) depth(now time.Time) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	depth := 0
	for _, c := range t.activeChildren(now) {
		depth = max(depth, c.depth+1)
	}
	return depth
}

// hasPlanBudget reports whether the budget allows sending a plan to a child now.
func (t *subtree) hasPlanBudget(now time.Time, host string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return !t.children[host].budgetUsedUntil.After(now.Add(planBurstWindow))
}

// chargePlan charges a plan of the given size sent to a child to the budget.
func (t *subtree) chargePlan(now time.Time, host string, bytes int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	c := t.children[host]
	if c.budgetUsedUntil.Before(now) {
		c.budgetUsedUntil = now
	}
	// Only readers have more than fanOut followers, and they receive many times as much from the
	// store.
	followers := min(len(t.children), fanOut)
	c.budgetUsedUntil = c.budgetUsedUntil.Add(time.Duration(bytes*followers) * time.Second / planBytesPerSecond)
	t.children[host] = c
}

// sumScores returns the sum of this host's own scores and those of all active children except one.
func (t *subtree) sumScores(now time.Time, own map[uint32]float64, except string) map[uint32]float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	sum := map[uint32]float64{}
	maps.Copy(sum, own)
	for host, c := range t.activeChildren(now) {
		if host == except {
			continue
		}
		for upstream, score := range c.scores {
			sum[upstream] += score
		}
	}
	return sum
}

// sumInProgress returns the sum of the requests in progress at this host and at all active children
// except one.
func (t *subtree) sumInProgress(now time.Time, own placement.InProgress, except string) placement.InProgress {
	t.mu.Lock()
	defer t.mu.Unlock()
	sum := placement.InProgress{Engines: map[uint32]int{}, Prompts: map[uint32]int{}}
	addInProgress(&sum, own)
	for host, c := range t.activeChildren(now) {
		if host != except {
			addInProgress(&sum, c.inProgress)
		}
	}
	return sum
}

// setRegionScores sets the failure scores of all hosts of the region.
func (t *subtree) setRegionScores(now time.Time, scores map[uint32]float64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.regionScores, t.regionScoresAt = scores, now
}

// scores returns the failure scores of all hosts of the region, or nil if they have expired.
func (t *subtree) scores(now time.Time) map[uint32]float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	if now.Sub(t.regionScoresAt) > childStateTTL {
		return nil
	}
	return t.regionScores
}

// activeChildren returns the children that have called within childTimeout, and forgets those that
// have been silent for long. The lock must be held.
func (t *subtree) activeChildren(now time.Time) iter.Seq2[string, child] {
	maps.DeleteFunc(t.children, func(_ string, c child) bool { return now.Sub(c.lastCall) > 2*childStateTTL })
	return func(yield func(string, child) bool) {
		for host, c := range t.children {
			if now.Sub(c.lastCall) <= childTimeout && !yield(host, c) {
				return
			}
		}
	}
}

// remove drops a host that reports to another parent from now on.
func (t *subtree) remove(host string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.children, host)
}

// subtract returns the scores of all hosts less this host's own.
func subtract(all, own map[uint32]float64) map[uint32]float64 {
	others := map[uint32]float64{}
	for upstream, score := range all {
		others[upstream] = max(score-own[upstream], 0)
	}
	return others
}
