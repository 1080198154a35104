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
	// minReportedCrashes and minSharedCrashes are the numbers of crashes from which on a request is
	// reported to the parent and shared with the children. The parent adds up what several hosts
	// saw. Children need the quarantined requests and those one crash short of it, since a host
	// that gets an answer to such a request can clear it.
	minReportedCrashes = 1
	minSharedCrashes   = 2
	// minReportInterval is the minimum interval between reports to the parent. The first crash is
	// reported at once; when an upstream crashes with all its requests, children report them within
	// milliseconds of each other.
	minReportInterval = 250 * time.Millisecond
	// roleCheckInterval is how often a host checks whether its parent has changed or whether it is
	// a reader.
	roleCheckInterval = 200 * time.Millisecond
	// recordsPollWait is how long a call for records is held open for an update. A parent that
	// stops answering is detected sooner by the calls for the configuration, after which there is
	// another parent.
	recordsPollWait = 4 * time.Second
	// reportTimeout is the timeout of a report to the parent.
	reportTimeout = 300 * time.Millisecond
)

// Quarantine holds the requests that crashed upstreams.
type Quarantine interface {
	// Merge adds the records of other hosts.
	Merge(now time.Time, records []quarantine.Record)
	// Since returns the records with at least the given number of crashes that changed after a
	// position, and the position after them.
	Since(now time.Time, p quarantine.Position, minCrashes int) ([]quarantine.Record, quarantine.Position)
	// HasChanges reports whether there are such records.
	HasChanges(p quarantine.Position, minCrashes int) bool
	// Release ends the quarantine of a subject.
	Release(now time.Time, f quarantine.Fingerprint)
	// IsCause reports whether enough crashes are attributed to a subject.
	IsCause(now time.Time, f quarantine.Fingerprint) bool
	// ProbeDue reports whether a request of a quarantined subject may be tried, and how long it is
	// until the next one if this one has no result.
	ProbeDue(now time.Time, f quarantine.Fingerprint) (delay time.Duration, due bool)
	// AllQuarantined returns the quarantined subjects.
	AllQuarantined(now time.Time) []quarantine.Record
	// Changed returns a channel that is closed at the next change.
	Changed() <-chan struct{}
}

// ReportArgs hold the requests that crashed upstreams as seen by a host and its children.
type ReportArgs struct {
	Cases []quarantine.Record
}

// ReportReply is empty.
type ReportReply struct{}

// CasesArgs hold the position up to which a child has the parent's records.
type CasesArgs struct {
	Known quarantine.Position
	// Wait is how long to hold the call open for an update.
	Wait time.Duration
}

// CasesReply holds the records after that position, and the position Until which they are complete.
type CasesReply struct {
	Cases []quarantine.Record
	Until quarantine.Position
}

// Report merges the records of a child.
func (s *service) Report(args *ReportArgs, _ *ReportReply) error {
	s.source.options.Quarantine.Merge(time.Now(), args.Cases)
	return nil
}

// Cases returns the records that a child does not have yet, and waits if there are none.
func (s *service) Cases(args *CasesArgs, reply *CasesReply) error {
	registry := s.source.options.Quarantine
	timer := time.NewTimer(min(args.Wait, recordsPollWait))
	defer timer.Stop()
	for waiting := true; waiting; {
		changed := registry.Changed()
		if registry.HasChanges(args.Known, minSharedCrashes) {
			break
		}
		select {
		case <-changed:
		case <-timer.C:
			waiting = false
		}
	}
	reply.Cases, reply.Until = registry.Since(time.Now(), args.Known, minSharedCrashes)
	return nil
}

// reportRecords reports requests that crashed upstreams to the parent until the context ends. It
// uses separate calls: with the next follow call, crashes seen by leaf hosts would be added up only
// after seconds, in which the request crashes more upstreams.
func (s *Source) reportRecords(ctx context.Context) {
	reportedTo, reportedUntil := "", quarantine.Position{}
	for ctx.Err() == nil {
		changed := s.options.Quarantine.Changed()
		parent, hasParent := s.directory.ExchangeParent(time.Now())
		if parent.Name != reportedTo {
			reportedTo, reportedUntil = parent.Name, quarantine.Position{}
		}
		if hasParent && s.options.Quarantine.HasChanges(reportedUntil, minReportedCrashes) {
			reportedUntil = s.sendReport(ctx, parent, reportedUntil)
			pause.For(ctx, minReportInterval)
		}
		s.awaitWithTimeout(ctx, changed, roleCheckInterval)
	}
}

