package fleet

import (
	"bytes"
	"cmp"
	"encoding/gob"
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"jackdawhinge/common/traffic"
	"jackdawhinge/jackdawd/internal/overload"
	"jackdawhinge/jackdawd/internal/placement"
	"jackdawhinge/standin/network"
)

const (
	// levelsTTL is how long hosts may use levels; package overload has the same bound.
	levelsTTL = 1500 * time.Millisecond
	// ageTolerance is by how much the age of levels that a host knows may be off: the time of the calls.
	ageTolerance = 100 * time.Millisecond
	// slotsPerUpstream gives the pool far fewer slots than arrivalsPerTick needs.
	slotsPerUpstream = 4
	arrivalsPerTick  = 5
	arrivalTick      = 100 * time.Millisecond
	pooledWorkspaces = 40
	pooledHosts      = 60
)

// pools returns the upstreams that take new requests, with slots.
func (p *process) pools() map[string][]*traffic.Upstream {
	return withSlots(p.tracker.Snapshot().ReadyPools())
}

func withSlots(pools map[string][]*traffic.Upstream) map[string][]*traffic.Upstream {
	out := map[string][]*traffic.Upstream{}
	for pool, list := range pools {
		for _, u := range list {
			withSlots := *u
			withSlots.Slots = slotsPerUpstream
			out[pool] = append(out[pool], &withSlots)
		}
	}
	return out
}

// pooledFleet is a fleet whose hosts admit requests together.
type pooledFleet struct {
	*testFleet
	mu    sync.Mutex
	parts map[string]*observedAdmission
	// computed are all computations of levels, in order.
	computed []computedLevels
	ids      int
	random   *rand.Rand
}

type computedLevels struct {
	host string
	at   time.Time
}

// observedAdmission is the part of one host, and records where its levels come from.
type observedAdmission struct {
	*overload.Controller
	host  string
	fleet *pooledFleet
	// appliedAt is when the levels in force were computed, as far as the host knows.
	appliedAt time.Time
}

func (a *observedAdmission) ComputeLevels(now time.Time, d *overload.Demand, pools []overload.PoolState) []byte {
	levels := a.Controller.ComputeLevels(now, d, pools)
	if levels != nil {
		a.fleet.mu.Lock()
		defer a.fleet.mu.Unlock()
		a.fleet.computed = append(a.fleet.computed, computedLevels{a.host, now})
	}
	return levels
}

func (a *observedAdmission) ApplyLevels(levels []byte, computedAt time.Time) {
	a.Controller.ApplyLevels(levels, computedAt)
	a.fleet.mu.Lock()
	defer a.fleet.mu.Unlock()
	a.appliedAt = computedAt
}

// runPooledFleet runs a test with a fleet whose hosts have been asked for too much for some seconds, if enabled.
func runPooledFleet(t *testing.T, enabled bool, test func(f *pooledFleet)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		f := &pooledFleet{testFleet: newTestFleet(t), parts: map[string]*observedAdmission{}, random: rand.New(rand.NewPCG(1, 1))}
		f.size = pooledHosts
		f.admission = func(name string) placement.Admission {
			a := &observedAdmission{Controller: overload.NewController(), host: name, fleet: f}
			if enabled {
				a.Enable("reader")
			}
			f.parts[name] = a
			return a
		}
		defer f.stop()
		f.startAll(true)
		f.waitUntilInitialized()
		f.play(5*time.Second, arrivalsPerTick, nil)
		test(f)
	})
}

// play lets requests arrive at all hosts for a time, and calls observe, if it is not nil, after each tick.
func (f *pooledFleet) play(d time.Duration, perTick int, observe func()) {
	for end := time.Now().Add(d); time.Now().Before(end); {
		for name, p := range f.running {
			for range perTick {
				f.arrive(name, p)
			}
		}
		time.Sleep(arrivalTick)
		if observe != nil {
			observe()
		}
	}
}

