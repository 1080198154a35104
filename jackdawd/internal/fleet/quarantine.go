package fleet

import (
	"context"
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
	asked, known, away := "", quarantine.Position{}, false
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
			if !away && ctx.Err() == nil {
				logrus.WithError(err).WithField("peer", parent.Name).Info("fleet: The host above does not tell of crashes. It is asked again.")
			}
			away = true
			pause.For(ctx, lookAgain)
			continue
		}
		if away {
			logrus.WithField("peer", parent.Name).Info("fleet: The host above tells of crashes.")
		}
		away = false
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
