package fleet

import (
	"context"
	"maps"
	"sync"
	"time"

	"jackdawhinge/common/pause"
	"jackdawhinge/jackdawd/internal/placement"
)

const (
	// mostLoads bounds the loads of one message; the most loaded upstreams go first, as
	// those are what a host must know of to keep below the load multiple.
	mostLoads = 32
	// overlap is added to the time since the last exchange, so that what was told while
	// that was on its way is not missed.
	overlap = 100 * time.Millisecond
	// mostSince is how old a load may be to say something.
	mostSince = 2 * time.Second
	// leastPause is the least time between two exchanges of loads: half of what an answer
	// takes, after which loads are others.
	leastPause = 300 * time.Millisecond
	// exchangeBudget is what a host may tell and be told of loads by all its neighbors in
	// the tree, in bytes a second. With up to five of them, whose calls that follow beliefs
	// take 450 bytes a second each, a host keeps below 5 KB a second.
	exchangeBudget = 2850
	// exchangeBytes is what a call and its answer carry beside loads, headers
	// of TCP and IP included.
	exchangeBytes = 300
	// exchangeTimeout is how long an exchange may take.
	exchangeTimeout = 300 * time.Millisecond
	// longestPause is the longest time between two exchanges: a load that is older says
	// nothing any more.
	longestPause = 1500 * time.Millisecond
	// neighborLifetime is after how long a host that was not heard of is no neighbor any more.
	neighborLifetime = 2 * longestPause
)

// A LoadTable holds what is known of loads.
type LoadTable interface {
	// Newest returns what upstreams told any host within a time, the most loaded ones
	// first if there are more; what came from the host above is left out unless it is asked for.
	Newest(now time.Time, within time.Duration, most int, above bool) []placement.Told
	// Merge takes in what upstreams told other hosts; above is set if it came from the host above.
	Merge(told []placement.Told, above bool)
}

// Evidence is what speaks against upstreams, by the short hash of their identifiers.
type Evidence interface {
	// Scores returns this host's own, TakeScores takes in those of all others, added up.
	Scores() map[uint32]float64
	TakeScores(others map[uint32]float64)
}

// neighbors are the hosts below that exchange with this one, and what all hosts of the
// region have told.
type neighbors struct {
	mu    sync.Mutex
	below map[string]neighbor
	// region is what speaks against upstreams at all hosts, as it was told at a moment.
	region   map[uint32]float64
	regionAt time.Time
}

// neighbor is what a host below has told last.
type neighbor struct {
	at     time.Time
	scores map[uint32]float64
}

func newNeighbors() *neighbors { return &neighbors{below: map[string]neighbor{}} }

// met takes in what a host below has told.
func (n *neighbors) met(now time.Time, host string, scores map[uint32]float64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.below[host] = neighbor{at: now, scores: scores}
}

// count returns how many there are, the one above included.
func (n *neighbors) count(now time.Time) int {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.forget(now)
	return len(n.below) + 1
}

// sum returns this host's own scores and those of the hosts below, added up.
func (n *neighbors) sum(now time.Time, own map[uint32]float64) map[uint32]float64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.forget(now)
	sum := map[uint32]float64{}
	maps.Copy(sum, own)
	for _, b := range n.below {
		for upstream, score := range b.scores {
			sum[upstream] += score
		}
	}
	return sum
}

// setRegion takes in the scores of all hosts of the region.
func (n *neighbors) setRegion(now time.Time, scores map[uint32]float64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.region, n.regionAt = scores, now
}

// all returns the scores of all hosts of the region; none if they are not told any more.
func (n *neighbors) all(now time.Time) map[uint32]float64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	if now.Sub(n.regionAt) > neighborLifetime {
		return nil
	}
	return n.region
}

// forget drops hosts that were not heard of for long; the lock must be held.
func (n *neighbors) forget(now time.Time) {
	maps.DeleteFunc(n.below, func(_ string, b neighbor) bool { return now.Sub(b.at) > neighborLifetime })
}

// exchangeAll exchanges loads and evidence with the host above until the context ends.
func (s *Source) exchangeAll(ctx context.Context, evidence Evidence) {
	var last time.Time
	for ctx.Err() == nil {
		now := time.Now()
		next := leastPause
		own := evidence.Scores()
		sum := s.neighbors.sum(now, own)
		if parent, ok := s.directory.LoadParent(now); ok {
			args := ExchangeArgs{
				Host:   s.options.Name,
				Loads:  packLoads(now, s.options.Loads.Newest(now, min(now.Sub(last)+overlap, mostSince), mostLoads, false)),
				Scores: packScores(sum),
			}
			last = now
			next = s.exchange(ctx, parent, args)
		} else {
			s.neighbors.setRegion(now, sum)
		}
		evidence.TakeScores(without(s.neighbors.all(time.Now()), own))
		pause.For(ctx, next)
	}
}

// without returns the scores of all hosts less this one's own.
func without(all, own map[uint32]float64) map[uint32]float64 {
	others := map[uint32]float64{}
	for upstream, score := range all {
		others[upstream] = max(score-own[upstream], 0)
	}
	return others
}

// exchange makes one exchange and returns the time until the next. Without an answer the
// host goes on by what it knows, which fades.
func (s *Source) exchange(ctx context.Context, parent Peer, args ExchangeArgs) time.Duration {
	calling, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	var reply ExchangeReply
	if err := s.client(parent).Call(calling, parent.Address, exchangeCall, &args, &reply); err != nil {
		if ctx.Err() == nil && s.Following() != parent.Name {
			// A host that is followed is left by its follower, which asks more often.
			s.suspect(ctx, parent, err)
		}
		return exchangeTimeout
	}
	s.options.Loads.Merge(reply.Loads.unpack(time.Now()), true)
	s.neighbors.setRegion(time.Now(), reply.Scores.unpack())
	return min(max(leastPause, reply.Pause), longestPause)
}

// paceOf returns the time until the next exchange after one that carried so much, for a
// host with so many neighbors.
func paceOf(bytes, neighbors int) time.Duration {
	return max(leastPause, time.Duration(bytes*neighbors)*time.Second/exchangeBudget+1)
}
