package fleet

import (
	"context"
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

// neighbors are the hosts that exchange loads with this one, by when they did last.
type neighbors struct {
	mu   sync.Mutex
	last map[string]time.Time
}

func newNeighbors() *neighbors { return &neighbors{last: map[string]time.Time{}} }

// met takes in that a host below has exchanged loads.
func (n *neighbors) met(now time.Time, host string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.last[host] = now
}

// count returns how many there are, the one above included.
func (n *neighbors) count(now time.Time) int {
	n.mu.Lock()
	defer n.mu.Unlock()
	for host, at := range n.last {
		if now.Sub(at) > neighborLifetime {
			delete(n.last, host)
		}
	}
	return len(n.last) + 1
}

// exchangeLoads exchanges loads with the host above until the context ends.
func (s *Source) exchangeLoads(ctx context.Context) {
	var last time.Time
	for ctx.Err() == nil {
		now := time.Now()
		next := leastPause
		if parent, ok := s.directory.LoadParent(now); ok {
			args := ExchangeArgs{
				Host:  s.options.Name,
				Loads: packLoads(now, s.options.Loads.Newest(now, min(now.Sub(last)+overlap, mostSince), mostLoads, false)),
			}
			last = now
			next = s.exchange(ctx, parent, args)
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
	s.options.Loads.Merge(reply.Loads.unpack(time.Now()), true)
	return min(max(leastPause, reply.Pause), longestPause)
}

// paceOf returns the time until the next exchange after one that carried so much, for a
// host with so many neighbors.
func paceOf(bytes, neighbors int) time.Duration {
	return max(leastPause, time.Duration(bytes*neighbors)*time.Second/exchangeBudget+1)
}
