package fleet

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"jackdawhinge/common/pause"
	"jackdawhinge/common/peers"
	"jackdawhinge/jackdawd/internal/quarantine"
)

const (
	// leastToldUp and leastToldDown are in how many crashes a request must have been for the host above
	// and the hosts below to be told. The one above adds up what several hosts saw; those
	// below need what is barred, and what is nearly so: whoever gets an answer to such a request knows
	// that it is innocent.
	leastToldUp   = 1
	leastToldDown = 2
	// reportPace is how often at most a host tells the one above. The first crash is told at once; when an upstream
	// ends with all its requests, hosts below tell of them within some milliseconds of each other.
	reportPace = 250 * time.Millisecond
	// lookAgain is how often a host looks whether another one is above it, or whether it reads the store.
	lookAgain = 200 * time.Millisecond
	// casesWait is how long a call for news of cases is held. News ends it; a host above that falls silent is
	// found out sooner by the calls for configuration, after which another one is above.
	casesWait = 4 * time.Second
	// reportTimeout is how long telling the host above may take.
	reportTimeout = 300 * time.Millisecond
	// boardWait is how long a read of the board waits for a notice. One reader's connection that falls
	// silent unnoticed then keeps it from hearing of other regions for 11 s, the other one hears.
	boardWait = 10 * time.Second
	// boardRetry is the pause after a call of the board that failed, which doubles up to longestBoardRetry
	// with each further one, with jitter of its half: calls cost also while the store is away.
	boardRetry        = 200 * time.Millisecond
	longestBoardRetry = 3 * time.Second
)

// Quarantine holds the requests under which upstreams have ended.
type Quarantine interface {
	// Merge takes in what other hosts know.
	Merge(now time.Time, records []quarantine.Record)
	// Since returns the cases with so many crashes at least that changed after a position, and the
	// position that they lead to; News reports whether there are any.
	Since(now time.Time, p quarantine.Position, least int) ([]quarantine.Record, quarantine.Position)
	News(p quarantine.Position, least int) bool
	// Answered takes in that a request is innocent.
	Answered(now time.Time, f quarantine.Fingerprint)
	// AllBarred returns the requests that are kept from upstreams.
	AllBarred(now time.Time) []quarantine.Record
	// Changed is closed when there is news.
	Changed() <-chan struct{}
}

// QuarantineBoard is where the requests that are barred are written, for other regions and for hosts that
// start when all others do.
type QuarantineBoard interface {
	// Put writes a request's notice, or removes it if there is none.
	Put(ctx context.Context, request string, notice []byte) error
	// Next returns the notices that have changed since the last call, nil where one was removed; it
	// waits for one as long as wait says.
	Next(ctx context.Context, wait time.Duration) (map[string][]byte, error)
}

// ReportArgs are the requests under which upstreams have ended, as a host and those below it saw.
type ReportArgs struct {
	Cases []quarantine.Record
}

// ReportReply is empty.
type ReportReply struct{}

// CasesArgs say how far a host below knows the requests under which upstreams have ended.
type CasesArgs struct {
	Known quarantine.Position
	// Wait is how long to wait for news.
	Wait time.Duration
}

// CasesReply are the cases that it does not know, up to a position.
type CasesReply struct {
	Cases []quarantine.Record
	Until quarantine.Position
}

// Report takes in what a host below has seen.
func (s *service) Report(args *ReportArgs, _ *ReportReply) error {
	s.source.options.Quarantine.Merge(time.Now(), args.Cases)
	return nil
}

// Cases returns what a host below does not know; it waits if there is nothing.
func (s *service) Cases(args *CasesArgs, reply *CasesReply) error {
	held := s.source.options.Quarantine
	timer := time.NewTimer(min(args.Wait, casesWait))
	defer timer.Stop()
	for waiting := true; waiting; {
		changed := held.Changed()
		if held.News(args.Known, leastToldDown) {
			break
		}
		select {
		case <-changed:
		case <-timer.C:
			waiting = false
		}
	}
	reply.Cases, reply.Until = held.Since(time.Now(), args.Known, leastToldDown)
	return nil
}