// arrive records a request at a host, which an upstream works on for a while.
func (f *pooledFleet) arrive(name string, p *process) {
	q, part := f.newPooledRequest(), f.parts[name]
	part.RecordArrival(time.Now(), q)
	if v := part.Decide(time.Now(), q); v.Known && !v.Admitted || f.random.IntN(arrivalsPerTick) > 0 {
		return
	}
	u := newUpstream(fmt.Sprint("u", f.random.IntN(upstreamCount)))
	p.loads.Begin(time.Now(), u)
	part.RecordStart(q.Pool)
	time.AfterFunc(400*time.Millisecond, func() {
		p.loads.End(time.Now(), u)
		part.RecordEnd(time.Now(), q.Pool, q.Rank, 400*time.Millisecond)
	})
}

func (f *pooledFleet) newPooledRequest() overload.Request {
	f.ids++
	return overload.Request{ID: fmt.Sprint(f.ids), Pool: overload.PoolID("reader"), Workspace: overload.WorkspaceID(fmt.Sprint("workspace-", f.random.IntN(pooledWorkspaces))), Rank: f.random.IntN(overload.NumRanks), CanBeOnTime: true}
}

// rootName returns the name of the root of the region.
func (f *pooledFleet) rootName() string { return fmt.Sprint("entry-", f.rootNumber()) }

