package fleet

import (
	"context"
	"encoding/json"
	mathrand "math/rand/v2"
	"time"

	"github.com/sirupsen/logrus"

	"jackdawhinge/common/pause"
)

const (
	// directoryEvery is how often a host that reads the store reads the list of hosts, of which
	// it gets what has changed; directorySpread is how much later at random. The others are
	// told with what they are told of upstreams.
	directoryEvery  = 15 * time.Second
	directorySpread = 1500 * time.Millisecond
	// directoryTick is how often a host looks whether it is to read the list.
	directoryTick = time.Second
	// rereadEvery is how often at most a host reads the list for having left others, which
	// may be because lists differ: hosts that follow each other in a circle leave each other
	// within two seconds.
	rereadEvery = 10 * time.Second
	// restoredSpread is within which time hosts write their notices again when the store has come back from an
	// older copy, restoredReread when those below the same reader have: they hear of it within some steps down the tree.
	// The other reader may hear of it, and those below it write, later by as much again; so the list is read twice.
	restoredSpread  = 500 * time.Millisecond
	restoredReread  = 1500 * time.Millisecond
	restoredRereads = 2
	// announceEvery is how often a host writes its notice again, which another host may
	// have removed that could not reach it.
	announceEvery = 10 * time.Minute
)

// announcement is when this host's notice was written and when it is due again. One goroutine uses it.
type announcement struct {
	tried, due time.Time
	// retry is the pause after the last write if it failed, else zero.
	retry time.Duration
}

// ended takes in that a write was tried.
func (a *announcement) ended(now time.Time, err error) {
	a.tried = now
	if err != nil {
		a.retry = nextBoardRetry(a.retry)
		a.due = now.Add(a.retry + mathrand.N(a.retry/2))
		return
	}
	a.retry, a.due = 0, now.Add(announceEvery)
}

// followDirectory keeps the list of hosts and this host's notice on it until the context ends.
func (s *Source) followDirectory(ctx context.Context) {
	read := time.Now()
	if s.announcement.due.IsZero() {
		// The notice of an earlier process stands.
		s.announcement.ended(read, nil)
	}
	era, spread := s.directory.Until().Era, mathrand.N(directorySpread)
	for ctx.Err() == nil {
		select {
		case <-s.restored:
			s.readRestored(ctx)
		case <-time.After(min(directoryTick, max(time.Until(s.announcement.due), 0))):
		case <-ctx.Done():
		}
		if now := s.directory.Until().Era; now != era {
			era = now
			s.restores.Add(1)
			pause.For(ctx, mathrand.N(restoredSpread))
			s.announce(ctx)
		}
		if s.announceDue(time.Now()) {
			s.announce(ctx)
		}
		if s.directoryDue(time.Since(read) - spread) {
			read, spread = time.Now(), mathrand.N(directorySpread)
			s.readDirectory(ctx)
		}
	}
}

// announceDue reports whether this host's notice is to be written: its time has come, or it is missing on the list.
func (s *Source) announceDue(now time.Time) bool {
	return !now.Before(s.announcement.due) || now.Sub(s.announcement.tried) > rereadEvery && s.missed.Swap(false)
}

// readRestored reads the list of hosts after the store has come back from an older copy, so that all hear of that, and
// again when they have written their notices.
func (s *Source) readRestored(ctx context.Context) {
	if _, follows := s.parent(); follows {
		return
	}
	s.readDirectory(ctx)
	s.done.Go(func() {
		for range restoredRereads {
			pause.For(ctx, restoredReread)
			s.readDirectory(ctx)
		}
	})
}

// StoreEra returns how often the store has come back from an older copy, as far as this host knows.
func (s *Source) StoreEra() int64 { return s.directory.Until().Era }

// Restores returns how often this host has written its notices again since its start, as the store had come back from an
// older copy.
func (s *Source) Restores() int64 { return s.restores.Load() }

// restoredOnce wakes the one who keeps the list of hosts, as the store has come back from an older copy.
func (s *Source) restoredOnce() {
	select {
	case s.restored <- struct{}{}:
	default:
	}
}

// directoryDue reports whether the list of hosts is to be read that was read some time ago.
func (s *Source) directoryDue(ago time.Duration) bool {
	_, follows := s.parent()
	switch {
	case s.directory.Until().IsZero():
		// Nobody is known.
		return ago > directoryTick
	case s.reread.Load():
		return ago > rereadEvery
	default:
		return !follows && ago > directoryEvery
	}
}

// readDirectory reads the list of hosts from the store.
func (s *Source) readDirectory(ctx context.Context) {
	s.reread.Store(false)
	notices, whole, until, err := s.options.Board.Next(ctx)
	if err != nil {
		// A failure shows in the reads of the configuration, and there it is told.
		return
	}
	if s.directory.Take(notices, whole, until) {
		s.missed.Store(true)
	}
}

// announce writes this host's notice.
func (s *Source) announce(ctx context.Context) {
	notice, err := json.Marshal(s.directory.Self().Notice)
	if err != nil {
		// Texts always encode.
		panic(err)
	}
	err = s.options.Board.Put(ctx, s.directory.Self().Name, notice)
	if err != nil {
		logrus.WithError(err).Warn("fleet: This host's notice was not written. It is tried again.")
	}
	s.announcement.ended(time.Now(), err)
}
