package fleet

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"jackdawhinge/common/pause"
	"jackdawhinge/jackdawd/internal/placement"
)

const (
	// silentReportInterval is the minimum interval between reports of silent upstreams to the parent, and between
	// those from it. Many upstreams that are silent together would otherwise exceed a host's traffic bound.
	silentReportInterval = 200 * time.Millisecond
	// noSilentVersion is the version of a child without reports of silent upstreams; versions are positive.
	noSilentVersion = -1
)

// SilentUpstreams holds which upstreams hosts find silent; placement.SilentUpstreams implements it.
type SilentUpstreams interface {
	// MergeReports adds the reports of children, MergeFound those that come from the parent.
	MergeReports(now time.Time, reports []placement.SilenceReport)
	MergeFound(now time.Time, reports []placement.SilenceReport)
	// Reports returns the reports that count.
	Reports(now time.Time) []placement.SilenceReport
	// Found returns the reports of upstreams that enough hosts have reported, and their version.
	Found(now time.Time) ([]placement.SilenceReport, int64)
	// Changed returns the versions of the reports of this host and its children and of those that Found returns, and a
	// channel that is closed at the next change.
	Changed() (version, foundVersion int64, changed <-chan struct{})
}

// reportSilentUpstreams reports to the parent which upstreams this host and its children find silent, until the
// context ends. Reports come back from the root with the records of requests that crashed upstreams.
func (s *Source) reportSilentUpstreams(ctx context.Context) {
	reported, _, changed := s.options.Silent.Changed()
	for ctx.Err() == nil {
		select {
		case <-changed:
		case <-ctx.Done():
			return
		}
		var version int64
		if version, _, changed = s.options.Silent.Changed(); version == reported {
			continue
		}
		reported = version
		if parent, hasParent := s.directory.ExchangeParent(time.Now()); hasParent {
			s.sendSilentUpstreams(ctx, parent)
		}
		pause.For(ctx, silentReportInterval)
	}
}

// sendSilentUpstreams makes one report. It is not repeated, as it expires soon.
func (s *Source) sendSilentUpstreams(ctx context.Context, parent Peer) {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	args := ReportArgs{Silent: s.options.Silent.Reports(time.Now())}
	var reply ReportReply
	if err := s.quarantineClientFor(parent).Call(ctx, parent.Address, reportCall, &args, &reply); err != nil {
		logrus.WithError(err).WithField("peer", parent.Name).Debug("fleet: Reporting silent upstreams to the parent host failed.")
	}
}