// reportCases tells the host above of requests under which upstreams have ended, until the context
// ends. It does so in calls of its own: held back until the next call to the host above, crashes seen by hosts
// at the tree's end would be added up after seconds, in which the request ends more upstreams.
func (s *Source) reportCases(ctx context.Context) {
	toldTo, told := "", quarantine.Position{}
	for ctx.Err() == nil {
		changed := s.options.Quarantine.Changed()
		parent, ok := s.directory.LoadParent(time.Now())
		if parent.Name != toldTo {
			toldTo, told = parent.Name, quarantine.Position{}
		}
		if ok && s.options.Quarantine.News(told, leastToldUp) {
			told = s.report(ctx, parent, told)
			pause.For(ctx, reportPace)
		}
		s.awaitAny(ctx, changed, lookAgain)
	}
}

// report tells the host above what has changed since a position, and returns up to where it knows.
func (s *Source) report(ctx context.Context, parent Peer, since quarantine.Position) quarantine.Position {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	cases, until := s.options.Quarantine.Since(time.Now(), since, leastToldUp)
	var reply ReportReply
	if err := s.casesClient(parent).Call(ctx, parent.Address, reportCall, &ReportArgs{Cases: cases}, &reply); err != nil {
		// The calls that follow the host above show whether it is gone.
		logrus.WithError(err).WithField("peer", parent.Name).Debug("fleet: The host above was not told of crashes. It is told again.")
		return since
	}
	return until
}

// followCases asks the host above for requests under which upstreams have ended, until the context ends.
// These calls go on while the host above has lost the store, and answers nothing else.
func (s *Source) followCases(ctx context.Context) {
	asked, known := "", quarantine.Position{}
	for ctx.Err() == nil {
		parent, ok := s.directory.LoadParent(time.Now())
		if !ok {
			pause.For(ctx, lookAgain)
			continue
		}
		if parent.Name != asked {
			asked, known = parent.Name, quarantine.Position{}
		}
		reply, err := s.askForCases(ctx, parent, known)
		if err != nil {
			// The calls for the configuration show whether the host above is gone.
			pause.For(ctx, lookAgain)
			continue
		}
		s.options.Quarantine.Merge(time.Now(), reply.Cases)
		known = reply.Until
	}
}

// askForCases makes one call to the host above, which ends early if another one is above.
func (s *Source) askForCases(ctx context.Context, parent Peer, known quarantine.Position) (CasesReply, error) {
	ctx, cancel := context.WithTimeout(ctx, casesWait+reportTimeout)
	defer cancel()
	defer s.cancelWhenReplaced(ctx, cancel, parent)()
	var reply CasesReply
	err := s.casesClient(parent).Call(ctx, parent.Address, casesCall, &CasesArgs{Known: known, Wait: casesWait}, &reply)
	return reply, err
}

// casesClient returns the client for calls about requests that end upstreams. It has a connection of its own: a call that
// is given up ends its connection, and with it calls for the configuration, whose failure makes a host leave the one above.
func (s *Source) casesClient(p Peer) *peers.Client {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.cases != nil && s.casesOf == p {
		return s.cases
	}
	s.closeCases()
	s.casesOf, s.cases = p, s.newClient(p.Secret)
	return s.cases
}

// closeCases closes the client for those calls; the lock must be held.
func (s *Source) closeCases() {
	if s.cases == nil {
		return
	}
	s.cases.Close()
	s.bytes += s.cases.Bytes()
	s.cases = nil
}

// cancelWhenReplaced cancels a call once another host is above, until the function returned is called.
func (s *Source) cancelWhenReplaced(ctx context.Context, cancel context.CancelFunc, parent Peer) (stop func()) {
	ended := make(chan struct{})
	go func() {
		ticker := time.NewTicker(lookAgain)
		defer ticker.Stop()
		for {
			select {
			case now := <-ticker.C:
				if above, ok := s.directory.LoadParent(now); !ok || above != parent {
					cancel()
					return
				}
			case <-ended:
				return
			case <-ctx.Done():
				return
			}
		}
	}()
	return func() { close(ended) }
}

// awaitAny waits until a channel is closed, for a while at most.
func (s *Source) awaitAny(ctx context.Context, changed <-chan struct{}, most time.Duration) {
	timer := time.NewTimer(most)
	defer timer.Stop()
	select {
	case <-changed:
	case <-timer.C:
	case <-ctx.Done():
	}
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
