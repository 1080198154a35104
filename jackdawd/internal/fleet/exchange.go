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
	mostLoads = 24
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
	// exchangeBytes is what a call and its answer carry beside loads and numbers, headers
	// of TCP and IP included.
	exchangeBytes = 300
	// exchangeTimeout is how long an exchange may take.
	exchangeTimeout = 300 * time.Millisecond
	// tallyLifetime is how long the numbers of a host count: twice the time between two
	// exchanges with all that they may carry, 1.5 s, so that one may be lost.
	tallyLifetime = 3 * time.Second
)

// A LoadTable holds what is known of loads.
type LoadTable interface {
	// Newest returns what upstreams told any host within a time, the most loaded ones
	// first if there are more; what came from the host above is left out unless it is asked for.
	Newest(now time.Time, within time.Duration, most int, above bool) []placement.Told
	// Merge takes in what upstreams told other hosts; above is set if it came from the host above.
	Merge(told []placement.Told, above bool)
	// Requests returns this host's own requests in progress by the hash of their pool.
	Requests() map[uint32]int
	// SetRegion takes in the requests in progress at all hosts of the region.
	SetRegion(now time.Time, byPool map[uint32]int)
}

// tally adds up the requests in progress of this host and those below it.
type tally struct {
	own func() map[uint32]int
	mu  sync.Mutex
	// below is by host, all what the host above says of the whole region.
	below map[string]counted
	all   counted
}

// counted is requests in progress by pool, as they were at a moment.
type counted struct {
	byPool map[uint32]int
	at     time.Time
}

func newTally(own func() map[uint32]int) *tally {
	return &tally{own: own, below: map[string]counted{}}
}

// take takes in the numbers of a host below.
func (t *tally) take(now time.Time, host string, byPool map[uint32]int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.below[host] = counted{byPool, now}
}

// neighbors returns how many hosts this one exchanges loads with, one above included.
func (t *tally) neighbors() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.below) + 1
}

// setRegion takes in the numbers of the whole region.
func (t *tally) setRegion(now time.Time, byPool map[uint32]int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.all = counted{byPool, now}
}

// region returns the numbers of the whole region, or none if they are not known.
func (t *tally) region(now time.Time) map[uint32]int {
	t.mu.Lock()
	defer t.mu.Unlock()
	if now.Sub(t.all.at) > tallyLifetime {
		return nil
	}
	return t.all.byPool
}

// sum returns the numbers of this host and those below.
func (t *tally) sum(now time.Time) map[uint32]int {
	t.mu.Lock()
	defer t.mu.Unlock()
	sum := maps.Clone(t.own())
	for host, c := range t.below {
		if now.Sub(c.at) > tallyLifetime {
			delete(t.below, host)
			continue
		}
		for pool, n := range c.byPool {
			sum[pool] += n
		}
	}
	return sum
}

// exchangeLoads exchanges loads with the host above until the context ends.
func (s *Source) exchangeLoads(ctx context.Context) {
	var last time.Time
	for ctx.Err() == nil {
		now := time.Now()
		next := leastPause
		if parent, ok := s.directory.LoadParent(now); ok {
			args := ExchangeArgs{
				Host:     s.options.Name,
				Loads:    packLoads(now, s.options.Loads.Newest(now, min(now.Sub(last)+overlap, mostSince), mostLoads, false)),
				Requests: packRequests(s.tally.sum(now)),
			}
			last = now
			next = s.exchange(ctx, parent, args)
		} else {
			sum := s.tally.sum(now)
			s.tally.setRegion(now, sum)
			s.options.Loads.SetRegion(now, sum)
		}
		pause.For(ctx, next)
	}
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
	now := time.Now()
	s.options.Loads.Merge(reply.Loads.unpack(now), true)
	if len(reply.Requests) > 0 {
		byPool := reply.Requests.unpack()
		s.tally.setRegion(now, byPool)
		s.options.Loads.SetRegion(now, byPool)
	}
	return min(max(leastPause, reply.Pause), tallyLifetime/2)
}

// paceOf returns the time until the next exchange after one that carried so much, for a
// host with so many neighbors.
func paceOf(bytes, neighbors int) time.Duration {
	return max(leastPause, time.Duration(bytes*neighbors)*time.Second/exchangeBudget+1)
}
