package fleet

import (
	"time"

	"jackdawhinge/common/traffic"
	"jackdawhinge/jackdawd/internal/membership"
)

const (
	// maxPollWait bounds how long a follower may have its call held open.
	maxPollWait = time.Second
	// listTimeTolerance is the minimum time difference between two distinct reads of the list. The
	// computed time of one read varies by less between calls.
	listTimeTolerance = 100 * time.Millisecond
)

// State is the configuration and the upstreams that this host has; membership.Tracker implements
// it.
type State interface {
	Changes() *membership.Changes
	Age() time.Duration
	FailureScores
}

// service implements the RPC methods called by other hosts.
type service struct {
	source    *Source
	state     State
	documents compressor[int64]
	lists     compressor[membership.Position]
}

// Follow returns what the follower does not have yet, and waits for an update if there is nothing.
// A new read of an unchanged list of upstreams is an update too, since it makes the follower's data
// as recent as this host's.
func (s *service) Follow(args *FollowArgs, reply *FollowReply) error {
	start, calledAt := s.source.options.Uptime(), time.Now()
	s.source.subtree.record(calledAt, &args.Exchange)
	timer := time.NewTimer(min(args.Wait, maxPollWait, max(args.Oldest-s.source.ListAge(), 0)))
	defer timer.Stop()
	for waiting := true; waiting; {
		refreshed, planUpdated, changes := s.source.refreshed.raised(), s.source.planUpdated.raised(), s.state.Changes()
		if s.hasUpdate(calledAt, args, changes) {
			break
		}
		select {
		case <-changes.Superseded():
		case <-refreshed:
		case <-planUpdated:
		case <-timer.C:
			waiting = false
		}
	}
	reply.Waited = s.source.options.Uptime() - start
	return s.fillReply(calledAt, args, reply)
}

// hasUpdate reports whether there is something that the follower does not have.
func (s *service) hasUpdate(calledAt time.Time, args *FollowArgs, changes *membership.Changes) bool {
	if changes.Configuration() == nil || s.source.ListAge() >= unknownAge {
		// This host has just started and its own data is incomplete.
		return false
	}
	if args.Oldest >= unknownAge && s.state.Age() > s.source.maxPeerConfigurationAge() {
		// The follower waits for this host to have the store back. With the list of upstreams alone
		// it would reject the answer and pause, and so would its own followers, level by level.
		return false
	}
	listAdvance := time.Duration(s.source.listTime.Load()) - args.Heard
	return s.source.hasPlanFor(time.Now(), calledAt, &args.Exchange) || changes.Configuration().Version() > args.Version || args.Evacuations.Before(changes.Configuration().Evacuations().Position) || changes.End() != args.Position || listAdvance < 0 || listAdvance >= listTimeTolerance
}

func (s *service) fillReply(calledAt time.Time, args *FollowArgs, reply *FollowReply) error {
	// Ages are read before the data, so that they are never too low.
	reply.Behind, reply.ListBehind = s.state.Age(), s.source.ListAge()
	reply.Heard = time.Duration(s.source.listTime.Load())
	changes := s.state.Changes()
	if args.Hosts.Before(s.source.directory.Position()) {
		reply.Hosts, reply.HostsWhole, reply.HostsUntil = s.source.directory.Since(args.Hosts)
	}
	reply.Exchange = s.source.exchangeReply(time.Now(), calledAt, &args.Exchange)
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

func (s *service) fillDocument(args *FollowArgs, reply *FollowReply, changes *membership.Changes) error {
	conf := changes.Configuration()
	if conf == nil {
		reply.Behind = unknownAge
		return nil
	}
	if evacuations := conf.Evacuations(); args.Evacuations.Before(evacuations.Position) {
		reply.Evacuations, reply.Ends = &evacuations, encodeEnds(time.Now(), evacuations)
	}
	if conf.Version() <= args.Version {
		return nil
	}
	var err error
	reply.Document, err = s.documents.compress(conf.Version(), func() ([]byte, error) { return conf.Document(), nil })
	return err
}

func (s *service) fillEntries(reply *FollowReply, change traffic.UpstreamChange) error {
	if !change.Complete {
		reply.Entries = change.Entries
		return nil
	}
	var err error
	reply.Listed, err = compressUpstreams(&s.lists, reply.Position, change.Entries)
	return err
}

// Age returns the ages of this host's configuration and list of upstreams.
func (s *service) Age(_ *AgeArgs, reply *AgeReply) error {
	reply.Configuration, reply.List = s.state.Age(), s.source.ListAge()
	return nil
}

// Exchange records another host's report and answers when there is a plan that the host does not
// have. A host that leaves gets an empty reply.
func (s *service) Exchange(args *ExchangeArgs, reply *ExchangeReply) error {
	calledAt := time.Now()
	if args.Leaves {
		s.source.subtree.remove(args.Host)
		return nil
	}
	s.source.subtree.record(calledAt, args)
	timer := time.NewTimer(followPollWait)
	defer timer.Stop()
	for waiting := true; waiting; {
		planUpdated := s.source.planUpdated.raised()
		if s.source.hasPlanFor(time.Now(), calledAt, args) {
			break
		}
		select {
		case <-planUpdated:
		case <-timer.C:
			waiting = false
		}
	}
	*reply = s.source.exchangeReply(time.Now(), calledAt, args)
	return nil
}
