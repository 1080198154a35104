package fleet

import (
	"time"

	"jackdawhinge/jackdawd/internal/membership"
)

const (
	// mostWait bounds how long a follower may have its call held.
	mostWait = time.Second
	// mostLoads bounds the loads of one answer to 1.4 KB, or 3.4 KB/s for a follower.
	mostLoads = 230
	// overlap is added to the time since a follower's last call, so that what was told
	// while that call was answered is not missed.
	overlap = 100 * time.Millisecond
	// mostSince is how old a load may be to say something.
	mostSince = 2 * time.Second
)

// Beliefs is what a host knows.
type Beliefs interface {
	Changes() *membership.Changes
	Age() time.Duration
}

// service answers followers.
type service struct {
	beliefs   Beliefs
	listAge   func() time.Duration
	directory *Directory
	loads     LoadTable
	packer    packer
}

// Follow returns what the follower has missed; it waits for a change if there is none.
func (s *service) Follow(args *FollowArgs, reply *FollowReply) error {
	timer := time.NewTimer(min(args.Wait, mostWait))
	defer timer.Stop()
	now := time.Now()
	s.loads.Merge(args.Loads.unpack(now))
	changes := s.beliefs.Changes()
	for waiting := true; waiting && !s.news(args, changes); changes = s.beliefs.Changes() {
		select {
		case <-changes.Superseded():
		case <-timer.C:
			waiting = false
		}
	}
	return s.fill(args, reply, changes)
}

// news reports whether there is something that the follower does not know.
func (s *service) news(args *FollowArgs, c *membership.Changes) bool {
	newer := c.Configuration() != nil && c.Configuration().Version() > args.Version
	return newer || c.End() != args.Position
}

func (s *service) fill(args *FollowArgs, reply *FollowReply, c *membership.Changes) error {
	// The age is taken after the changes: what the host heard in between is in them or
	// makes them older, never newer than is said.
	if conf := c.Configuration(); conf != nil && conf.Version() > args.Version {
		packed, err := s.packer.pack(conf.Version(), conf.Document())
		if err != nil {
			return err
		}
		reply.Document = packed
	}
	change := c.Since(args.Position)
	reply.Whole, reply.Entries, reply.Position = change.Whole, change.Entries, c.End()
	if hosts, version := s.directory.All(); version != args.Hosts {
		reply.Hosts = hosts
	}
	now := time.Now()
	reply.Loads = packLoads(now, s.loads.Newest(now, min(args.Since, mostSince)+overlap, mostLoads))
	reply.Behind, reply.ListBehind = s.beliefs.Age(), s.listAge()
	return nil
}
