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
	// directoryInterval is how often a reader reads the changes of the host list, plus up to
	// directoryJitter at random. Other hosts receive them with the upstream changes.
	directoryInterval = 15 * time.Second
	directoryJitter   = 1500 * time.Millisecond
	// directoryCheckInterval is how often a host checks whether the host list is due to be read.
	directoryCheckInterval = time.Second
	// minRereadInterval is the minimum interval between reads of the host list by a host that has
	// left its parents, possibly because host lists differ. Hosts that follow each other in a cycle
	// leave each other within two seconds.
	minRereadInterval = 10 * time.Second
	// After the store was restored from an older backup, hosts register again within
	// restoredWriteJitter. Readers read the list after restoredReadInterval, when the hosts below
	// them have learned of the restore and registered. The other reader and its followers may learn
	// of it later by as much again, so the list is read restoredReadCount times.
	restoredWriteJitter  = 500 * time.Millisecond
	restoredReadInterval = 1500 * time.Millisecond
	restoredReadCount    = 2
	// registerInterval is how often a host registers again, in case another host that could not
	// reach it removed its registration.
	registerInterval = 10 * time.Minute
)

// registrationSchedule is when this host last registered and when it is due again. One goroutine
// uses it.
type registrationSchedule struct {
	attemptedAt, dueAt time.Time
	// backoff is the one after the last write if that failed, otherwise zero.
	backoff time.Duration
}

// finishAttempt records the result of a write.
func (r *registrationSchedule) finishAttempt(now time.Time, err error) {
	r.attemptedAt = now
	if err != nil {
		r.backoff = nextStoreBackoff(r.backoff)
		r.dueAt = now.Add(r.backoff + mathrand.N(r.backoff/2))
		return
	}
	r.backoff, r.dueAt = 0, now.Add(registerInterval)
}

// maintainDirectory keeps the host list and this host's registration up to date until the context
// ends.
func (s *Source) maintainDirectory(ctx context.Context) {
	lastRead := time.Now()
	if s.registrationSchedule.dueAt.IsZero() {
		// The registration of an earlier process is still there.
		s.registrationSchedule.finishAttempt(lastRead, nil)
	}
	era, jitter := s.directory.Position().Era, mathrand.N(directoryJitter)
	for ctx.Err() == nil {
		select {
		case <-s.storeRestored:
			s.rereadAfterRestore(ctx)
		case <-time.After(min(directoryCheckInterval, max(time.Until(s.registrationSchedule.dueAt), 0))):
		case <-ctx.Done():
		}
		if current := s.directory.Position().Era; current != era {
			era = current
			s.restores.Add(1)
			pause.For(ctx, mathrand.N(restoredWriteJitter))
			s.register(ctx)
		}
		if s.registrationDue(time.Now()) {
			s.register(ctx)
		}
		if s.directoryDue(time.Since(lastRead) - jitter) {
			lastRead, jitter = time.Now(), mathrand.N(directoryJitter)
			s.readDirectory(ctx)
		}
	}
}

// registrationDue reports whether this host must register: it is time to, or its registration is
// missing.
func (s *Source) registrationDue(now time.Time) bool {
	return !now.Before(s.registrationSchedule.dueAt) || now.Sub(s.registrationSchedule.attemptedAt) > minRereadInterval && s.registrationMissing.Swap(false)
}

// rereadAfterRestore reads the host list after the store was restored from an older backup, so that
// all hosts learn of the restore, and again after they have registered.
func (s *Source) rereadAfterRestore(ctx context.Context) {
	if _, hasParent := s.parent(); hasParent {
		return
	}
	s.readDirectory(ctx)
	s.done.Go(func() {
		for range restoredReadCount {
			pause.For(ctx, restoredReadInterval)
			s.readDirectory(ctx)
		}
	})
}

// StoreEra returns how often the store has been restored from an older backup, as far as this host
// knows.
func (s *Source) StoreEra() int64 { return s.directory.Position().Era }

// Restores returns how often this host has registered again since its start because the store was
// restored from an older backup.
func (s *Source) Restores() int64 { return s.restores.Load() }

// notifyRestored wakes maintainDirectory because the store was restored from an older backup.
func (s *Source) notifyRestored() {
	select {
	case s.storeRestored <- struct{}{}:
	default:
	}
}

// directoryDue reports whether the host list must be read, given the time since the last read.
func (s *Source) directoryDue(sinceRead time.Duration) bool {
	_, hasParent := s.parent()
	switch {
	case s.directory.Position().IsZero():
		// No other host is known.
		return sinceRead > directoryCheckInterval
	case s.rereadDirectory.Load():
		return sinceRead > minRereadInterval
	default:
		return !hasParent && sinceRead > directoryInterval
	}
}

// readDirectory reads the host list from the store.
func (s *Source) readDirectory(ctx context.Context) {
	select {
	case s.directoryRead <- struct{}{}:
		defer func() { <-s.directoryRead }()
	case <-ctx.Done():
		return
	}
	s.rereadDirectory.Store(false)
	registrations, whole, until, err := s.options.HostRegistry.Next(ctx)
	if err != nil {
		// The reads of the configuration fail as well, and log it.
		return
	}
	if s.directory.Update(registrations, whole, until) {
		s.registrationMissing.Store(true)
	}
}

// register publishes this host's registration.
func (s *Source) register(ctx context.Context) {
	data, err := json.Marshal(s.directory.Self().Registration)
	if err != nil {
		// Strings always encode.
		panic(err)
	}
	err = s.options.HostRegistry.Put(ctx, s.directory.Self().Name, data)
	if err != nil {
		logrus.WithError(err).Warn("fleet: Registering this host failed. Retrying.")
	}
	s.registrationSchedule.finishAttempt(time.Now(), err)
}
