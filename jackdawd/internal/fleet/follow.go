package fleet

import (
	"context"
	"errors"
	"fmt"
	"time"

	"jackdawhinge/common/traffic"
	"jackdawhinge/jackdawd/internal/membership"
)

// Configurations returns the source as one of configurations.
func (s *Source) Configurations() membership.Configurations { return configurations{s} }

type configurations struct{ *Source }

// Next asks the host above if there is one, else the store; the store at once if others have told nothing in time.
func (c configurations) Next(ctx context.Context, wait time.Duration) (*traffic.Configuration, time.Duration, error) {
	if c.version == 0 && !c.options.FirstStart {
		if next, err := c.first(ctx); err == nil && next != nil {
			return next, 0, nil
		}
	}
	if err := c.await(ctx, c.joined); err != nil {
		return nil, 0, err
	}
	// What the last call brought has been taken in only now, so that followers that are
	// answered now hear how old it is; told sooner, each step would add the time between
	// two answers to the age of what it passes on.
	c.refreshedAt = time.Now()
	c.refreshed.raise()
	entered := c.options.Uptime()
	for {
		if c.mustRead() {
			sent := c.options.Uptime()
			if next, err := c.readInTime(ctx); err == nil {
				return next, entered - sent, nil
			}
		}
		asked := c.options.Uptime()
		next, behind, left, err := c.followAny(ctx)
		switch {
		case next != nil || err == nil:
			return next, behind - (asked - entered), nil
		case ctx.Err() != nil:
			return nil, 0, ctx.Err()
		case errors.Is(err, errNoTimeLeft):
			continue
		}
		sent := c.options.Uptime()
		next, err = c.readStore(ctx, wait, left)
		return next, entered - sent, err
	}
}

// first reads the first configuration from the store: all hosts' together are little, and
// a host that has just started has nothing to serve by until it knows one. When all start
// for the first time nobody waits for it yet.
func (c configurations) first(ctx context.Context) (*traffic.Configuration, error) {
	next, err := c.options.Configurations.Next(ctx, 0)
	if err != nil || next == nil {
		return nil, err
	}
	if err := c.await(ctx, c.joined); err != nil {
		return nil, err
	}
	next = c.preferNewest(ctx, next)
	c.version = next.Version()
	return next, nil
}

// readStore reads the configuration from the store; left is set if the host that was
// followed has just been left. Asking one host after the other could take longer
// than the bounds allow, so the store is next, at once.
func (c configurations) readStore(ctx context.Context, wait time.Duration, left bool) (*traffic.Configuration, error) {
	c.setFollowing(nil)
	if left && c.beliefs.Age() > c.readerWait() {
		wait = 0
	}
	next, err := c.readConfiguration(ctx, min(wait, c.readerWait()))
	if err != nil && (c.ListAge() > c.oldestList() || c.beliefs.Age() > c.oldestConfiguration()) {
		// Others may be better off.
		c.directory.TurnAway(time.Now())
	}
	return next, err
}

// readConfiguration makes one read of the configuration from the store.
func (c configurations) readConfiguration(ctx context.Context, wait time.Duration) (*traffic.Configuration, error) {
	next, err := c.options.Configurations.Next(ctx, wait)
	if next != nil {
		c.version = max(c.version, next.Version())
	}
	if was := c.storeLost.Swap(err != nil); was && err == nil {
		c.storeBack.raise()
	}
	return next, err
}

