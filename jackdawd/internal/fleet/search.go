package fleet

import (
	"context"
	"errors"
	"time"

	"github.com/sirupsen/logrus"

	"jackdawhinge/common/pause"
	"jackdawhinge/common/traffic"
)

// followAvailable asks the parent, and other hosts in its place if it fails. It returns an error if
// the store must be read, with anyLeft set if a parent has just been left.
func (c configurations) followAvailable(ctx context.Context) (next *traffic.Configuration, behind time.Duration, anyLeft bool, err error) {
	err = errNoParent
	leftCount, start := 0, c.options.Uptime()
	var outage parentOutage
	for parent, hasParent := c.parent(); hasParent && ctx.Err() == nil; parent, hasParent = c.parent() {
		if leftCount == 0 && c.mustReadStore() {
			return nil, 0, false, errNoTimeLeft
		}
		starting := c.waitsAtStart()
		if c.lastReplyPlanOnly {
			c.lastReplyPlanOnly = false
			c.awaitChildren(ctx, c.appliedAt)
		}
		callStart, waited := time.Now(), c.options.Uptime()-start
		maxListAge := c.maxPeerListAge() + time.Millisecond
		if outage.logged {
			// The parent need not answer until it has the store back.
			maxListAge = unknownAge
		}
		if next, behind, err = c.follow(ctx, parent, maxListAge); err == nil {
			// The returned age is as of the start of this function, so waited is subtracted.
			return next, behind - waited, false, nil
		}
		var stale *StaleError
		switch took := time.Since(callStart); {
		case errors.Is(err, errNoTimeLeft):
			// The store is read next.
		case starting:
			if !errors.As(err, &stale) && took > followTimeout {
				// The parent has not started yet.
				c.suspect(ctx, parent, err)
			}
			pause.For(ctx, startRetryInterval)
		case c.shouldWait(ctx, err, &outage):
			pause.For(ctx, staleRetryInterval-took)
		default:
			leftCount++
			c.leave(ctx, parent, took, err)
		}
		if leftCount == maxParentsTried || (leftCount > 0 && (c.ListAge() > c.maxPeerListAge() || c.timeUntilDirectRead() < followTimeout)) {
			break
		}
	}
	if leftCount > 0 {
		// No known host answers; the host list may be out of date.
		c.rereadDirectory.Store(true)
	}
	return nil, 0, leftCount > 0, err
}

// parentOutage is the state of a host while its parent has lost the store.
type parentOutage struct {
	// logged is set once the outage has been logged; probes counts how often other hosts were asked
	// for the store.
	logged bool
	probes int
	// foundElsewhere is set once another host had the store.
	foundElsewhere bool
}

// nextProbes returns the hosts to ask next: all of them the first time, then one after the other.
// The store may serve some hosts and reject others, so the answer of a single host proves little.
func (o *parentOutage) nextProbes(others []Peer) []Peer {
	o.probes++
	if o.probes == 1 {
		return others
	}
	return others[o.probes%len(others):][:1]
}

// shouldWait reports whether to wait for a parent that answers but has lost the store, instead of
// reading the store. Only the heads of the failure domains retry the store, so that not all hosts
// do at once; if the head of another domain has the store, the parent is left.
func (c configurations) shouldWait(ctx context.Context, err error, outage *parentOutage) bool {
	var stale *StaleError
	if !errors.As(err, &stale) {
		return false
	}
	others := c.directory.OtherDomainHeads(time.Now())
	if len(others) == 0 || c.isReadingStore() {
		return false
	}
	if !outage.logged {
		outage.logged = true
		logrus.WithError(err).WithField("peer", stale.Host).Info("fleet: The parent host has lost the store. Waiting for it.")
	}
	if c.ListAge() < c.searchListAge() {
		return true
	}
	if c.allHaveLostStore(ctx, outage.nextProbes(others)) {
		return true
	}
	// After a long outage the store has just come back, and the parent may need a moment more.
	waitOnce := !outage.foundElsewhere && c.ListAge() > 2*c.searchListAge()
	outage.foundElsewhere = true
	return waitOnce
}

// isReadingStore reports whether this host follows no other one and the store answers it.
func (s *Source) isReadingStore() bool {
	return s.following.Load() == nil && s.ListAge() <= s.maxPeerListAge()
}

// allHaveLostStore reports whether all given hosts answer that their data is too old as well.
func (c configurations) allHaveLostStore(ctx context.Context, others []Peer) bool {
	for _, other := range others {
		if !c.hasLostStore(ctx, other) {
			return false
		}
	}
	return true
}

// hasLostStore reports whether another host answers that its data is too old as well.
func (c configurations) hasLostStore(ctx context.Context, other Peer) bool {
	ctx, cancel := context.WithTimeout(ctx, followTimeout)
	defer cancel()
	var reply AgeReply
	if err := c.clientFor(other).Call(ctx, other.Address, ageCall, &AgeArgs{}, &reply); err != nil {
		// The host may be unreachable, which says nothing about the store.
		c.suspect(ctx, other, err)
		return false
	}
	// In an outage of the store for all, the other host may have data from a reader that read it
	// later.
	otherReaderAge := c.ListAge() - c.readerInterval()
	return reply.List > min(otherReaderAge, c.maxPeerListAge()) || reply.Configuration > c.maxPeerConfigurationAge()
}

// errNoTimeLeft says that the store must be read before other hosts are asked again.
var errNoTimeLeft = errors.New("no update from other hosts in time")

// errNoParent says that this host has no parent.
var errNoParent = errors.New("no host to follow")

// parent returns the host to follow, or false if this host is to read the store.
func (s *Source) parent() (Peer, bool) {
	if s.options.Address == "" {
		return Peer{}, false
	}
	return s.directory.Parent(time.Now())
}

// waitsAtStart reports whether the host has just started, in a large fleet or together with all
// others, and waits for other hosts to send the upstreams.
func (s *Source) waitsAtStart() bool {
	mayWait := s.options.FirstStart || s.directory.IsLarge()
	return mayWait && s.ListAge() >= unknownAge && time.Now().Before(s.startWaitUntil)
}
