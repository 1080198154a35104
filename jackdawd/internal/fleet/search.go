package fleet

import (
	"context"
	"errors"
	"time"

	"github.com/sirupsen/logrus"

	"jackdawhinge/common/pause"
	"jackdawhinge/common/traffic"
)

// followAny asks the host above, and others in its place where it fails; it returns an error if
// the store is to be read, with anyLeft set if a host that was followed has just been left.
func (c configurations) followAny(ctx context.Context) (next *traffic.Configuration, behind time.Duration, anyLeft bool, err error) {
	err = errNoParent
	left, entered := 0, c.options.Uptime()
	var away absence
	for parent, ok := c.parent(); ok && ctx.Err() == nil; parent, ok = c.parent() {
		if left == 0 && c.mustRead() {
			return nil, 0, false, errNoTimeLeft
		}
		patient := c.patient()
		if c.gathers {
			c.gathers = false
			c.gatherBelow(ctx, c.refreshedAt)
		}
		begun, waited := time.Now(), c.options.Uptime()-entered
		oldest := c.oldestList() + time.Millisecond
		if away.told {
			// It need not say that it is still away: it answers when it is back.
			oldest = neverListed
		}
		if next, behind, err = c.follow(ctx, parent, oldest); err == nil {
			// It counts from the beginning, and the time until this call went by since.
			return next, behind - waited, false, nil
		}
		var stale *StaleError
		switch took := time.Since(begun); {
		case errors.Is(err, errNoTimeLeft):
			// The store is next.
		case patient:
			if !errors.As(err, &stale) && took > followTimeout {
				// It is not even starting.
				c.suspect(ctx, parent, err)
			}
			pause.For(ctx, startPause)
		case c.waitsFor(ctx, err, &away):
			pause.For(ctx, lostPause-took)
		default:
			left++
			c.leave(ctx, parent, took, err)
		}
		if left == mostParents || (left > 0 && (c.ListAge() > c.oldestList() || c.timeLeft() < followTimeout)) {
			break
		}
	}
	if left > 0 {
		// Nobody that this host knows answers: perhaps others know better whom there is.
		c.reread.Store(true)
	}
	return nil, 0, left > 0, err
}

// absence is a time for which the host above has lost the store.
type absence struct {
	// told is set once a line has told of it, asked counts how often other hosts were asked for the store.
	told  bool
	asked int
	// elsewhere is set once another host had the store.
	elsewhere bool
}

// ask returns which of the other hosts are to be asked: all of them first, then one after the other. The
// store may serve some hosts and reject others, so that one alone says little.
func (a *absence) ask(others []Peer) []Peer {
	a.asked++
	if a.asked == 1 {
		return others
	}
	return others[a.asked%len(others):][:1]
}

// waitsFor reports whether a host waits for the one above, which answers but has lost the store, instead of asking
// the store itself. It is up to the first hosts of the failure domains to find a way to the store, so that a crowd does
// not; if another failure domain's first host has one, the host above is left.
func (c configurations) waitsFor(ctx context.Context, err error, away *absence) bool {
	var stale *StaleError
	if !errors.As(err, &stale) {
		return false
	}
	others := c.directory.Elsewhere(time.Now())
	if len(others) == 0 || c.readsStore() {
		return false
	}
	if !away.told {
		away.told = true
		logrus.WithError(err).WithField("peer", stale.Reader).Info("fleet: The host above has lost the store. It is waited for.")
	}
	if c.ListAge() < c.mostLost() {
		return true
	}
	if c.allHaveLostStore(ctx, away.ask(others)) {
		return true
	}
	// After a long absence the store has just come back, and the host above needs a moment more.
	first := !away.elsewhere && c.ListAge() > 2*c.mostLost()
	away.elsewhere = true
	return first
}

// readsStore reports whether this host reads the store itself, and is answered.
func (s *Source) readsStore() bool {
	return s.following.Load() == nil && s.ListAge() <= s.oldestList()
}

// allHaveLostStore reports whether all of some hosts answer that what they know is too old as well.
func (c configurations) allHaveLostStore(ctx context.Context, others []Peer) bool {
	for _, other := range others {
		if !c.hasLostStore(ctx, other) {
			return false
		}
	}
	return true
}

// hasLostStore reports whether another host answers that what it knows is too old as well.
func (c configurations) hasLostStore(ctx context.Context, other Peer) bool {
	ctx, cancel := context.WithTimeout(ctx, followTimeout)
	defer cancel()
	var reply AgeReply
	if err := c.client(other).Call(ctx, other.Address, ageCall, &AgeArgs{}, &reply); err != nil {
		// It may be cut off, which says nothing of the store.
		c.suspect(ctx, other, err)
		return false
	}
	// When the store has gone for all, the other one may have been told by a reader that had read it later.
	youngest := c.ListAge() - c.readerInterval()
	return reply.List > min(youngest, c.oldestList()) || reply.Configuration > c.oldestConfiguration()
}

// errNoTimeLeft says that the store must be read before other hosts are asked again.
var errNoTimeLeft = errors.New("nothing was heard in time")

// errNoParent says that this host follows none.
var errNoParent = errors.New("there is no host to follow")

// parent returns the host that this one follows, or false if it reads the store.
func (s *Source) parent() (Peer, bool) {
	if s.options.Address == "" {
		return Peer{}, false
	}
	return s.directory.Parent(time.Now())
}

// patient reports whether the host has just started, in a large fleet or with all others
// for the first time, and waits for others to tell it the upstreams.
func (s *Source) patient() bool {
	crowded := s.options.FirstStart || s.directory.Large()
	return crowded && s.ListAge() >= neverListed && time.Now().Before(s.patientUntil)
}
