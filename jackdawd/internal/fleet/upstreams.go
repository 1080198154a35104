package fleet

import (
	"context"
	"errors"
	"time"

	"github.com/sirupsen/logrus"

	"jackdawhinge/common/traffic"
	"jackdawhinge/jackdawd/internal/membership"
)

// Upstreams returns the source as a source of upstreams.
func (s *Source) Upstreams() membership.UpstreamSource { return upstreams{s} }

type upstreams struct{ *Source }

// Next returns the next change received from the parent. Without a parent it reads the store at the
// given interval.
func (u upstreams) Next(ctx context.Context, interval time.Duration) (traffic.UpstreamChange, error) {
	u.upstreamInterval.Store(int64(interval))
	u.confirmApplied()
	if err := u.await(ctx, u.joined); err != nil {
		return traffic.UpstreamChange{}, err
	}
	if u.waitsAtStart() {
		if err := u.await(ctx, u.sourceChosen); err != nil {
			return traffic.UpstreamChange{}, err
		}
	}
	if u.following.Load() == nil {
		return u.read(ctx, u.readerInterval())
	}
	return u.awaitChange(ctx, interval)
}

// errParentLost says that no host sends upstream changes any more.
var errParentLost = errors.New("parent host has lost the store")

// awaitChange waits for a change from the parent. If the parent's list is so old that it must have
// lost the store, it returns an error, once per outage: entries that are missing when the store is
// back may have expired.
func (u upstreams) awaitChange(ctx context.Context, interval time.Duration) (traffic.UpstreamChange, error) {
	timer := time.NewTimer(interval)
	defer timer.Stop()
	for {
		select {
		case update := <-u.changes:
			u.lossReported = false
			if change, changed := u.receive(update); changed {
				return change, nil
			}
		case <-u.parentLeft:
			// Changes that the former parent had not received may already be seconds old.
			u.lossReported = false
			return u.read(ctx, 0)
		case <-timer.C:
			switch stale := u.ListAge() > 2*u.maxPeerListAge(); {
			case stale && !u.lossReported:
				u.lossReported = true
				return traffic.UpstreamChange{}, errParentLost
			case !stale:
				u.lossReported = false
				return traffic.UpstreamChange{}, nil
			}
			timer.Reset(staleRetryInterval)
		case <-ctx.Done():
			return traffic.UpstreamChange{}, ctx.Err()
		}
	}
}

// read reads the store, at least interval after the last read.
func (u upstreams) read(ctx context.Context, interval time.Duration) (traffic.UpstreamChange, error) {
	wait, recovered := interval-time.Since(u.listReadAt), u.storeRecovered.raised()
	if u.listReadFailed && u.storeFailing.Load() {
		// The reads of the configuration detect when the store is back.
		wait = maxListRetryWait
	}
	if wait > 0 {
		timer := time.NewTimer(wait)
		defer timer.Stop()
		for waiting, postponed := true, false; waiting; {
			select {
			case update := <-u.changes:
				// This update was received before the next read of the store was due.
				change, _ := u.receive(update)
				return change, nil
			case <-recovered:
				waiting = false
			case <-timer.C:
				waiting = !postponed && u.listGuard.takeSkipped()
				postponed = true
				timer.Reset(handoverWait)
			case <-ctx.Done():
				return traffic.UpstreamChange{}, ctx.Err()
			}
		}
	}
	if !u.listGuard.beginRead(&u.following) {
		return traffic.UpstreamChange{}, nil
	}
	sent := u.options.Uptime()
	change, err := u.options.Upstreams.Next(ctx)
	u.listGuard.endRead(err == nil, u.options.Uptime())
	u.listReadFailed = err != nil
	if err != nil {
		return change, err
	}
	u.listReadAt = time.Now()
	u.pendingListTime = sent
	if change.Restored {
		u.handleRestored()
	}
	return change, nil
}

// handleRestored handles a restore of the store from an older backup, which lacks what this host
// has written since.
func (s *Source) handleRestored() {
	logrus.Info("fleet: The store was restored from an older backup. Hosts write their entries again.")
	s.notifyRestored()
	s.saveHistoryAgain()
}

// receive returns a change received from the parent, and whether it contains anything. An unchanged
// list is valid at once, a change only after it has been applied.
func (u upstreams) receive(update upstreamUpdate) (change traffic.UpstreamChange, changed bool) {
	u.pendingListTime = update.asOf
	if !update.change.Complete && len(update.change.Entries) == 0 {
		u.confirmApplied()
		return update.change, false
	}
	return update.change, true
}

// confirmApplied makes the last returned change visible to followers as applied. If it were done
// sooner, a follower would take its old list for a new one; if the hosts were then disconnected, it
// would send requests to upstreams that had left.
func (u upstreams) confirmApplied() {
	if u.pendingListTime == unknownTime {
		return
	}
	listTime := u.pendingListTime
	u.pendingListTime = unknownTime
	if int64(listTime) <= u.listTime.Load() {
		// The parent's list is older than this host's. An older time would count as an update for
		// the followers, and two hosts that follow each other would exchange their times in a busy
		// loop.
		return
	}
	u.setListTime(listTime)
	u.refreshed.raise()
}
