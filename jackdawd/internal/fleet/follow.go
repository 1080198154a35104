package fleet

import (
	"context"
	"errors"
	"fmt"
	"time"

	"jackdawhinge/common/traffic"
	"jackdawhinge/jackdawd/internal/membership"
)

// Configurations returns the source as a source of configurations.
func (s *Source) Configurations() membership.ConfigurationSource { return configurations{s} }

type configurations struct{ *Source }

// Next asks the parent if there is one, otherwise the store. It reads the store at once if other
// hosts have not sent a configuration in time.
func (c configurations) Next(ctx context.Context, wait time.Duration) (*traffic.Configuration, time.Duration, error) {
	if c.version == 0 && !c.options.FirstStart {
		if next, err := c.readInitial(ctx); err == nil && next != nil {
			return next, 0, nil
		}
	}
	if err := c.await(ctx, c.joined); err != nil {
		return nil, 0, err
	}
	// The result of the last call has been applied only now. Followers are answered from here on,
	// so that they receive its age; if they were answered sooner, each level of the tree would add
	// the interval between two answers to the age it passes on.
	c.appliedAt = time.Now()
	c.refreshed.raise()
	start := c.options.Uptime()
	for {
		if c.mustReadStore() {
			sent := c.options.Uptime()
			if next, err := c.readStoreDirectly(ctx); err == nil {
				return next, start - sent, nil
			}
		}
		callStart := c.options.Uptime()
		next, behind, left, err := c.followAvailable(ctx)
		switch {
		case next != nil || err == nil:
			return next, behind - (callStart - start), nil
		case ctx.Err() != nil:
			return nil, 0, ctx.Err()
		case errors.Is(err, errNoTimeLeft):
			continue
		}
		sent := c.options.Uptime()
		next, err = c.readStore(ctx, wait, left)
		return next, start - sent, err
	}
}

// readInitial reads the first configuration from the store. The reads of all hosts together are a
// small load, and a host that has just started cannot serve before it has a configuration. It is
// skipped when the whole system starts for the first time, since nobody waits for it yet.
func (c configurations) readInitial(ctx context.Context) (*traffic.Configuration, error) {
	next, err := c.options.Configurations.Next(ctx, 0)
	if err != nil || next == nil {
		return nil, err
	}
	if err := c.await(ctx, c.joined); err != nil {
		return nil, err
	}
	next = c.withOthersKnowledge(ctx, next)
	c.recordConfiguration(next)
	return next, nil
}

// recordConfiguration records what this host will have once it has applied a configuration, nil for
// none.
func (c configurations) recordConfiguration(next *traffic.Configuration) {
	if next == nil {
		return
	}
	c.version = max(c.version, next.Version())
	if position := next.Evacuations().Position; c.evacuations.Before(position) {
		c.evacuations = position
	}
}

// withEvacuations returns a configuration with evacuations that the parent has sent. Without a newer
// configuration it is the one in force.
func (c configurations) withEvacuations(next *traffic.Configuration, evacuations traffic.Evacuations) *traffic.Configuration {
	if next == nil {
		next = c.state.Changes().Configuration()
	}
	if next == nil {
		return nil
	}
	return next.WithEvacuations(evacuations)
}

// readStore reads the configuration from the store; left is set if the parent has just been left.
// Trying one host after another could exceed the age bounds, so the store is read next, without
// waiting.
func (c configurations) readStore(ctx context.Context, wait time.Duration, left bool) (*traffic.Configuration, error) {
	c.setFollowing(nil)
	if left && c.state.Age() > c.readerWait() {
		wait = 0
	}
	next, err := c.readConfiguration(ctx, min(wait, c.readerWait()))
	if err != nil && (c.ListAge() > c.maxPeerListAge() || c.state.Age() > c.maxPeerConfigurationAge()) {
		// The other reader may still be served by the store.
		c.directory.MarkRejected(time.Now())
	}
	return next, err
}

// readConfiguration makes one read of the configuration from the store.
func (c configurations) readConfiguration(ctx context.Context, wait time.Duration) (*traffic.Configuration, error) {
	next, err := c.options.Configurations.Next(ctx, wait)
	if next != nil && next.Evacuations().Ends() == nil && c.evacuations.Before(next.Evacuations().Position) {
		next = c.withRecentEnds(ctx, next, []NewestReply{{Evacuations: c.evacuations}})
	}
	c.recordConfiguration(next)
	if wasFailing := c.storeFailing.Swap(err != nil); wasFailing && err == nil {
		c.storeRecovered.raise()
	}
	return next, err
}

