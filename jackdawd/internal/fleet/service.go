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
	began, called := s.source.options.Uptime(), time.Now()
	s.source.neighbors.met(called, &args.Exchange)
	timer := time.NewTimer(min(args.Wait, mostWait, max(args.Oldest-s.source.ListAge(), 0)))
	defer timer.Stop()
	for waiting := true; waiting; {
		refreshed, planned, changes := s.source.refreshed.raised(), s.source.planned.raised(), s.beliefs.Changes()
		if s.news(called, args, changes) {
			break
		}
		select {
		case <-changes.Superseded():
		case <-refreshed:
		case <-planned:
		case <-timer.C:
			waiting = false
		}
	}
	reply.Waited = s.source.options.Uptime() - began
	return s.fill(called, args, reply)
}

// news reports whether there is something that the follower does not know.
func (s *service) news(called time.Time, args *FollowArgs, c *membership.Changes) bool {
	if c.Configuration() == nil || s.source.ListAge() >= neverListed {
		// This host has just started and does not know everything itself.
		return false
	}
	if args.Oldest >= neverListed && s.beliefs.Age() > s.source.oldestConfiguration() {
		// The follower waits for this host to have the store back. Told of the list alone, it would
		// turn the answer down and pause, and so would those below it, one after the other.
		return false
	}
	since := time.Duration(s.source.listHeard.Load()) - args.Heard
	return s.source.hasPlanFor(time.Now(), called, &args.Exchange) || c.Configuration().Version() > args.Version || c.End() != args.Position || since < 0 || since >= refreshStep
}

func (s *service) fill(called time.Time, args *FollowArgs, reply *FollowReply) error {
	// The ages are taken before what they are ages of, so that none is said to be newer
	// than it is.
	reply.Behind, reply.ListBehind = s.beliefs.Age(), s.source.ListAge()
	reply.Heard = time.Duration(s.source.listHeard.Load())
	changes := s.beliefs.Changes()
	if args.Hosts.Before(s.source.directory.Until()) {
		reply.Hosts, reply.HostsWhole, reply.HostsUntil = s.source.directory.Since(args.Hosts)
	}
	reply.Exchange = s.source.answer(time.Now(), called, &args.Exchange)
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

// Age returns how old this host's knowledge is.
func (s *service) Age(_ *AgeArgs, reply *AgeReply) error {
	reply.Configuration, reply.List = s.beliefs.Age(), s.source.ListAge()
	return nil
}

// Exchange takes in what another host knows, and returns what this one does when it has a plan
// that the other one has not been told. One that leaves is told nothing.
func (s *service) Exchange(args *ExchangeArgs, reply *ExchangeReply) error {
	called := time.Now()
	if args.Leaves {
		s.source.neighbors.left(args.Host)
		return nil
	}
	s.source.neighbors.met(called, args)
	timer := time.NewTimer(followWait)
	defer timer.Stop()
	for waiting := true; waiting; {
		planned := s.source.planned.raised()
		if s.source.hasPlanFor(time.Now(), called, args) {
			break
		}
		select {
		case <-planned:
		case <-timer.C:
			waiting = false
		}
	}
	*reply = s.source.answer(time.Now(), called, args)
	return nil
}
