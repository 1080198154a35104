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
	// boardWait is how long a read of the board waits for a notice. One reader's connection that falls
	// silent unnoticed then keeps it from hearing of other regions for 11 s, the other one hears.
	boardWait = 10 * time.Second
	// boardRetry is the pause after a call of the board that failed, which doubles up to longestBoardRetry
	// with each further one, with jitter of its half: calls cost also while the store is away.
	boardRetry        = 200 * time.Millisecond
	longestBoardRetry = 3 * time.Second
)

// QuarantineBoard is where the requests that are barred are written, for other regions and for hosts that
// start when all others do.
type QuarantineBoard interface {
	// Put writes a request's notice, or removes it if there is none, and returns the position after it.
	Put(ctx context.Context, request string, notice []byte) (traffic.LogPosition, error)
	// Next returns the notices that have changed since the last call, nil where one was removed, and the
	// position that they are of; whole is set if they are all that there are. It waits for a change as long
	// as wait says.
	Next(ctx context.Context, wait time.Duration) (notices map[string][]byte, whole bool, until traffic.LogPosition, err error)
}

// nextBoardRetry returns the pause after a failed call of the board that follows one with the pause given.
func nextBoardRetry(last time.Duration) time.Duration {
	return min(max(2*last, boardRetry), longestBoardRetry)
}

// written is what is known to stand on the board.
type written struct {
	mu sync.Mutex
	// until is how far the board was read, requests holds how far it is known that a notice stands there.
	until    traffic.LogPosition
	requests map[string]traffic.LogPosition
}

// put takes in that a notice was written, with the position after it, and reports whether it is known to have been
// removed since.
func (w *written) put(request string, at traffic.LogPosition) (removed bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.until.Before(at) {
		w.requests[request] = at
		return false
	}
	_, stands := w.requests[request]
	return !stands && at.Era == w.until.Era
}

// read takes in notices that were read up to a position, and returns the requests whose notices were removed. A store
// that has come back from an older copy lacks notices that nobody has removed.
func (w *written) read(notices map[string][]byte, whole bool, until traffic.LogPosition) (removed []string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.until = until
	for request, at := range w.requests {
		if _, listed := notices[request]; !whole || listed || until.Before(at) {
			continue
		}
		delete(w.requests, request)
		if at.Era == until.Era {
			removed = append(removed, request)
		}
	}
	for request, notice := range notices {
		if notice == nil {
			delete(w.requests, request)
			removed = append(removed, request)
			continue
		}
		w.requests[request] = until
	}
	return removed
}

// clear forgets what stands on the board.
func (w *written) clear() {
	w.mu.Lock()
	defer w.mu.Unlock()
	clear(w.requests)
}

func (w *written) has(request string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	_, stands := w.requests[request]
	return stands
}

// reads reports whether this host reads the store for its region and is answered.
func (s *Source) reads() bool {
	_, follows := s.parent()
	return !follows && s.ListAge() <= s.oldestList()
}

// readBoard takes in the notices on the board while this host reads the store, until the context ends.
// All hosts may lose what they know at once, and regions tell each other nothing else.
func (s *Source) readBoard(ctx context.Context) {
	if s.await(ctx, s.settled) != nil {
		return
	}
	retry := time.Duration(0)
	for ctx.Err() == nil {
		if !s.reads() {
			pause.For(ctx, lookAgain)
			continue
		}
		notices, whole, until, err := s.options.QuarantineBoard.Next(ctx, boardWait)
		if err != nil {
			if ctx.Err() == nil {
				logrus.WithError(err).Info("fleet: The notices of barred requests were not read. They are read again.")
			}
			retry = nextBoardRetry(retry)
			pause.For(ctx, retry+rand.N(retry/2))
			continue
		}
		retry = 0
		for _, request := range s.written.read(notices, whole, until) {
			s.lift(time.Now(), request)
		}
		s.takeNotices(ctx, notices)
	}
}

// takeNotices takes in notices from the board, and removes those that hold no longer.
func (s *Source) takeNotices(ctx context.Context, notices map[string][]byte) {
	now := time.Now()
	var records []quarantine.Record
	for request, notice := range notices {
		if notice == nil {
			continue
		}
		r, err := quarantine.DecodeNotice(now, request, notice)
		switch {
		case err != nil:
			logrus.WithError(err).Warn("fleet: A notice of a barred request was skipped.")
		case r.Expired():
			s.removeNotice(ctx, request)
		default:
			records = append(records, r)
		}
	}
	s.options.Quarantine.Merge(now, records)
}

// writeBoard writes notices of barred requests while this host reads the store, until the context ends.
func (s *Source) writeBoard(ctx context.Context) {
	retry := time.Duration(0)
	for ctx.Err() == nil {
		changed := s.options.Quarantine.Changed()
		if s.reads() && !s.writeNotices(ctx) {
			retry = nextBoardRetry(retry)
			pause.For(ctx, retry+rand.N(retry/2))
			continue
		}
		retry = 0
		s.awaitAny(ctx, changed, lookAgain)
	}
}

// writeNotices writes the notices that are not on the board, and reports whether all are there now.
func (s *Source) writeNotices(ctx context.Context) bool {
	now := time.Now()
	all := true
	for _, r := range s.options.Quarantine.AllBarred(now) {
		request := r.Request.String()
		if s.written.has(request) {
			continue
		}
		notice, err := json.Marshal(r.Notice(now))
		if err != nil {
			// Numbers and times always encode.
			panic(err)
		}
		all = s.putNotice(ctx, request, notice) && all
	}
	return all
}

// lift ends the bar of a request whose notice was removed, as operators do to end it.
func (s *Source) lift(now time.Time, request string) {
	f, err := quarantine.ParseFingerprint(request)
	if err != nil {
		logrus.WithError(err).Warn("fleet: A notice of a barred request was skipped.")
		return
	}
	s.options.Quarantine.Answered(now, f)
}

// putNotice writes the notice of a request, and reports whether it was written.
func (s *Source) putNotice(ctx context.Context, request string, notice []byte) bool {
	at, err := s.options.QuarantineBoard.Put(ctx, request, notice)
	if err != nil {
		logrus.WithError(err).WithField("fingerprint", request).Info("fleet: The notice of a barred request was not written. It is tried again.")
		return false
	}
	if s.written.put(request, at) {
		s.lift(time.Now(), request)
	}
	return true
}

// removeNotice removes the notice of a request; the reads that follow tell that it is gone.
func (s *Source) removeNotice(ctx context.Context, request string) {
	if _, err := s.options.QuarantineBoard.Put(ctx, request, nil); err != nil {
		logrus.WithError(err).WithField("fingerprint", request).Info("fleet: The notice of a barred request was not removed.")
	}
}
