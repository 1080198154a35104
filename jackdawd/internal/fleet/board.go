package fleet

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"jackdawhinge/common/pause"
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
	// Put writes a request's notice, or removes it if there is none.
	Put(ctx context.Context, request string, notice []byte) error
	// Next returns the notices that have changed since the last call, nil where one was removed; it
	// waits for one as long as wait says.
	Next(ctx context.Context, wait time.Duration) (map[string][]byte, error)
}

// nextBoardRetry returns the pause after a failed call of the board that follows one with the pause given.
func nextBoardRetry(last time.Duration) time.Duration {
	return min(max(2*last, boardRetry), longestBoardRetry)
}

// written is what is known to stand on the board.
type written struct {
	mu       sync.Mutex
	requests map[string]bool
}

func (w *written) set(request string, there bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if there {
		w.requests[request] = true
		return
	}
	delete(w.requests, request)
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
	return w.requests[request]
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
		notices, err := s.options.QuarantineBoard.Next(ctx, boardWait)
		if err != nil {
			if ctx.Err() == nil {
				logrus.WithError(err).Info("fleet: The notices of barred requests were not read. They are read again.")
			}
			retry = nextBoardRetry(retry)
			pause.For(ctx, retry+rand.N(retry/2))
			continue
		}
		retry = 0
		s.takeNotices(ctx, notices)
	}
}

// takeNotices takes in notices from the board, and removes those that hold no longer. Operators lift a bar by
// removing its notice.
func (s *Source) takeNotices(ctx context.Context, notices map[string][]byte) {
	now := time.Now()
	var records []quarantine.Record
	for request, notice := range notices {
		s.written.set(request, notice != nil)
		if notice == nil {
			s.lift(now, request)
			continue
		}
		r, err := quarantine.DecodeNotice(now, request, notice)
		switch {
		case err != nil:
			logrus.WithError(err).Warn("fleet: A notice of a barred request was skipped.")
		case r.Expired():
			s.putNotice(ctx, request, nil)
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

// lift ends the bar of a request whose notice was removed.
func (s *Source) lift(now time.Time, request string) {
	f, err := quarantine.ParseFingerprint(request)
	if err != nil {
		logrus.WithError(err).Warn("fleet: A notice of a barred request was skipped.")
		return
	}
	s.options.Quarantine.Answered(now, f)
}

func (s *Source) putNotice(ctx context.Context, request string, notice []byte) bool {
	if err := s.options.QuarantineBoard.Put(ctx, request, notice); err != nil {
		logrus.WithError(err).WithField("fingerprint", request).Info("fleet: The notice of a barred request was not written. It is tried again.")
		return false
	}
	s.written.set(request, notice != nil)
	return true
}