// origin returns who computed the levels that a host uses, and when; false if it decides by itself.
func (f *pooledFleet) origin(name string) (computedLevels, bool) {
	part := f.parts[name]
	if !part.Decide(time.Now(), f.newPooledRequest()).Known {
		return computedLevels{}, false
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	nearest := computedLevels{}
	for _, c := range f.computed {
		if part.appliedAt.Sub(c.at).Abs() < part.appliedAt.Sub(nearest.at).Abs() {
			nearest = c
		}
	}
	require.LessOrEqual(f.t, part.appliedAt.Sub(nearest.at).Abs(), ageTolerance, "host %s has levels that no host computed", name)
	return nearest, true
}

// Guards against demand that is lost on its way up the tree, and levels that do not reach all hosts or not alike.
func TestDemandTravelsUpAndLevelsDown(t *testing.T) {
	runPooledFleet(t, true, func(f *pooledFleet) {
		root := f.running[f.rootName()]
		demand := root.source.inProgress(time.Now()).Demand
		require.Equal(f.t, pooledHosts, demand.Hosts)
		require.InEpsilon(f.t, pooledHosts*arrivalsPerTick*int(overload.Window/arrivalTick), demand.Pools[overload.PoolID("reader")].Arrivals(), 0.25)
		q := f.newPooledRequest()
		q.Rank = overload.NumRanks - 1
		want := f.parts[f.rootName()].Decide(time.Now(), q)
		require.True(f.t, want.Known)
		require.Less(f.t, want.Ratio, 1.0)
		for name, part := range f.parts {
			require.Equal(f.t, want, part.Decide(time.Now(), q), name)
		}
		for name := range f.running {
			from, known := f.origin(name)
			require.True(f.t, known, name)
			require.Equal(f.t, f.rootName(), from.host)
		}
	})
}

// maxWithoutLevels is how long hosts may decide by themselves after the loss of the root: their calls to it must
// fail, and another root computes levels half a second later.
const maxWithoutLevels = 3 * time.Second

// Guards against hosts that go on with the levels of a root that is gone, and against a fleet that no other root
// computes levels for.
func TestLevelsExpireWithTheirRoot(t *testing.T) {
	for name, fail := range map[string]func(f *pooledFleet, root string){
		"killed":      func(f *pooledFleet, root string) { f.kill(root) },
		"frozen":      func(f *pooledFleet, root string) { f.isolate(root, network.Frozen) },
		"partitioned": func(f *pooledFleet, root string) { f.isolate(root, network.Partitioned) },
	} {
		t.Run(name, func(t *testing.T) {
			runPooledFleet(t, true, func(f *pooledFleet) {
				root, failedAt := f.rootName(), time.Now()
				fail(f, root)
				lastKnown, lastRoot, longest := map[string]time.Time{}, map[string]string{}, time.Duration(0)
				f.play(10*time.Second, arrivalsPerTick, func() {
					now := time.Now()
					for name := range f.running {
						if name == root {
							continue
						}
						from, known := f.origin(name)
						if !known {
							since, ok := lastKnown[name]
							require.True(f.t, ok || now.Sub(failedAt) <= maxWithoutLevels, "host %s gets no levels", name)
							if ok {
								longest = max(longest, now.Sub(since))
							}
							continue
						}
						lastKnown[name], lastRoot[name] = now, from.host
						require.LessOrEqual(f.t, now.Sub(from.at), levelsTTL+ageTolerance, "host %s uses levels of %s", name, from.host)
					}
				})
				f.t.Logf("hosts decided by themselves for %s at most", longest)
				require.LessOrEqual(f.t, longest, maxWithoutLevels)
				// At the end a host may be calling the lost root again, as all do from time to time.
				for name := range f.running {
					if name != root {
						require.NotEqual(f.t, root, lastRoot[name], name)
						require.LessOrEqual(f.t, time.Since(lastKnown[name]), maxWithoutLevels, name)
					}
				}
			})
		})
	}
}

// Guards against messages of hosts without pool-wide admission that differ from those of before.
func TestHostsWithoutPoolAdmissionSendWhatTheyDid(t *testing.T) {
	runPooledFleet(t, false, func(f *pooledFleet) {
		require.Empty(f.t, f.computed)
		for name, p := range f.running {
			plan, _ := p.plans.Plan(time.Now())
			require.NotNil(f.t, plan, name)
			require.Nil(f.t, plan.Levels, name)
			args := p.source.exchangeArgs(time.Now(), Peer{Name: "parent"})
			require.Nil(f.t, args.Demand, name)
			require.False(f.t, f.parts[name].Decide(time.Now(), f.newPooledRequest()).Known, name)
			reply := ExchangeReply{Plan: plan}
			require.Equal(f.t, encodedFields(f.t, previousArgs(&args)), encodedFields(f.t, &args))
			require.Equal(f.t, encodedFields(f.t, previousReply(&reply)), encodedFields(f.t, &reply))
		}
	})
}

// encodedFields returns the fields of a message as they are sent on a connection on which one of its type was sent
// before.
func encodedFields(t testing.TB, message any) []byte {
	t.Helper()
	var b bytes.Buffer
	encoder := gob.NewEncoder(&b)
	require.NoError(t, encoder.Encode(message))
	b.Reset()
	require.NoError(t, encoder.Encode(message))
	// The length and the number of the type, which each process assigns, come first.
	return skipNumber(skipNumber(b.Bytes()))
}

// skipNumber returns what follows a number in gob's encoding.
func skipNumber(b []byte) []byte {
	if b[0] < 128 {
		return b[1:]
	}
	return b[1-int(int8(b[0])):]
}

// previousExchangeArgs, previousPlan and previousExchangeReply are the messages of a build that does not know the
// demand and the levels.
type previousExchangeArgs struct {
	Host    string
	Leaves  bool
	Engines Counts
	First   bool
	Prompts Counts
	Scores  Scores
	PlanAge time.Duration
	Steps   int
}

type previousPlan struct {
	Pools   []placement.PoolPlan
	Prompts []placement.PromptLoad
}

type previousExchangeReply struct {
	Scores  Scores
	Plan    *previousPlan
	PlanAge time.Duration
}

func previousArgs(a *ExchangeArgs) *previousExchangeArgs {
	return &previousExchangeArgs{Host: a.Host, Leaves: a.Leaves, Engines: a.Engines, First: a.First, Prompts: a.Prompts, Scores: a.Scores, PlanAge: a.PlanAge, Steps: a.Steps}
}

func previousReply(r *ExchangeReply) *previousExchangeReply {
	previous := &previousExchangeReply{Scores: r.Scores, PlanAge: r.PlanAge}
	if r.Plan != nil {
		previous.Plan = &previousPlan{Pools: r.Plan.Pools, Prompts: r.Plan.Prompts}
	}
	return previous
}

// transcode sends a message from one type to another.
func transcode(t *testing.T, from, to any) {
	t.Helper()
	var b bytes.Buffer
	require.NoError(t, gob.NewEncoder(&b).Encode(from))
	require.NoError(t, gob.NewDecoder(&b).Decode(to))
}

// mixedTree is a tree of hosts without a network, some of which are of the previous build.
type mixedTree struct {
	*simulation
	t        *testing.T
	previous map[string]bool
	parts    map[string]*overload.Controller
}

// newMixedTree returns a tree of hosts, each with a request in progress, in which the hosts that isPrevious names are of the previous build.
func newMixedTree(t *testing.T, isPrevious func(s *simulation, h *simulatedHost) bool) *mixedTree {
	s := newSimulation(simulatedLoad{hosts: 48, engines: 20}, 1)
	m := &mixedTree{simulation: s, t: t, previous: map[string]bool{}, parts: map[string]*overload.Controller{}}
	s.now = time.Now()
	s.byDepth = slices.SortedFunc(slices.Values(s.hosts), func(a, b *simulatedHost) int { return cmp.Compare(s.depth(b), s.depth(a)) })
	for name, h := range s.byName {
		m.parts[name] = overload.NewController()
		h.loads.Begin(s.now, s.engines[s.random.IntN(len(s.engines))])
		if isPrevious(s, h) {
			m.previous[name] = true
			continue
		}
		m.parts[name].Enable(simulatedPool)
		m.parts[name].RecordStart(overload.PoolID(simulatedPool))
		h.plans.SetAdmission(m.parts[name], func() map[string][]*traffic.Upstream {
			return withSlots(map[string][]*traffic.Upstream{simulatedPool: s.engines})
		})
	}
	return m
}

// round lets all hosts report to their parents, the root compute a plan, and all hosts receive it.
func (m *mixedTree) round() {
	now := time.Now()
	m.now = now
	for _, h := range m.byDepth {
		m.load(h)
		if parent, ok := h.source.directory.ExchangeParent(now); ok {
			args := h.source.exchangeArgs(now, parent)
			if m.previous[h.source.options.Name] || m.previous[parent.Name] {
				var previous previousExchangeArgs
				transcode(m.t, &args, &previous)
				args = ExchangeArgs{}
				transcode(m.t, &previous, &args)
			}
			m.byName[parent.Name].source.subtree.record(now, &args)
			h.args, h.calledAt = &args, now
		}
	}
	m.root().source.computePlan(now)
	for i := len(m.byDepth) - 1; i >= 0; i-- {
		h := m.byDepth[i]
		parent, ok := h.source.directory.ExchangeParent(now)
		if !ok {
			continue
		}
		reply := m.byName[parent.Name].source.exchangeReply(now, h.calledAt, h.args)
		if m.previous[h.source.options.Name] || m.previous[parent.Name] {
			var previous previousExchangeReply
			transcode(m.t, &reply, &previous)
			reply = ExchangeReply{}
			transcode(m.t, &previous, &reply)
		}
		h.source.applyExchange(now, &reply)
	}
	// Requests count for half a second.
	time.Sleep(planInterval + time.Millisecond)
}

func (m *mixedTree) root() *simulatedHost { return m.byDepth[len(m.byDepth)-1] }

// load lets requests arrive at a host.
func (m *mixedTree) load(h *simulatedHost) {
	name, pool := h.source.options.Name, overload.PoolID(simulatedPool)
	for n := range 4 {
		m.parts[name].RecordArrival(time.Now(), overload.Request{ID: fmt.Sprint(name, n), Pool: pool, Workspace: uint32(n), Rank: 3, CanBeOnTime: true})
	}
}

// isBelowPrevious reports whether a host or one above it is of the previous build.
func (m *mixedTree) isBelowPrevious(h *simulatedHost) bool {
	if m.previous[h.source.options.Name] {
		return true
	}
	parent, ok := h.source.directory.ExchangeParent(m.now)
	return ok && m.isBelowPrevious(m.byName[parent.Name])
}

// isFirstParent reports whether a host is the first one that has both a parent and a child.
func isFirstParent(s *simulation, h *simulatedHost) bool {
	for _, other := range s.hosts {
		if s.depth(other) != 1 {
			continue
		}
		for _, child := range s.hosts {
			if parent, ok := child.source.directory.ExchangeParent(s.now); ok && parent.Name == other.source.options.Name {
				return h == other
			}
		}
	}
	return false
}

// ratio returns the part that a host admits; false if it decides by itself.
func (m *mixedTree) ratio(h *simulatedHost) (float64, bool) {
	v := m.parts[h.source.options.Name].Decide(time.Now(), overload.Request{ID: "x", Pool: overload.PoolID(simulatedPool), Workspace: 1, Rank: 3, CanBeOnTime: true})
	return v.Ratio, v.Known
}

// Guards against hosts above or below one of the previous build that fail or decide from half of the demand.
func TestParentOfPreviousBuild(t *testing.T) {
	ratios := map[string]float64{}
	for name, isPrevious := range map[string]func(s *simulation, h *simulatedHost) bool{
		"none":     func(*simulation, *simulatedHost) bool { return false },
		"a parent": isFirstParent,
		"half of the hosts": func(s *simulation, h *simulatedHost) bool {
			return h.source.options.Name[len(h.source.options.Name)-1]%2 == 0 && s.depth(h) > 1
		},
		"the root": func(s *simulation, h *simulatedHost) bool { return s.depth(h) == 0 },
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				m := newMixedTree(t, isPrevious)
				for range 8 {
					m.round()
				}
				reporting := 0
				for _, h := range m.hosts {
					ratio, known := m.ratio(h)
					require.Equal(t, !m.isBelowPrevious(h), known, h.source.options.Name)
					if known {
						reporting++
						ratios[name] = ratio
					}
				}
				t.Logf("%d of %d hosts have levels, of ratio %.2f", reporting, len(m.hosts), ratios[name])
				if demand := m.root().source.inProgress(time.Now()).Demand; reporting > 0 {
					require.Equal(t, reporting, demand.Hosts)
				}
			})
		})
	}
	require.Less(t, ratios["none"], 1.0)
	require.InEpsilon(t, ratios["none"], ratios["a parent"], 0.2)
	require.InEpsilon(t, ratios["none"], ratios["half of the hosts"], 0.2)
}

