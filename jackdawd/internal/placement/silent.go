package placement

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"time"

	"jackdawhinge/common/traffic"
)

const (
	// overdueFactor is the multiple of the mean duration of its class after which a request without a response is
	// overdue, and minOverdueTime the minimum of that time. Few responses of services take longer.
	overdueFactor  = 3
	minOverdueTime = 200 * time.Millisecond
	// silenceReportTTL is how long a report that an upstream is silent counts. While it is silent, hosts renew their
	// reports each SilenceRenewInterval.
	silenceReportTTL = 500 * time.Millisecond
	// SilenceRenewInterval is how often a host reports that its requests still wait.
	SilenceRenewInterval = silenceReportTTL / 2
	// silenceReportTime is how long before they expire reports are renewed at the latest, as new ones take a moment to
	// all hosts.
	silenceReportTime = 200 * time.Millisecond
	// minSilenceReporters is how many other hosts must report an upstream: a single request may just take long.
	minSilenceReporters = 2
	// maxSilentDivisor limits the upstreams that are left out as silent to 1 in 3. If more of them respond late, all
	// have too much to do, and the others would get more.
	maxSilentDivisor = 3
	// maxSilenceReports bounds the reports of one message, and so the traffic when many upstreams are silent.
	maxSilenceReports = 16
	// heardTTL is how long the time of an upstream's last response is kept; reports from before it have expired.
	heardTTL = time.Minute
)

// OverdueTime returns the time after which a request without a response is overdue, by the mean duration of its class.
func OverdueTime(meanDuration time.Duration) time.Duration {
	return max(overdueFactor*meanDuration, minOverdueTime)
}

// A SilenceReport says that a host has an overdue request at an upstream that has sent it nothing since.
type SilenceReport struct {
	// Upstream is the ShortHash of the upstream, Host a hash of the host's name.
	Upstream, Host uint32
	// Age is how long ago the host last saw that.
	Age time.Duration
}

// SilentUpstreams records which upstreams of services hosts find silent. Loads don't show it: the reports of an upstream
// come with its responses, and in a large fleet few hosts have a request there. It is safe for concurrent use.
type SilentUpstreams struct {
	mu   sync.Mutex
	host uint32
	// reports holds when each host last reported an upstream, by upstream and host.
	reports map[uint32]map[uint32]time.Time
	// heardAt holds when each upstream last responded to this host.
	heardAt  map[uint32]time.Time
	prunedAt time.Time
	// version counts the changes of reports that the parent is to get, foundVersion from 1 on those of upstreams that
	// enough hosts have reported. changed is closed at the next change of either.
	version, foundVersion int64
	changed               chan struct{}
}

// NewSilentUpstreams returns a record without reports for the host with the given name.
func NewSilentUpstreams(host string) *SilentUpstreams {
	return &SilentUpstreams{host: uint32(traffic.HashID(host)), reports: map[uint32]map[uint32]time.Time{}, heardAt: map[uint32]time.Time{}, foundVersion: 1, changed: make(chan struct{})}
}

// RecordOverdue records that a request of this host, sent at the given time, is overdue.
func (s *SilentUpstreams) RecordOverdue(now time.Time, u *traffic.Upstream, sentAt time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.heardAt[u.ShortHash()].After(sentAt) || s.isReported(now.Add(silenceReportTime), u.ShortHash()) {
		// Only this request takes long, or all hosts know for a while.
		return
	}
	if s.add(now, u.ShortHash(), s.host, now) {
		s.version++
	}
}

// RecordResponse records that an upstream has responded.
func (s *SilentUpstreams) RecordResponse(now time.Time, u *traffic.Upstream) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.heardAt[u.ShortHash()] = now
	if now.Sub(s.prunedAt) > heardTTL {
		s.prunedAt = now
		maps.DeleteFunc(s.heardAt, func(_ uint32, at time.Time) bool { return now.Sub(at) > heardTTL })
	}
}

// MergeReports adds the reports of children, which are to be passed on to the parent. Those that change no decision are
// left out.
func (s *SilentUpstreams) MergeReports(now time.Time, reports []SilenceReport) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.merge(now, reports) {
		s.version++
	}
}

