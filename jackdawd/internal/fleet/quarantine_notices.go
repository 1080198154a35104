package fleet

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"jackdawhinge/common/pause"
	"jackdawhinge/common/traffic"
	"jackdawhinge/jackdawd/internal/quarantine"
)

const (
	// quarantinePollWait is how long a read of quarantine notices is held open for a change. If one
	// reader's connection stalls unnoticed, that reader misses other regions' notices for 11 s; the
	// region's other reader still gets them.
	quarantinePollWait = 10 * time.Second
	// minStoreBackoff is the backoff after the first failed store call. It doubles with each
	// further failure up to maxStoreBackoff and is jittered by up to half, because calls cost
	// something even while the store is down.
	minStoreBackoff = 200 * time.Millisecond
	maxStoreBackoff = 3 * time.Second
)

// QuarantineStore stores notices of quarantined requests, for other regions and for hosts that
// start when all others do too.
type QuarantineStore interface {
	// Put stores the notice of a request, or removes it if notice is nil, and returns the log
	// position after the write.
	Put(ctx context.Context, request string, notice []byte) (traffic.LogPosition, error)
	// PutAtEnd stores the notice of a request if nothing was written after the position end, and
	// returns the log position after the write. It fails if something was.
	PutAtEnd(ctx context.Context, request string, notice []byte, end traffic.LogPosition) (traffic.LogPosition, error)
	// Next returns the notices changed since the last call, without a value for a removed one, and
	// the position they are valid at; whole is set if they are all existing notices. It waits up to
	// wait for a change.
	Next(ctx context.Context, wait time.Duration) (notices map[string]traffic.StoredRecord, whole bool, until traffic.LogPosition, err error)
}

// nextStoreBackoff returns the backoff that follows the given one after another failed store call.
func nextStoreBackoff(previous time.Duration) time.Duration {
	return min(max(2*previous, minStoreBackoff), maxStoreBackoff)
}

// knownNotices is this host's knowledge of which quarantine notices are in the store.
type knownNotices struct {
	mu sync.Mutex
	// readUntil is the position up to which the store was read, if it was read at all, and
	// writtenUntil the end of this host's last write, before which the store was read as well.
	readUntil, writtenUntil traffic.LogPosition
	read                    bool
	// positions holds, by request, the position after its notice.
	positions map[string]traffic.LogPosition
}

// end returns the position up to which this host knows all notices, and false if it knows none yet.
func (k *knownNotices) end() (traffic.LogPosition, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.readUntil.Before(k.writtenUntil) {
		return k.writtenUntil, k.read
	}
	return k.readUntil, k.read
}

// recordPut records a written notice and the position after the write. It reports whether the
// notice is already known to have been removed since.
func (k *knownNotices) recordPut(request string, position traffic.LogPosition) (removed bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.writtenUntil = position
	if k.readUntil.Before(position) {
		k.positions[request] = position
		return false
	}
	_, known := k.positions[request]
	return !known && position.Era == k.readUntil.Era
}

// recordRead records notices read up to a position and returns the requests whose notices were
// removed, and those of them whose notices a host that did not know of the removal has written
// again: hosts write a notice only where there is none, so one with another position than before
// was removed in between. A notice missing because the store was restored from an older backup does
// not count as removed.
func (k *knownNotices) recordRead(notices map[string]traffic.StoredRecord, whole bool, until traffic.LogPosition) (removed, rewritten []string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.readUntil, k.read = until, true
	for request, position := range k.positions {
		if _, listed := notices[request]; !whole || listed || until.Before(position) {
			continue
		}
		delete(k.positions, request)
		if position.Era == until.Era {
			removed = append(removed, request)
		}
	}
	for request, notice := range notices {
		position, known := k.positions[request]
		switch {
		case notice.Value == nil:
			delete(k.positions, request)
			removed = append(removed, request)
		case known && position.Era == notice.End.Era && position.Before(notice.End):
			delete(k.positions, request)
			removed, rewritten = append(removed, request), append(rewritten, request)
		default:
			k.positions[request] = notice.End
		}
	}
	return removed, rewritten
}

func (k *knownNotices) contains(request string) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	_, known := k.positions[request]
	return known
}

// isHealthyReader reports whether this host is one of its region's readers and the store answers
// it.
func (s *Source) isHealthyReader() bool {
	_, hasParent := s.parent()
	return !hasParent && s.ListAge() <= s.maxPeerListAge()
}