// malformed returns messages that cannot be decoded.
func malformed(valid []byte) map[string][]byte {
	messages := map[string][]byte{"one byte": {1}, "unknown version": append([]byte{99}, valid[1:]...), "counts beyond the end": {1, 255, 255, 255, 255}}
	for n := 1; n < len(valid); n++ {
		messages[fmt.Sprintf("%d bytes", n)] = valid[:n]
	}
	return messages
}

// Guards against a malformed demand that takes the rest of the report, or that of other hosts, with it.
func TestMalformedDemandIsIgnored(t *testing.T) {
	logrus.SetOutput(io.Discard)
	recorder, now := overload.NewRecorder(), time.Unix(1000, 0)
	recorder.Enable("reader")
	recorder.RecordArrival(now, overload.Request{ID: "1", Pool: overload.PoolID("reader"), Workspace: 7, Rank: 3})
	valid := recorder.Demand(now).Encode()
	for name, encoded := range malformed(valid) {
		t.Run(name, func(t *testing.T) {
			tree := newSubtree()
			tree.record(now, &ExchangeArgs{Host: "entry-1", First: true, Demand: valid})
			tree.record(now, &ExchangeArgs{Host: "entry-2", First: true, Demand: encoded, Engines: encodeCounts(map[uint32]int{7: 3}, []uint32{7})})
			sum := tree.sumInProgress(now, placement.InProgress{}, "")
			require.Equal(t, 1, sum.Demand.Hosts)
			require.Equal(t, map[uint32]int{7: 3}, sum.Engines)
		})
	}
}