// follow makes one call to the host above, which answers at once if its list is older than given.
func (c configurations) follow(ctx context.Context, parent Peer, oldest time.Duration) (*traffic.Configuration, time.Duration, error) {
	limit := c.callTime()
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	sent := c.options.Uptime()
	args := FollowArgs{
		Version: c.version, Position: c.position, Whole: c.whole, Heard: c.parentHeard, Wait: followWait, Oldest: oldest,
	}
	if c.asked != parent.Name {
		// Positions and moments are those of one host, and the first answer should come
		// at once if there is one.
		c.asked, c.whole = parent.Name, true
		args.Position, args.Whole, args.Heard = membership.Position{}, true, neverHeard
	}
	args.Hosts, args.Exchange = c.directory.Until(), c.tell(time.Now(), parent)
	var reply FollowReply
	if err := c.client(parent).Call(ctx, parent.Address, followCall, &args, &reply); err != nil {
		c.notTold()
		if ctx.Err() != nil && limit < longestCall {
			// The other host may have held the call for as long as it was asked to.
			return nil, 0, errNoTimeLeft
		}
		return nil, 0, err
	}
	if reply.Behind > c.oldestConfiguration() || reply.ListBehind > c.oldestList() {
		return nil, 0, &StaleError{Reader: parent.Name, Behind: max(reply.Behind, reply.ListBehind)}
	}
	c.learn(time.Now(), &reply.Exchange)
	if !reply.HostsUntil.IsZero() && c.directory.Learn(reply.Hosts, reply.HostsWhole, reply.HostsUntil) {
		c.missed.Store(true)
	}
	if args.Hosts.Era != reply.HostsUntil.Era && !reply.HostsUntil.IsZero() {
		c.restoredOnce()
	}
	next, behind, err := c.take(parent, reply, sent+reply.Waited-reply.ListBehind)
	if err != nil {
		// What was missed is told again.
		c.asked = ""
	}
	return next, behind, err
}

// take takes in the answer of the host above, whose list of upstreams is as old as given.
func (c configurations) take(parent Peer, reply FollowReply, listed time.Duration) (*traffic.Configuration, time.Duration, error) {
	var next *traffic.Configuration
	if len(reply.Document) > 0 {
		document, err := unpack(reply.Document)
		if err != nil {
			return nil, 0, err
		}
		if next, err = c.options.Decode(document); err != nil {
			return nil, 0, err
		}
	}
	if err := c.pass(parent, reply, listed); err != nil {
		return nil, 0, err
	}
	if next != nil {
		c.version = max(c.version, next.Version())
	}
	c.position, c.parentHeard = reply.Position, reply.Heard
	// News of other kinds goes on at once.
	c.gathers = reply.Exchange.Plan != nil && next == nil && len(reply.Listed) == 0 && len(reply.Entries) == 0
	c.directory.Trust(parent.Name)
	// The store is not away for all.
	c.ownRead.failed = false
	return next, reply.Behind - reply.Waited, nil
}

// pass hands what has changed of the upstreams on. All of them, which is what a host is
// told first, are passed over while they are older than what is known here; they are
// asked for again until they are not.
func (c configurations) pass(parent Peer, reply FollowReply, listed time.Duration) error {
	change := traffic.UpstreamChange{Entries: reply.Entries}
	if len(reply.Listed) > 0 {
		entries, err := unpackUpstreams(reply.Listed)
		if err != nil {
			return err
		}
		change = traffic.UpstreamChange{Whole: true, Entries: entries}
	}
	switch {
	case change.Whole && c.intake.replace(listed, func() { c.setFollowing(&parent) }):
		c.whole = false
	case c.whole:
		return nil
	}
	if change.Whole || len(change.Entries) > 0 {
		c.intake.changed(c.options.Uptime())
	}
	select {
	case c.changes <- told{change: change, heard: listed}:
		return nil
	default:
		// Changes are not taken in; without this one the later ones would be wrong.
		return errBehind
	}
}

// told is what the host above told of the upstreams, and the moment up to which that is all.
type told struct {
	change traffic.UpstreamChange
	heard  time.Duration
}

// errBehind says that this host has not taken in what it was told before.
var errBehind = errors.New("earlier changes are not taken in yet")

// A StaleError says that the host that is followed has lost the store itself.
type StaleError struct {
	Reader string
	Behind time.Duration
}

// Error returns the host and its age.
func (e *StaleError) Error() string {
	return fmt.Sprintf("host %s is %s behind", e.Reader, e.Behind.Round(time.Millisecond))
}
