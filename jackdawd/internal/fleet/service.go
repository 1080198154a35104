package fleet

import (
	"time"

	"jackdawhinge/common/traffic"
	"jackdawhinge/jackdawd/internal/membership"
)

const (
	// mostWait bounds how long a follower may have its call held.
	mostWait = time.Second
	// refreshStep is how much later a list must have been heard to count as heard anew;
	// two calls on the way from one reading differ by less.
	refreshStep = 100 * time.Millisecond
)

// Beliefs is what a host knows.
type Beliefs interface {
	Changes() *membership.Changes
	Age() time.Duration
	Evidence
}

// service answers the hosts that follow this one.
type service struct {
	source    *Source
	beliefs   Beliefs
	documents packer[int64]
	lists     packer[membership.Position]
}

// Follow returns what the follower has missed; it waits for something new if there is
// nothing. That the list of upstreams was read again and is the same is news too: the
// follower's knowledge is then as young as this host's.
func (s *service) Follow(args *FollowArgs, reply *FollowReply) error {
	began := s.source.options.Uptime()
	timer := time.NewTimer(min(args.Wait, mostWait, max(args.Oldest-s.source.ListAge(), 0)))
	defer timer.Stop()
	for waiting := true; waiting; {
		refreshed, changes := s.source.refreshed.raised(), s.beliefs.Changes()
		if s.news(args, changes) {
			break
		}
		select {
		case <-changes.Superseded():
		case <-refreshed:
		case <-timer.C:
			waiting = false
		}
	}
	reply.Waited = s.source.options.Uptime() - began
	return s.fill(args, reply)
}

// news reports whether there is something that the follower does not know.
func (s *service) news(args *FollowArgs, c *membership.Changes) bool {
	if c.Configuration() == nil || s.source.ListAge() >= neverListed {
		// This host has just started and does not know everything itself.
		return false
	}
	since := time.Duration(s.source.listHeard.Load()) - args.Heard
	return c.Configuration().Version() > args.Version || c.End() != args.Position || since < 0 || since >= refreshStep
}

func (s *service) fill(args *FollowArgs, reply *FollowReply) error {
	// The ages are taken before what they are ages of, so that none is said to be newer
	// than it is.
	reply.Behind, reply.ListBehind = s.beliefs.Age(), s.source.ListAge()
	reply.Heard = time.Duration(s.source.listHeard.Load())
	changes := s.beliefs.Changes()
	if err := s.fillDocument(args, reply, changes); err != nil {
		return err
	}
	from := args.Position
	if args.Whole {
		from = membership.Position{}
	}
	change := changes.Since(from)
	reply.Position = changes.End()
	return s.fillEntries(reply, change)
}

func (s *service) fillDocument(args *FollowArgs, reply *FollowReply, c *membership.Changes) error {
	conf := c.Configuration()
	if conf == nil {
		reply.Behind = neverListed
		return nil
	}
	if conf.Version() <= args.Version {
		return nil
	}
	var err error
	reply.Document, err = s.documents.pack(conf.Version(), func() ([]byte, error) { return conf.Document(), nil })
	return err
}

func (s *service) fillEntries(reply *FollowReply, change traffic.UpstreamChange) error {
	if !change.Whole {
		reply.Entries = change.Entries
		return nil
	}
	var err error
	reply.Listed, err = packUpstreams(&s.lists, reply.Position, change.Entries)
	return err
}

// Exchange takes in what the hosts below know of loads and failures, and returns what those above do.
func (s *service) Exchange(args *ExchangeArgs, reply *ExchangeReply) error {
	now := time.Now()
	s.source.options.Loads.Merge(args.Loads.unpack(now), false)
	s.source.neighbors.met(now, args.Host, args.Scores.unpack())
	reply.Loads = packLoads(now, s.source.options.Loads.Newest(now, mostSince, mostLoads, true))
	reply.Scores = packScores(s.source.neighbors.all(now))
	reply.Pause = paceOf(exchangeBytes+len(args.Loads)+len(args.Scores)+len(reply.Loads)+len(reply.Scores), s.source.neighbors.count(now))
	return nil
}
