package overload

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"
)

const (
	// recentWindow is the time over which a workspace's current rate is averaged, and usualWindow that for its
	// usual rate.
	recentWindow = 400 * time.Millisecond
	usualWindow  = 30 * time.Second
	// surgeUsualWindow replaces usualWindow while a workspace surges. A surge of a minute must not become the
	// usual rate within its own time; one that lasts for long is no surge.
	surgeUsualWindow = 5 * time.Minute
	// minUsualTime is how long arrivals must be known before any workspace counts as surging.
	minUsualTime = 5 * time.Second
	// surgeThreshold is the ratio of a workspace's growth to that of all others above which it surges, and
	// surgeEndThreshold that below which it no longer does.
	surgeThreshold    = 1.5
	surgeEndThreshold = 1.2
	// surgeDeviations is by how many standard deviations of its expected arrivals a workspace must exceed them,
	// and clumpSize is how many requests arrive together: the variance of their number is that many times
	// that of independent arrivals.
	surgeDeviations = 4
	clumpSize       = 3
	// minSurgeArrivals is how many arrivals more than expected a surge has at least.
	minSurgeArrivals = 4
	// maxWorkspaces bounds the workspaces that are remembered; those with the least usual rates are dropped.
	maxWorkspaces = 1024
	// minWorkspaceRate is the rate below which a workspace is dropped, in requests per second.
	minWorkspaceRate = 0.02
)

// workspaces tracks the rates of a pool's workspaces.
type workspaces struct {
	startedAt time.Time
	byID      map[uint32]*workspaceState
	// restRate is the rate of workspaces that messages had no room for.
	restRate float64
	// total is the sum of all rates, and normal that without the excess of surging workspaces.
	total, normal float64
}

// workspaceState holds the rates of one workspace, in requests per second.
type workspaceState struct {
	// latest is that of the last Window.
	latest, recent, usual float64
	// unlisted is the part of the rate that messages had no room for, as far as it is known.
	unlisted float64
	// span holds between which ranks its requests are, seenAt when its first one arrived.
	span    RankSpan
	seenAt  time.Time
	surging bool
	// excess is the ratio of its requests that are beyond its usual rate while it surges.
	excess float64
}

func newWorkspaces(now time.Time) *workspaces {
	return &workspaces{startedAt: now, byID: map[uint32]*workspaceState{}}
}

// observe adds the arrivals of the last Window.
func (w *workspaces) observe(now time.Time, d *PoolDemand, scale float64, elapsed time.Duration) {
	for id := range d.Workspaces {
		if w.byID[id] == nil {
			w.byID[id] = &workspaceState{span: d.spanOf(id), seenAt: now}
		}
		w.byID[id].span = w.byID[id].span.union(d.spanOf(id))
	}
	known := now.Sub(w.startedAt) + Window
	for id, s := range w.byID {
		s.observe(scale*float64(d.Workspaces[id])/Window.Seconds(), elapsed, known)
	}
	w.restRate += (scale*float64(d.Rest)/Window.Seconds() - w.restRate) * smoothing(elapsed, recentWindow)
	w.prune()
	w.divideRest()
	w.findSurges(now, known)
}

func (s *workspaceState) observe(rate float64, elapsed, known time.Duration) {
	s.latest = rate
	s.recent += (rate - s.recent) * smoothing(elapsed, min(recentWindow, known))
	// At first the usual rate is the mean of all that is known.
	window := min(usualWindow, known)
	if s.surging {
		window = surgeUsualWindow
	}
	if known >= minUsualTime {
		// The first moments of a surge, before it is recognized, must not raise the usual rate.
		rate = min(rate, surgeThreshold*s.usual+minSurgeArrivals/Window.Seconds())
	}
	s.usual += (rate - s.usual) * smoothing(elapsed, window)
}

// prune drops workspaces that no longer send requests, and the smallest ones if there are too many.
func (w *workspaces) prune() {
	maps.DeleteFunc(w.byID, func(_ uint32, s *workspaceState) bool {
		return s.recent < minWorkspaceRate && s.usual < minWorkspaceRate
	})
	if len(w.byID) <= maxWorkspaces {
		return
	}
	for _, id := range w.sorted(func(s *workspaceState) float64 { return s.usual + s.recent })[maxWorkspaces:] {
		delete(w.byID, id)
	}
}

// divideRest divides the arrivals that messages had no room for over the smaller workspaces, which messages leave out
// first. Otherwise these would seem to ask for less than they do, and more of it would be admitted.
func (w *workspaces) divideRest() {
	total := 0.0
	for _, s := range w.byID {
		s.unlisted = 0
		total += s.recent
	}
	var small []*workspaceState
	for _, s := range w.byID {
		if s.recent <= total/float64(len(w.byID)) {
			small = append(small, s)
		}
	}
	for _, s := range small {
		s.unlisted = w.restRate / float64(len(small))
	}
}