// MergeFound adds the reports that come from the parent.
func (s *SilentUpstreams) MergeFound(now time.Time, reports []SilenceReport) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.merge(now, reports)
}

// merge adds the reports that change a decision, and reports whether there are any; the lock must be held.
func (s *SilentUpstreams) merge(now time.Time, reports []SilenceReport) bool {
	merged := false
	for _, r := range reports {
		if at := now.Add(-r.Age); r.Age >= 0 && s.isFresh(now, r.Upstream, at) && !s.isReported(now.Add(SilenceRenewInterval), r.Upstream) {
			merged = s.add(now, r.Upstream, r.Host, at) || merged
		}
	}
	return merged
}

// add adds a report unless the host's previous one still counts for some time, and reports whether it did; the lock
// must be held.
func (s *SilentUpstreams) add(now time.Time, upstream, host uint32, at time.Time) bool {
	maps.DeleteFunc(s.reports, func(_ uint32, byHost map[uint32]time.Time) bool {
		maps.DeleteFunc(byHost, func(_ uint32, at time.Time) bool { return now.Sub(at) >= silenceReportTTL })
		return len(byHost) == 0
	})
	byHost, ok := s.reports[upstream]
	if !ok {
		byHost = map[uint32]time.Time{}
		s.reports[upstream] = byHost
	}
	if at.Sub(byHost[host]) < SilenceRenewInterval {
		return false
	}
	byHost[host] = at
	if s.isReported(now, upstream) {
		s.foundVersion++
	}
	close(s.changed)
	s.changed = make(chan struct{})
	return true
}

// isFresh reports whether a report from a time counts; the lock must be held.
func (s *SilentUpstreams) isFresh(now time.Time, upstream uint32, at time.Time) bool {
	return now.Sub(at) < silenceReportTTL && at.After(s.heardAt[upstream])
}

// isReported reports whether enough hosts have reported an upstream; the lock must be held.
func (s *SilentUpstreams) isReported(now time.Time, upstream uint32) bool {
	reporters := 0
	for _, at := range s.reports[upstream] {
		if s.isFresh(now, upstream, at) {
			reporters++
		}
	}
	return reporters >= minSilenceReporters
}

// Reports returns the reports that count.
func (s *SilentUpstreams) Reports(now time.Time) []SilenceReport {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.reportsFrom(now, 1)
}

// Found returns the reports of upstreams that enough hosts have reported, and their version.
func (s *SilentUpstreams) Found(now time.Time) ([]SilenceReport, int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.reportsFrom(now, minSilenceReporters), s.foundVersion
}

// reportsFrom returns the reports of upstreams with at least the given number of them, the latest maxSilenceReports; the
// lock must be held.
func (s *SilentUpstreams) reportsFrom(now time.Time, minReporters int) []SilenceReport {
	var reports []SilenceReport
	for upstream, byHost := range s.reports {
		if len(byHost) < minReporters {
			continue
		}
		for host, at := range byHost {
			if now.Sub(at) < silenceReportTTL {
				reports = append(reports, SilenceReport{Upstream: upstream, Host: host, Age: now.Sub(at)})
			}
		}
	}
	slices.SortFunc(reports, func(a, b SilenceReport) int { return cmp.Compare(a.Age, b.Age) })
	return reports[:min(len(reports), maxSilenceReports)]
}

// Changed returns the versions of the reports of this host and its children and of those that Found returns, and a
// channel that is closed at the next change.
func (s *SilentUpstreams) Changed() (version, foundVersion int64, changed <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.version, s.foundVersion, s.changed
}

// Responding returns the upstreams that are not silent, or all of them if too many are. The result may share memory
// with the argument.
func (s *SilentUpstreams) Responding(now time.Time, upstreams []*traffic.Upstream) []*traffic.Upstream {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.reports) == 0 {
		return upstreams
	}
	var responding []*traffic.Upstream
	for _, u := range upstreams {
		upstream := u.ShortHash()
		at, own := s.reports[upstream][s.host]
		waits := own && s.isFresh(now, upstream, at)
		if !waits && !s.isReported(now, upstream) {
			responding = append(responding, u)
		}
	}
	if silent := len(upstreams) - len(responding); silent*maxSilentDivisor > len(upstreams) {
		return upstreams
	}
	return responding
}