// follow makes one call to the parent, which answers at once if its list of upstreams is older than
// maxListAge. It returns a new configuration, if any, and the age that the parent's configuration
// had when the call was made.
func (c configurations) follow(ctx context.Context, parent Peer, maxListAge time.Duration) (*traffic.Configuration, time.Duration, error) {
	timeout := c.callTimeout()
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	sent := c.options.Uptime()
	args := FollowArgs{
		Version: c.version, Evacuations: c.evacuations, Position: c.position, Whole: c.needsFullList, Heard: c.parentListTime, Wait: followPollWait, Oldest: maxListAge,
	}
	if c.askedHost != parent.Name {
		// Positions and times are relative to one host, and a new parent should answer at once.
		c.askedHost, c.needsFullList = parent.Name, true
		args.Position, args.Whole, args.Heard = membership.Position{}, true, unknownTime
	}
	args.Hosts, args.Exchange = c.directory.Position(), c.exchangeArgs(time.Now(), parent)
	var reply FollowReply
	if err := c.clientFor(parent).Call(ctx, parent.Address, followCall, &args, &reply); err != nil {
		c.forgetReported()
		if ctx.Err() != nil && timeout < maxCallTimeout {
			// The parent may only have held the call open for as long as it was asked to.
			return nil, 0, errNoTimeLeft
		}
		return nil, 0, err
	}
	if reply.Behind > c.maxPeerConfigurationAge() || reply.ListBehind > c.maxPeerListAge() {
		return nil, 0, &StaleError{Host: parent.Name, Behind: max(reply.Behind, reply.ListBehind)}
	}
	c.answeredAt.Store(int64(c.options.Uptime()))
	c.applyExchange(time.Now(), &reply.Exchange)
	if !reply.HostsUntil.IsZero() && c.directory.Merge(reply.Hosts, reply.HostsWhole, reply.HostsUntil) {
		c.registrationMissing.Store(true)
	}
	if args.Hosts.Era != reply.HostsUntil.Era && !reply.HostsUntil.IsZero() {
		c.notifyRestored()
	}
	next, behind, err := c.applyReply(parent, reply, sent+reply.Waited-reply.ListBehind)
	if err != nil {
		// The next call requests everything again.
		c.askedHost = ""
	}
	return next, behind, err
}

// applyReply applies the reply of the parent, whose list of upstreams was valid at the given time.
func (c configurations) applyReply(parent Peer, reply FollowReply, listTime time.Duration) (*traffic.Configuration, time.Duration, error) {
	next, err := c.decodeDocument(reply.Document)
	if err != nil {
		return nil, 0, err
	}
	if reply.Evacuations != nil {
		next = c.withEvacuations(next, reply.Evacuations.WithEnds(decodeEnds(time.Now(), reply.Ends)))
	}
	if err := c.forwardUpstreams(parent, reply, listTime); err != nil {
		return nil, 0, err
	}
	c.recordConfiguration(next)
	c.position, c.parentListTime = reply.Position, reply.Heard
	// Updates of other kinds are passed on at once.
	c.lastReplyPlanOnly = reply.Exchange.Plan != nil && next == nil && len(reply.Listed) == 0 && len(reply.Entries) == 0
	c.directory.ClearSuspect(parent.Name)
	// The store is reachable for some host.
	c.lastDirectRead.failed = false
	return next, reply.Behind - reply.Waited, nil
}

// forwardUpstreams queues upstream changes for Upstreams.Next. A complete list, which a new
// follower receives first, is skipped while it is older than this host's own, and requested again
// until it is not.
func (c configurations) forwardUpstreams(parent Peer, reply FollowReply, listTime time.Duration) error {
	change := traffic.UpstreamChange{Entries: reply.Entries}
	if len(reply.Listed) > 0 {
		entries, err := decompressUpstreams(reply.Listed)
		if err != nil {
			return err
		}
		change = traffic.UpstreamChange{Complete: true, Entries: entries}
	}
	switch {
	case change.Complete && c.listGuard.tryReplace(listTime, func() { c.setFollowing(&parent) }):
		c.needsFullList = false
	case c.needsFullList:
		return nil
	}
	if change.Complete || len(change.Entries) > 0 {
		c.listGuard.recordChange(c.options.Uptime())
	}
	select {
	case c.changes <- upstreamUpdate{change: change, asOf: listTime}:
		return nil
	default:
		// The consumer is not keeping up; dropping this change would make later ones wrong.
		return errChangesPending
	}
}

// upstreamUpdate is an upstream change received from the parent, and the time at which the list is
// valid with it.
type upstreamUpdate struct {
	change traffic.UpstreamChange
	asOf   time.Duration
}

// errChangesPending says that this host has not yet applied earlier changes.
var errChangesPending = errors.New("earlier upstream changes are not applied yet")

// A StaleError says that the parent answers, but has itself lost the store.
type StaleError struct {
	Host   string
	Behind time.Duration
}

// Error returns the host and the age of its data.
func (e *StaleError) Error() string {
	return fmt.Sprintf("host %s is %s behind", e.Host, e.Behind.Round(time.Millisecond))
}