// findSurges sets which workspaces surge and how much of their requests is excess.
func (w *workspaces) findSurges(now time.Time, known time.Duration) {
	recent, usual := w.restRate, w.restRate
	// In a fixed order, so that equal demands give equal sums.
	ids := slices.Sorted(maps.Keys(w.byID))
	for _, id := range ids {
		recent += w.byID[id].recent
		usual += w.byID[id].usual
	}
	w.total, w.normal = recent, 0
	for _, id := range ids {
		s := w.byID[id]
		// Without other workspaces there is nobody whom a surge could harm.
		growth := max((recent-s.recent)/max(usual-s.usual, minWorkspaceRate), 1)
		usualRate := s.usual
		if isNew := s.seenAt.Sub(w.startedAt) >= minUsualTime && now.Sub(s.seenAt) < usualWindow; isNew {
			// A new workspace may send as much as others do before all it sends counts as a surge.
			usualRate = max(usualRate, usual/float64(len(ids)))
		}
		s.updateSurge(usualRate*growth, known >= minUsualTime && recent > s.recent)
		w.normal += s.recent * (1 - s.excess)
	}
	w.normal += w.restRate
}

// updateSurge compares the recent rate to the usual one times the growth of all others.
func (s *workspaceState) updateSurge(expectedRate float64, isKnown bool) {
	// An exponential average over a window is as precise as a mean over twice its length.
	observed := 2 * recentWindow.Seconds() * s.recent
	expected := 2 * recentWindow.Seconds() * expectedRate
	margin := surgeDeviations*math.Sqrt(clumpSize*expected) + minSurgeArrivals
	switch {
	case !isKnown || observed < surgeEndThreshold*expected:
		s.surging = false
	case observed > surgeThreshold*expected && observed > expected+margin:
		s.surging = true
	}
	s.excess = 0
	if s.surging {
		// The average lags behind a surge that has just begun.
		s.excess = 1 - expected/max(observed, 2*recentWindow.Seconds()*s.latest)
	}
}

// excessRatio returns the part of all requests that surging workspaces send beyond their usual rates.
func (w *workspaces) excessRatio() float64 {
	if w.total <= 0 {
		return 0
	}
	return 1 - w.normal/w.total
}

// share returns the rate up to which workspaces are served if the given ratio of a rank's requests, without excess, is
// admitted: max-min fair shares of what fits. It counts the workspaces that send requests of the rank.
func (w *workspaces) share(rank int, ratio float64) float64 {
	room := 0.0
	var rates []float64
	for _, s := range w.byID {
		if s.span.contains(rank) {
			rates = append(rates, s.normalRate())
			room += ratio * s.normalRate()
		}
	}
	slices.Sort(rates)
	for i, rate := range rates {
		if share := room / float64(len(rates)-i); rate > share {
			return max(share, 0)
		}
		room -= rate
	}
	return math.Inf(1)
}

// normalRate returns the rate without the excess.
func (s *workspaceState) normalRate() float64 { return (s.recent + s.unlisted) * (1 - s.excess) }

// list adds the workspaces that surge, and the largest that exceed the lowest share, to the levels, up to a number of
// them. What is admitted of the others follows from the ranks' shares.
func (w *workspaces) list(l *PoolLevels, limit int) {
	lowest := math.Inf(1)
	for _, level := range l.Ranks {
		lowest = min(lowest, level.Share)
	}
	ids := w.sorted(func(s *workspaceState) float64 {
		if s.surging {
			return math.MaxFloat64
		}
		return s.recent
	})
	var others []uint32
	for _, id := range ids {
		s := w.byID[id]
		switch {
		case s.normalRate() <= lowest && !s.surging:
			others = append(others, id)
		case len(l.Workspaces) < limit:
			l.Workspaces[id] = WorkspaceRate{Rate: s.normalRate(), Excess: s.excess}
		default:
			others = append(others, id)
		}
	}
	for r, level := range l.Ranks {
		level.Others = w.admittedRatio(others, r, level.Share)
		l.Ranks[r] = level
	}
}

// admittedRatio returns the part of the requests of some workspaces, and of those that messages had no room for,
// that is within a share.
func (w *workspaces) admittedRatio(ids []uint32, rank int, share float64) float64 {
	asked, admitted := 0.0, 0.0
	for _, id := range ids {
		if s := w.byID[id]; s.span.contains(rank) {
			asked += s.normalRate()
			admitted += min(s.normalRate(), share)
		}
	}
	if asked <= 0 {
		return 1
	}
	return admitted / asked
}

// sorted returns the workspaces by a value, highest first.
func (w *workspaces) sorted(value func(*workspaceState) float64) []uint32 {
	return slices.SortedFunc(maps.Keys(w.byID), func(x, y uint32) int {
		return cmp.Or(cmp.Compare(value(w.byID[y]), value(w.byID[x])), cmp.Compare(x, y))
	})
}