// Guards against malformed levels that end those in force, or that keep them in force for longer.
func TestMalformedLevelsAreIgnored(t *testing.T) {
	logrus.SetOutput(io.Discard)
	valid := (&overload.Levels{Pools: map[uint32]*overload.PoolLevels{
		overload.PoolID("reader"): {Ranks: map[int]overload.RankLevel{3: {Others: 0.4}}, Workspaces: map[uint32]overload.WorkspaceRate{7: {Rate: 5}}},
	}}).Encode()
	q := overload.Request{ID: "1", Pool: overload.PoolID("reader"), Workspace: 8, Rank: 3, CanBeOnTime: true}
	for name, encoded := range malformed(valid) {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				admission := overload.NewController()
				none := func() map[string][]*traffic.Upstream { return nil }
				plans := placement.NewBalancer(placement.NewLoads(), none, func() float64 { return 2 })
				plans.SetAdmission(admission, none)
				plans.ApplyPlan(&placement.Plan{Levels: valid}, time.Now())
				time.Sleep(time.Second)
				plans.ApplyPlan(&placement.Plan{Levels: encoded}, time.Now())
				require.InDelta(t, 0.4, admission.Decide(time.Now(), q).Ratio, 0.01)
				time.Sleep(levelsTTL - time.Second + 1)
				require.False(t, admission.Decide(time.Now(), q).Known)
				plans.ApplyPlan(&placement.Plan{Levels: valid}, time.Now())
				require.True(t, admission.Decide(time.Now(), q).Known)
			})
		})
	}
}

