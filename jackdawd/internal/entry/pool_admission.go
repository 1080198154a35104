package entry

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"strconv"
	"sync/atomic"
	"time"

	"jackdawhinge/common/report"
	"jackdawhinge/common/targets"
	"jackdawhinge/common/traffic"
	"jackdawhinge/jackdawd/internal/overload"
	"jackdawhinge/jackdawd/internal/telemetry"
)

// maxListedWorkspaces is the maximum number of workspaces that metrics and status list by pool.
const maxListedWorkspaces = 16

// The kinds of requests that a rank admits different ratios of.
const (
	demandUsual     = "usual"
	demandReturning = "returning-late"
	demandExcess    = "excess"
)

// admissionNames are the names that a version of the configuration holds.
type admissionNames struct {
	version int64
	names   *overload.Names
}

// A poolAdmissionReporter reports by which levels of pool-wide admission a host decides. It is safe for concurrent use.
type poolAdmissionReporter struct {
	admission *overload.Controller
	// configuration returns the configuration in force, nil for none.
	configuration func() *traffic.Configuration
	cached        atomic.Pointer[admissionNames]
}

func newPoolAdmissionReporter(admission *overload.Controller, configuration func() *traffic.Configuration) *poolAdmissionReporter {
	return &poolAdmissionReporter{admission: admission, configuration: configuration}
}

// names returns the names of the pools and workspaces of the configuration in force; nil without one.
func (r *poolAdmissionReporter) names() *overload.Names {
	c := r.configuration()
	if c == nil {
		return nil
	}
	if cached := r.cached.Load(); cached != nil && cached.version == c.Version() {
		return cached.names
	}
	names := overload.NewNames(c.PoolNames(), c.WorkspaceNames())
	r.cached.Store(&admissionNames{version: c.Version(), names: names})
	return names
}

// registerGauges registers the gauges of pool-wide admission. They have no values at hosts without
// levels, and those of a pool only while it is full.
func (r *poolAdmissionReporter) registerGauges(m *telemetry.Meter) {
	m.GaugeVector("pool_admission_levels_in_force", nil, func() []telemetry.Sample {
		switch state, _ := r.admission.State(time.Now()); {
		case state == overload.LevelsInForce:
			return []telemetry.Sample{{Value: 1}}
		case state == overload.LevelsExpired || r.admission.HasEnabledPool():
			return []telemetry.Sample{{}}
		}
		return nil
	})
	m.GaugeVector("pool_admission_levels_age_milliseconds", nil, func() []telemetry.Sample {
		state, age := r.admission.State(time.Now())
		if state == overload.NoLevels {
			return nil
		}
		return []telemetry.Sample{{Value: float64(min(age, time.Hour).Milliseconds())}}
	})
	m.Gauge("pool_admission_levels_malformed", r.admission.MalformedLevels)
	pools := func(samples func(report.FullPool) []telemetry.Sample) func() []telemetry.Sample {
		return func() []telemetry.Sample { return poolSamples(r.fullPools(time.Now()), samples) }
	}
	m.GaugeVector("pool_admission_ratio", []string{"rank", "demand", "pool"}, pools(rankRatios))
	m.GaugeVector("pool_admission_share", []string{"rank", "pool"}, pools(rankShares))
	m.GaugeVector("pool_workspaces_limited", []string{"pool"}, pools(func(p report.FullPool) []telemetry.Sample {
		return []telemetry.Sample{{Value: float64(p.LimitedWorkspaces)}}
	}))
	m.GaugeVector("pool_workspace_admission_ratio", []string{"workspace", "pool"}, pools(func(p report.FullPool) []telemetry.Sample {
		return workspaceSamples(p, func(w report.ListedWorkspace) float64 { return w.Ratio })
	}))
	m.GaugeVector("pool_workspace_excess_ratio", []string{"workspace", "pool"}, pools(func(p report.FullPool) []telemetry.Sample {
		return workspaceSamples(p, func(w report.ListedWorkspace) float64 { return w.Excess })
	}))
}

