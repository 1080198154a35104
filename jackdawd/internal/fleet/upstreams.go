package fleet

import (
	"context"
	"errors"
	"time"

	"github.com/sirupsen/logrus"

	"jackdawhinge/common/traffic"
	"jackdawhinge/jackdawd/internal/membership"
)

// Upstreams returns the source as one of upstreams.
func (s *Source) Upstreams() membership.Upstreams { return upstreams{s} }

type upstreams struct{ *Source }

// Next returns what the host above told; while there is none it reads the store at the pace given.
func (u upstreams) Next(ctx context.Context, pace time.Duration) (traffic.UpstreamChange, error) {
	u.pace.Store(int64(pace))
	u.takenIn()
	if err := u.await(ctx, u.joined); err != nil {
		return traffic.UpstreamChange{}, err
	}
	if u.patient() {
		if err := u.await(ctx, u.settled); err != nil {
			return traffic.UpstreamChange{}, err
		}
	}
	if u.following.Load() == nil {
		return u.read(ctx, u.readerInterval())
	}
	return u.awaitChange(ctx, pace)
}

// errLost says that nobody tells of the upstreams any more.
var errLost = errors.New("the host above has lost the store")

// awaitChange waits until the host above tells of a change. That it tells nothing for so long
// that it has lost the store is an error, told once: entries that are gone when the store is
// back may have lapsed.
func (u upstreams) awaitChange(ctx context.Context, pace time.Duration) (traffic.UpstreamChange, error) {
	timer := time.NewTimer(pace)
	defer timer.Stop()
	for {
		select {
		case t := <-u.changes:
			u.lost = false
			if change, news := u.hand(t); news {
				return change, nil
			}
		case <-u.left:
			// What the other host had not heard of may be seconds old already.
			u.lost = false
			return u.read(ctx, 0)
		case <-timer.C:
			switch lost := u.ListAge() > 2*u.oldestList(); {
			case lost && !u.lost:
				u.lost = true
				return traffic.UpstreamChange{}, errLost
			case !lost:
				u.lost = false
				return traffic.UpstreamChange{}, nil
			}
			timer.Reset(lostPause)
		case <-ctx.Done():
			return traffic.UpstreamChange{}, ctx.Err()
		}
	}
}

// read reads the store, not sooner than so long after the last time.
func (u upstreams) read(ctx context.Context, interval time.Duration) (traffic.UpstreamChange, error) {
	wait, back := interval-time.Since(u.listedAt), u.storeBack.raised()
	if u.listFailed && u.storeLost.Load() {
		// The reads of the configuration show when the store is back.
		wait = lostListWait
	}
	if wait > 0 {
		timer := time.NewTimer(wait)
		defer timer.Stop()
		select {
		case t := <-u.changes:
			// It was told just before the store is read again.
			change, _ := u.hand(t)
			return change, nil
		case <-back:
		case <-timer.C:
		case <-ctx.Done():
			return traffic.UpstreamChange{}, ctx.Err()
		}
	}
	if !u.intake.begin(&u.following) {
		return traffic.UpstreamChange{}, nil
	}
	sent := u.options.Uptime()
	change, err := u.options.Upstreams.Next(ctx)
	u.intake.end(err == nil, u.options.Uptime())
	u.listFailed = err != nil
	if err != nil {
		return change, err
	}
	u.listedAt = time.Now()
	u.heard = sent
	if change.Restored {
		u.takeRestored()
	}
	return change, nil
}

// takeRestored takes in that the store has come back from an older copy: what this host wrote since is gone there.
func (s *Source) takeRestored() {
	logrus.Info("fleet: The store has come back from an older copy. What hosts wrote is written again.")
	s.written.clear()
	s.restoredOnce()
}

// hand returns a change that the host above told, and whether there is one. That nothing has changed
// holds at once; a change only once it has been taken in.
func (u upstreams) hand(t told) (change traffic.UpstreamChange, news bool) {
	u.heard = t.heard
	if !t.change.Whole && len(t.change.Entries) == 0 {
		u.takenIn()
		return t.change, false
	}
	return t.change, true
}

// takenIn takes note, for those below, that what was handed on last has been taken in. Said
// sooner, a follower would take its old list for a new one; if the hosts were then cut off
// from each other, it would send requests to upstreams that had left.
func (u upstreams) takenIn() {
	if u.heard == neverHeard {
		return
	}
	heard := u.heard
	u.heard = neverHeard
	if int64(heard) <= u.listHeard.Load() {
		// The host above is behind this one. Taken over, an older moment is news for those below; two
		// hosts that follow each other would tell theirs to and fro without a pause.
		return
	}
	u.heardList(heard)
	u.refreshed.raise()
}