// followQuarantineNotices applies the notices in the store while this host is a reader, until the
// context ends. The store is the only channel between regions, and the only copy if all hosts lose
// their state at once.
func (s *Source) followQuarantineNotices(ctx context.Context) {
	if s.await(ctx, s.sourceChosen) != nil {
		return
	}
	backoff := time.Duration(0)
	for ctx.Err() == nil {
		if !s.isHealthyReader() {
			pause.For(ctx, roleCheckInterval)
			continue
		}
		notices, whole, until, err := s.options.QuarantineStore.Next(ctx, quarantinePollWait)
		if err != nil {
			if ctx.Err() == nil {
				logrus.WithError(err).Info("fleet: Reading the notices of quarantined requests failed. Retrying.")
			}
			backoff = nextStoreBackoff(backoff)
			pause.For(ctx, backoff+rand.N(backoff/2))
			continue
		}
		backoff = 0
		removed, rewritten := s.knownNotices.recordRead(notices, whole, until)
		for _, request := range removed {
			s.release(time.Now(), request)
		}
		for _, request := range rewritten {
			s.removeNotice(ctx, request)
		}
		s.mergeNotices(ctx, notices)
	}
}

// mergeNotices applies notices read from the store. It removes expired ones there, and those of
// requests that were released or answered while another host wrote their notices, or whose crashes
// have another cause.
func (s *Source) mergeNotices(ctx context.Context, notices map[string]traffic.StoredRecord) {
	now := time.Now()
	var records []quarantine.Record
	for request, notice := range notices {
		if notice.Value == nil {
			continue
		}
		r, err := quarantine.DecodeNotice(now, request, notice.Value)
		switch {
		case err != nil:
			logrus.WithError(err).Warn("fleet: Skipped an invalid notice of a quarantined request.")
		case r.Expired():
			s.removeNotice(ctx, request)
		default:
			records = append(records, r)
		}
	}
	s.options.Quarantine.Merge(now, records)
	for _, r := range records {
		if !s.options.Quarantine.IsCause(now, r.Request) {
			s.removeNotice(ctx, r.Request.String())
		}
	}
}

// publishQuarantineNotices writes notices of quarantined requests while this host is a reader,
// until the context ends.
func (s *Source) publishQuarantineNotices(ctx context.Context) {
	backoff := time.Duration(0)
	for ctx.Err() == nil {
		changed := s.options.Quarantine.Changed()
		if s.isHealthyReader() && !s.writeMissingNotices(ctx) {
			backoff = nextStoreBackoff(backoff)
			pause.For(ctx, backoff+rand.N(backoff/2))
			continue
		}
		backoff = 0
		s.awaitWithTimeout(ctx, changed, roleCheckInterval)
	}
}

// writeMissingNotices writes the notices that are not in the store yet and reports whether all are
// there now.
func (s *Source) writeMissingNotices(ctx context.Context) bool {
	now := time.Now()
	complete := true
	for _, r := range s.options.Quarantine.AllQuarantined(now) {
		request := r.Request.String()
		if s.knownNotices.contains(request) {
			continue
		}
		notice, err := json.Marshal(r.Notice(now))
		if err != nil {
			// Numbers and times always encode.
			panic(err)
		}
		complete = s.putNotice(ctx, request, notice) && complete
	}
	return complete
}

// release ends the quarantine of a request whose notice was removed, which is how operators end it.
func (s *Source) release(now time.Time, request string) {
	f, err := quarantine.ParseFingerprint(request)
	if err != nil {
		logrus.WithError(err).Warn("fleet: Skipped an invalid notice of a quarantined request.")
		return
	}
	s.options.Quarantine.Release(now, f)
}

// putNotice writes the notice of a request and reports whether that succeeded. It writes only if
// this host has read all notices, as otherwise it could overwrite an operator's removal.
func (s *Source) putNotice(ctx context.Context, request string, notice []byte) bool {
	end, known := s.knownNotices.end()
	if !known {
		return false
	}
	position, err := s.options.QuarantineStore.PutAtEnd(ctx, request, notice, end)
	if err != nil {
		logrus.WithError(err).WithField("fingerprint", request).Info("fleet: Writing the notice of a quarantined request failed. Retrying.")
		return false
	}
	if s.knownNotices.recordPut(request, position) {
		s.release(time.Now(), request)
	}
	return true
}

// removeNotice removes the notice of a request. Later reads of the store confirm the removal.
func (s *Source) removeNotice(ctx context.Context, request string) {
	if _, err := s.options.QuarantineStore.Put(ctx, request, nil); err != nil {
		logrus.WithError(err).WithField("fingerprint", request).Info("fleet: Removing the notice of a quarantined request failed.")
	}
}