// sendReport reports the records changed since a position, and returns the position reported up to.
func (s *Source) sendReport(ctx context.Context, parent Peer, since quarantine.Position) quarantine.Position {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	cases, until := s.options.Quarantine.Since(time.Now(), since, minReportedCrashes)
	var reply ReportReply
	if err := s.quarantineClientFor(parent).Call(ctx, parent.Address, reportCall, &ReportArgs{Cases: cases}, &reply); err != nil {
		// The follow calls detect whether the parent is gone.
		logrus.WithError(err).WithField("peer", parent.Name).Debug("fleet: Reporting crashes to the parent host failed. Retrying.")
		return since
	}
	return until
}

// followRecords fetches the parent's records of requests that crashed upstreams until the context
// ends. It continues while the parent has lost the store and is not followed for anything else.
func (s *Source) followRecords(ctx context.Context) {
	askedHost, known, failing := "", quarantine.Position{}, false
	for ctx.Err() == nil {
		parent, hasParent := s.directory.ExchangeParent(time.Now())
		if !hasParent {
			pause.For(ctx, roleCheckInterval)
			continue
		}
		if parent.Name != askedHost {
			askedHost, known = parent.Name, quarantine.Position{}
		}
		reply, err := s.fetchRecords(ctx, parent, known)
		if err != nil {
			if !failing && ctx.Err() == nil {
				logrus.WithError(err).WithField("peer", parent.Name).Info("fleet: Fetching crash records from the parent host failed. Retrying.")
			}
			failing = true
			pause.For(ctx, roleCheckInterval)
			continue
		}
		if failing {
			logrus.WithField("peer", parent.Name).Info("fleet: The parent host sends crash records again.")
		}
		failing = false
		s.options.Quarantine.Merge(time.Now(), reply.Cases)
		known = reply.Until
	}
}

// fetchRecords makes one call to the parent, which is canceled if the parent changes.
func (s *Source) fetchRecords(ctx context.Context, parent Peer, known quarantine.Position) (CasesReply, error) {
	ctx, cancel := context.WithTimeout(ctx, recordsPollWait+reportTimeout)
	defer cancel()
	defer s.cancelOnParentChange(ctx, cancel, parent)()
	var reply CasesReply
	err := s.quarantineClientFor(parent).Call(ctx, parent.Address, casesCall, &CasesArgs{Known: known, Wait: recordsPollWait}, &reply)
	return reply, err
}

// quarantineClientFor returns the client for calls about requests that crash upstreams. It has its
// own connection: canceling a call closes its connection, which would also fail calls for the
// configuration and make the host leave its parent.
func (s *Source) quarantineClientFor(peer Peer) *peers.Client {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.quarantineClient != nil && s.quarantinePeer == peer {
		return s.quarantineClient
	}
	s.closeQuarantineClient()
	s.quarantinePeer, s.quarantineClient = peer, s.newClient(peer.Secret)
	return s.quarantineClient
}

// closeQuarantineClient closes the client for calls about requests that crash upstreams. The lock
// must be held.
func (s *Source) closeQuarantineClient() {
	if s.quarantineClient == nil {
		return
	}
	s.quarantineClient.Close()
	s.closedClientBytes += s.quarantineClient.Bytes()
	s.quarantineClient = nil
}

// cancelOnParentChange cancels a call when the parent changes, until stop is called.
func (s *Source) cancelOnParentChange(ctx context.Context, cancel context.CancelFunc, parent Peer) (stop func()) {
	stopped := make(chan struct{})
	go func() {
		ticker := time.NewTicker(roleCheckInterval)
		defer ticker.Stop()
		for {
			select {
			case now := <-ticker.C:
				if current, hasParent := s.directory.ExchangeParent(now); !hasParent || current != parent {
					cancel()
					return
				}
			case <-stopped:
				return
			case <-ctx.Done():
				return
			}
		}
	}()
	return func() { close(stopped) }
}

// awaitWithTimeout waits until a channel is closed, the timeout passes or the context ends.
func (s *Source) awaitWithTimeout(ctx context.Context, changed <-chan struct{}, timeout time.Duration) {
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case <-changed:
	case <-timer.C:
	case <-ctx.Done():
	}
}