// poolSamples returns the samples of all pools, with the pool as the last label.
func poolSamples(pools []report.FullPool, samples func(report.FullPool) []telemetry.Sample) []telemetry.Sample {
	var all []telemetry.Sample
	for _, p := range pools {
		for _, s := range samples(p) {
			all = append(all, telemetry.Sample{Labels: append(s.Labels, p.Pool), Value: s.Value})
		}
	}
	return all
}

func rankRatios(p report.FullPool) []telemetry.Sample {
	var samples []telemetry.Sample
	for _, r := range p.Ranks {
		rank := strconv.Itoa(r.Rank)
		samples = append(samples,
			telemetry.Sample{Labels: []string{rank, demandUsual}, Value: r.Ratio},
			telemetry.Sample{Labels: []string{rank, demandReturning}, Value: r.Late},
			telemetry.Sample{Labels: []string{rank, demandExcess}, Value: r.Excess})
	}
	return samples
}

// rankShares returns the shares of the ranks that have one.
func rankShares(p report.FullPool) []telemetry.Sample {
	var samples []telemetry.Sample
	for _, r := range p.Ranks {
		if r.Share != nil {
			samples = append(samples, telemetry.Sample{Labels: []string{strconv.Itoa(r.Rank)}, Value: *r.Share})
		}
	}
	return samples
}

func workspaceSamples(p report.FullPool, value func(report.ListedWorkspace) float64) []telemetry.Sample {
	var samples []telemetry.Sample
	for _, w := range p.Workspaces {
		samples = append(samples, telemetry.Sample{Labels: []string{w.Workspace}, Value: value(w)})
	}
	return samples
}

// describe returns by which levels this host decides, or nil if it has none and no pool asks for any.
func (r *poolAdmissionReporter) describe(now time.Time) *report.PoolAdmission {
	state, age := r.admission.State(now)
	if state == overload.NoLevels && !r.admission.HasEnabledPool() {
		return nil
	}
	return &report.PoolAdmission{State: levelsStates[state], Age: targets.Duration(age.Round(time.Millisecond)), Pools: r.fullPools(now)}
}

var levelsStates = map[overload.LevelsState]string{
	overload.NoLevels: report.LevelsNone, overload.LevelsInForce: report.LevelsInForce, overload.LevelsExpired: report.LevelsExpired,
}

// fullPools returns the levels in force, sorted by pool.
func (r *poolAdmissionReporter) fullPools(now time.Time) []report.FullPool {
	names := r.names()
	var pools []report.FullPool
	for _, status := range r.admission.Status(now) {
		pools = append(pools, describeFullPool(status, names))
	}
	slices.SortFunc(pools, func(a, b report.FullPool) int { return cmp.Compare(a.Pool, b.Pool) })
	return pools
}

func describeFullPool(status overload.PoolStatus, names *overload.Names) report.FullPool {
	levels := &status.Levels
	pool := report.FullPool{Pool: names.Pool(status.Pool), RetryAfter: targets.Duration(levels.RetryAfter), LimitedWorkspaces: len(levels.LimitedWorkspaces())}
	for _, rank := range slices.Sorted(maps.Keys(levels.Ranks)) {
		l := levels.Ranks[rank]
		r := report.LimitedRank{Rank: rank, Ratio: l.Others, Late: l.Late, Excess: l.Excess, Displaced: l.Displaced}
		if !math.IsInf(l.Share, 0) {
			r.Share = &l.Share
		}
		pool.Ranks = append(pool.Ranks, r)
	}
	for _, id := range levels.ListedWorkspaces(maxListedWorkspaces) {
		w := levels.Workspaces[id]
		pool.Workspaces = append(pool.Workspaces, report.ListedWorkspace{Workspace: names.Workspace(id), Rate: w.Rate, Ratio: levels.WorkspaceRatio(id), Excess: w.Excess})
	}
	return pool
}