// maxControlBytes is a host's budget for all control traffic, in bytes per second.
const maxControlBytes = 5000

// Guards against control traffic beyond a host's budget when demand and levels are sent too.
func TestControlBytesWithPoolAdmission(t *testing.T) {
	const seconds = 20
	for name, test := range map[string]struct {
		enabled bool
		perTick int
	}{
		"not enabled": {false, arrivalsPerTick},
		"calm":        {true, 1},
		"limited":     {true, arrivalsPerTick},
	} {
		t.Run(name, func(t *testing.T) {
			runPooledFleet(t, test.enabled, func(f *pooledFleet) {
				f.play(5*time.Second, test.perTick, nil)
				followers, before := map[string]int{}, map[string]int64{}
				for name, p := range f.running {
					followers[p.source.Following()]++
					before[name] = p.source.Bytes()
				}
				f.play(seconds*time.Second, test.perTick, nil)
				most, sum, count := map[int]int64{}, map[int]int64{}, map[int]int64{}
				readers := 0
				for name, p := range f.running {
					perSecond, n := (p.source.Bytes()-before[name])/seconds, followers[name]
					most[n], sum[n], count[n] = max(most[n], perSecond), sum[n]+perSecond, count[n]+1
					if _, hasParent := p.source.parent(); hasParent {
						require.LessOrEqual(f.t, perSecond, int64(maxControlBytes), "%s with %d followers", name, n)
						continue
					}
					readers++
				}
				require.LessOrEqual(f.t, readers, maxReaders)
				for _, n := range slices.Sorted(maps.Keys(count)) {
					f.t.Logf("%d hosts with %d followers: %d bytes per second, %d at most", count[n], n, sum[n]/count[n], most[n])
				}
				require.Positive(f.t, count[fanOut])
				require.LessOrEqual(f.t, most[fanOut], int64(maxControlBytes))
			})
		})
	}
}
