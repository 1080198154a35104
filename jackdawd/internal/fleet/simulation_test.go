package fleet

import (
	"cmp"
	"container/heap"
	"encoding/json"
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/sirupsen/logrus"

	"jackdawhinge/common/traffic"
	"jackdawhinge/jackdawd/internal/control"
	"jackdawhinge/jackdawd/internal/membership"
	"jackdawhinge/jackdawd/internal/placement"
	"jackdawhinge/jackdawd/internal/quarantine"
	"jackdawhinge/jackdawd/internal/relay"
)

// simulation runs many hosts that place requests with prompts on engines, each with its own state
// and what it receives along the tree, on a simulated clock.
type simulation struct {
	load   simulatedLoad
	now    time.Time
	random *rand.Rand
	hosts  []*simulatedHost
	byName map[string]*simulatedHost
	// byDepth holds the deepest hosts first.
	byDepth []*simulatedHost
	engines []*traffic.Upstream
	// evacuated is how many of the engines, from the first on, are evacuated.
	evacuated     int
	running       map[*traffic.Upstream]int
	failedEngines map[*traffic.Upstream]bool
	poolRequests  int
	events        eventQueue
	sequence      int
	// placed and over count the requests placed in each second, and those placed on an engine above
	// its load bound.
	placed, over []int
	reads        int
	// readTime is the total time engines spent reading prompts that requests share.
	readTime time.Duration
	cached   map[*traffic.Upstream]map[uint64]bool
	// maxPlanAge is the maximum age of a plan used for placement once all hosts had one.
	maxPlanAge time.Duration
	// slotsBusyUntil is the time until which each slot of a plain service's upstream is busy.
	slotsBusyUntil map[*traffic.Upstream][]time.Time
	// readingUntil is the time until which an engine reads prompts.
	readingUntil map[*traffic.Upstream]time.Time
	silences     map[*traffic.Upstream][]silentSpan
	// attempts holds the requests that each upstream has, if hosts fail over; responses counts how they end.
	attempts  map[*traffic.Upstream][]*simulatedAttempt
	responses responseCounts
}

// simulatedHost is one host without its network.
type simulatedHost struct {
	source *Source
	// engines are the engines known to the host.
	engines []*traffic.Upstream
	// args is the report of the call to the parent that has not been answered yet.
	args     *ExchangeArgs
	calledAt time.Time
	loads    *placement.Loads
	plans    *placement.Balancer
	// requestStats are the statistics of the requests that this host has sent.
	requestStats *placement.RequestStats
	outliers     *control.OutlierDetector
	retries      *relay.RetryBudgets
}

// emptyState has no configuration, upstreams or failure scores.
type emptyState struct{}

func (emptyState) Changes() *membership.Changes     { return nil }
func (emptyState) Age() time.Duration               { return unknownAge }
func (emptyState) Scores() map[uint32]float64       { return nil }
func (emptyState) SetPeerScores(map[uint32]float64) {}

// simulatedLoad is the load of a simulation.
type simulatedLoad struct {
	hosts, engines int
	// work is the workload of the upstreams, mailWorkload by default.
	work workload
	// rate is the number of requests per second.
	rate float64
	// hotRatio is the fraction of requests for one hot prompt from hotFrom on.
	hotRatio float64
	hotFrom  time.Duration
	// surgeFactor multiplies the rate between surgeFrom and surgeUntil.
	surgeFactor           float64
	surgeFrom, surgeUntil time.Duration
	// sameDomainRatio is the fraction of requests sent to hosts of one failure domain, in addition
	// to its even part of the rest.
	sameDomainRatio float64
	// surgeKind is the kind of the additional requests of the surge; nil for the usual mix.
	surgeKind *int
	// lostEngines is how many engines fail at lostAt, with the requests they have.
	lostEngines int
	lostAt      time.Duration
	// evacuatedEngines is how many engines get nothing new from evacuatedAt on. They count for the mean
	// load that bounds the others.
	evacuatedEngines int
	evacuatedAt      time.Duration
	// replacedEngines is how many engines are replaced by empty ones, one per replaceInterval from
	// replacedFrom on.
	replacedEngines int
	replacedFrom    time.Duration
	replaceInterval time.Duration
	duration        time.Duration
	// planDelay is an additional delay of plans.
	planDelay time.Duration
	// withoutPlans disables plans, so that hosts only use their own state.
	withoutPlans bool
	// silentRatio is the part of the upstreams that send nothing for silentFor, first at silentFrom and then every
	// silentEvery; 0 for once.
	silentRatio                        float64
	silentFor, silentFrom, silentEvery time.Duration
	// failover is what hosts do when an upstream sends nothing; nil if they wait.
	failover *simulatedFailover
}

// requestKind is one kind of request.
type requestKind struct {
	// ratio is the fraction of requests of this kind, prompts the number of distinct prompts,
	// meanTokens the mean length of an answer.
	ratio      float64
	prompts    int
	meanTokens float64
	// readTime is how long reading a prompt takes, ownReadTime how long the part that each request
	// does not share takes; sharedTokens is the length of the shared part.
	readTime     time.Duration
	ownReadTime  time.Duration
	sharedTokens int
}

// workload describes the requests and the speed of upstreams.
type workload struct {
	kinds []requestKind
	// tokenTime is the time per token of an answer, tokenTimePerRequest what each request in
	// progress adds to it.
	tokenTime, tokenTimePerRequest time.Duration
	// lengthSigma is the standard deviation of the logarithm of an answer's length.
	lengthSigma float64
	// slots is the number of requests that an upstream of a plain service handles at once; 0 for
	// engines.
	slots int
}

// mailWorkload consists of long digests, short sorting and tagging requests; articleWorkload of
// checks of long texts, headlines and long captions; documentWorkload of fetches from a plain
// service.
var (
	mailWorkload = workload{
		kinds: []requestKind{
			{0.23, 182, 384, 110 * time.Millisecond, 14 * time.Millisecond, 10512},
			{0.32, 568, 294, 8 * time.Millisecond, 2 * time.Millisecond, 699},
			{0.45, 356, 24, 22 * time.Millisecond, 4 * time.Millisecond, 2041},
		},
		tokenTime: 3030 * time.Microsecond, tokenTimePerRequest: 121 * time.Microsecond,
	}
	articleWorkload = workload{
		kinds: []requestKind{
			{0.34, 506, 52, 174 * time.Millisecond, 12 * time.Millisecond, 8620},
			{0.4, 586, 23, 41 * time.Millisecond, 7 * time.Millisecond, 2041},
			{0.26, 380, 280, 12 * time.Millisecond, 2 * time.Millisecond, 603},
		},
		tokenTime: 5180 * time.Microsecond, tokenTimePerRequest: 37 * time.Microsecond, lengthSigma: 0.8,
	}
	documentWorkload = workload{
		kinds:     []requestKind{{ratio: 1, prompts: 1, meanTokens: 1}},
		tokenTime: 60 * time.Millisecond, lengthSigma: 0.5, slots: 6,
	}
)

const (
	// loadReportDelay is how long after reading a prompt an engine reports its load.
	loadReportDelay  = 60 * time.Millisecond
	loadMultiple     = 2
	loadSlack        = 3
	windowSeconds    = 5
	maxOverRatio     = 0.03
	hotPrompt        = 0xf00d
	simulatedPool    = "reader"
	simulatedDomains = 6
	// gatherDelay is how long reports take from the leaves to the root.
	gatherDelay = 100 * time.Millisecond
	// listReadInterval is how often each of the region's two readers reads the list of engines.
	listReadInterval = 750 * time.Millisecond
	// planPropagation is how long a plan takes from the root to the last host.
	planPropagation = 20 * time.Millisecond
)

// event is something that happens at a given time.
type event struct {
	at       time.Time
	sequence int
	do       func()
}

type eventQueue []event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	return cmp.Or(q[i].at.Compare(q[j].at), cmp.Compare(q[i].sequence, q[j].sequence)) < 0
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(event)) }
func (q *eventQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

func newSimulation(load simulatedLoad, seed uint64) *simulation {
	logrus.SetOutput(io.Discard)
	if load.work.kinds == nil {
		load.work = mailWorkload
	}
	s := &simulation{
		load: load, now: time.Unix(1_800_000_000, 0), random: rand.New(rand.NewPCG(seed, 1)), byName: map[string]*simulatedHost{},
		running: map[*traffic.Upstream]int{}, failedEngines: map[*traffic.Upstream]bool{}, readingUntil: map[*traffic.Upstream]time.Time{}, slotsBusyUntil: map[*traffic.Upstream][]time.Time{}, cached: map[*traffic.Upstream]map[uint64]bool{},
		silences: map[*traffic.Upstream][]silentSpan{}, attempts: map[*traffic.Upstream][]*simulatedAttempt{},
	}
	for i := range load.engines {
		s.engines = append(s.engines, newEngine(i))
	}
	registrations := map[string][]byte{}
	for i := range load.hosts {
		name := fmt.Sprintf("entry-%d", i)
		data, _ := json.Marshal(Registration{Address: name, FailureDomain: fmt.Sprintf("domain-%d", i%simulatedDomains), Region: "north", Secret: name, Strength: 1})
		registrations[name] = data
	}
	for i := range load.hosts {
		name := fmt.Sprintf("entry-%d", i)
		h := &simulatedHost{loads: placement.NewLoads(), requestStats: placement.NewRequestStats(), engines: slices.Clone(s.engines), outliers: control.NewOutlierDetector(), retries: relay.NewRetryBudgets(0.2, 10*time.Second)}
		h.plans = placement.NewBalancer(h.loads, func() map[string][]*traffic.Upstream { return map[string][]*traffic.Upstream{simulatedPool: h.engines} }, func() float64 { return loadMultiple })
		h.source = NewSource(Options{
			Name: name, Address: name, FailureDomain: fmt.Sprintf("domain-%d", i%simulatedDomains), Region: "north", Strength: 1, Plans: h.plans, Quarantine: quarantine.NewRegistry(),
			Uptime: func() time.Duration { return s.now.Sub(time.Unix(0, 0)) },
		})
		h.source.directory.self.Secret = name
		h.source.state = emptyState{}
		h.source.directory.Update(registrations, true, logOffset(2))
		s.hosts = append(s.hosts, h)
		s.byName[name] = h
	}
	return s
}

func newEngine(i int) *traffic.Upstream {
	id := fmt.Sprintf("engine-%d", i)
	return &traffic.Upstream{ID: id, Hash: traffic.HashID(id), Pool: simulatedPool, FailureDomain: fmt.Sprintf("domain-%d", i%simulatedDomains), Slots: 48}
}

func (s *simulation) after(d time.Duration, do func()) {
	s.sequence++
	heap.Push(&s.events, event{at: s.now.Add(d), sequence: s.sequence, do: do})
}

// run runs the simulation and returns the largest fraction of requests placed above the load bound
// in any windowSeconds.
func (s *simulation) run() float64 {
	start := s.now
	s.byDepth = slices.SortedFunc(slices.Values(s.hosts), func(a, b *simulatedHost) int { return cmp.Compare(s.depth(b), s.depth(a)) })
	for i := range s.load.replacedEngines {
		s.after(s.load.replacedFrom+time.Duration(i)*s.load.replaceInterval, func() {
			s.engines[i*3%len(s.engines)] = newEngine(1000 + i)
		})
	}
	if s.load.lostEngines > 0 {
		s.after(s.load.lostAt, s.failEngines)
	}
	if s.load.evacuatedEngines > 0 {
		s.after(s.load.evacuatedAt, func() { s.evacuated = s.load.evacuatedEngines })
	}
	if s.load.silentRatio > 0 {
		s.after(s.load.silentFrom, s.silence)
	}
	for reader := range maxReaders {
		s.after(time.Duration(reader)*listReadInterval/maxReaders, func() { s.readList(reader) })
	}
	s.after(0, s.distributePlan)
	s.after(2*time.Second, s.arrive)
	for len(s.events) > 0 {
		e := heap.Pop(&s.events).(event)
		if e.at.Sub(start) > s.load.duration {
			break
		}
		s.now = e.at
		e.do()
	}
	return s.worstRatio()
}

// worstRatio returns the largest fraction of requests in a window that were placed above the load
// bound.
func (s *simulation) worstRatio() float64 {
	worst := 0.0
	for end := windowSeconds; end <= len(s.placed); end++ {
		placed, over := 0, 0
		for second := end - windowSeconds; second < end; second++ {
			placed, over = placed+s.placed[second], over+s.over[second]
		}
		if over >= 20 {
			worst = max(worst, float64(over)/float64(placed))
		}
	}
	return worst
}

// distributePlan makes the root compute a plan, which all others receive; they report to their
// parents when they call again, the deepest first.
func (s *simulation) distributePlan() {
	root := s.byDepth[len(s.byDepth)-1]
	s.computePlan(root)
	s.after(gatherDelay, func() {
		for _, h := range s.byDepth {
			if parent, ok := h.source.directory.ExchangeParent(s.now); ok {
				args := h.source.exchangeArgs(s.now, parent)
				s.byName[parent.Name].source.subtree.record(s.now, &args)
				h.args, h.calledAt = &args, s.now
			}
		}
		if root.plans.HasRisingPrompt(root.source.inProgress(s.now)) {
			s.computePlan(root)
		}
	})
	s.after(planInterval, s.distributePlan)
}

// computePlan makes the root compute a plan, which the others receive after a delay.
func (s *simulation) computePlan(root *simulatedHost) {
	if s.load.withoutPlans {
		return
	}
	root.source.computePlan(s.now)
	if s.load.planDelay > 0 {
		plan, at := root.plans.Plan(s.now)
		s.after(planPropagation+s.load.planDelay, func() {
			for _, h := range s.hosts {
				h.plans.ApplyPlan(plan, at)
			}
		})
		return
	}
	s.after(planPropagation, func() {
		for _, h := range slices.Backward(s.byDepth) {
			s.answerCall(h)
		}
	})
}

// answerCall lets the parent answer a host's pending call if it has a newer plan.
func (s *simulation) answerCall(h *simulatedHost) {
	parent, hasParent := h.source.directory.ExchangeParent(s.now)
	if !hasParent || h.args == nil {
		return
	}
	parentSource := s.byName[parent.Name].source
	if !parentSource.hasPlanFor(s.now, h.calledAt, h.args) {
		return
	}
	reply := parentSource.exchangeReply(s.now, h.calledAt, h.args)
	h.source.applyExchange(s.now, &reply)
	h.args = nil
}

// failEngines removes engines with the requests they have; hosts notice when the list is next read.
func (s *simulation) failEngines() {
	for _, u := range s.engines[:s.load.lostEngines] {
		s.poolRequests -= s.running[u]
		s.failedEngines[u] = true
	}
	s.engines = slices.Clone(s.engines[s.load.lostEngines:])
}

// readList makes a reader read the list of engines and forward it to its followers.
func (s *simulation) readList(reader int) {
	for i, h := range s.hosts {
		if i%maxReaders == reader {
			h.engines = slices.Clone(s.engines[s.evacuated:])
		}
	}
	s.after(listReadInterval, func() { s.readList(reader) })
}

// depth returns the number of hosts between a host and the root, counting the root.
func (s *simulation) depth(h *simulatedHost) int {
	parent, hasParent := h.source.directory.ExchangeParent(s.now)
	if !hasParent {
		return 0
	}
	return 1 + s.depth(s.byName[parent.Name])
}

// arrive places a request at a host and schedules the next one.
func (s *simulation) arrive() {
	elapsed := s.now.Sub(time.Unix(1_800_000_000, 0))
	rate, surging := s.load.rate, s.load.surgeFactor > 0 && elapsed >= s.load.surgeFrom && elapsed < s.load.surgeUntil
	if surging {
		rate *= s.load.surgeFactor
	}
	s.after(time.Duration(s.random.ExpFloat64()/rate*float64(time.Second)), s.arrive)
	kind := s.pickKind()
	if surging && s.load.surgeKind != nil && s.random.Float64() > 1/s.load.surgeFactor {
		kind = *s.load.surgeKind
	}
	key := xxhash.Sum64String(fmt.Sprint(kind, "/", int(float64(s.load.work.kinds[kind].prompts)*math.Pow(s.random.Float64(), 1.4))))
	if s.load.hotRatio > 0 && elapsed >= s.load.hotFrom && s.random.Float64() < s.load.hotRatio {
		kind, key = 1, hotPrompt
	}
	if s.load.failover != nil {
		s.startRequest(s.pickHost(), kind, key)
		return
	}
	s.place(s.pickHost(), kind, key)
}

// pickHost returns the host that the next request is sent to.
func (s *simulation) pickHost() *simulatedHost {
	if s.load.sameDomainRatio > 0 && s.random.Float64() < s.load.sameDomainRatio {
		// Hosts of one failure domain are simulatedDomains apart.
		return s.hosts[s.random.IntN((len(s.hosts)+simulatedDomains-1)/simulatedDomains)*simulatedDomains]
	}
	return s.hosts[s.random.IntN(len(s.hosts))]
}

func (s *simulation) pickKind() int {
	x := s.random.Float64()
	for kind, k := range s.load.work.kinds {
		if x -= k.ratio; x < 0 {
			return kind
		}
	}
	return len(s.load.work.kinds) - 1
}

// place places a request from a host on an engine and ends it when it is answered. A failed engine
// does not answer; the host stops using it and tries another one.
func (s *simulation) place(h *simulatedHost, kind int, key uint64) {
	u := s.choose(h, h.engines, kind, key)
	if s.failedEngines[u] {
		h.engines = slices.DeleteFunc(slices.Clone(h.engines), func(e *traffic.Upstream) bool { return e == u })
		s.place(h, kind, key)
		return
	}
	_, duration := s.begin(h, u, kind, key)
	s.upstreamAfter(u, duration, func() {
		s.endAtHost(h, u, kind, key, duration)
		s.endAtUpstream(u)
	})
}

// choose returns the upstream that a host chooses for a request.
func (s *simulation) choose(h *simulatedHost, upstreams []*traffic.Upstream, kind int, key uint64) *traffic.Upstream {
	plan := h.plans.LocalPlan(s.now)
	if age, hasPlan := plan.Age(s.now); hasPlan {
		s.maxPlanAge = max(s.maxPlanAge, age)
	}
	return placement.Choose(placement.Choice{
		Upstreams: upstreams, Loads: h.loads.All(s.now, upstreams), Key: key, Cacheable: s.load.work.slots == 0, FailureDomain: h.source.options.FailureDomain,
		LoadMultiple: loadMultiple, IdleRatio: 1 - float64(len(h.engines))/float64(len(s.engines)), Hosts: len(s.hosts), Random: s.random.Uint64(), Plan: plan, Pool: simulatedPool, ReportsLag: h.requestStats.ReportsLag(s.now, simulatedPool),
		Lifetime: h.requestStats.MeanLifetime(s.now, simulatedPool), SharedTokens: s.load.work.kinds[kind].sharedTokens, MeanDuration: h.requestStats.MeanDuration(fmt.Sprint(kind)),
	})
}

// begin begins a request at an upstream, and returns how long that works until the answer starts and ends.
func (s *simulation) begin(h *simulatedHost, u *traffic.Upstream, kind int, key uint64) (delay, duration time.Duration) {
	h.loads.Begin(s.now, u)
	h.plans.Begin(key)
	h.requestStats.RecordStart(s.now, simulatedPool)
	s.running[u]++
	s.poolRequests++
	s.countRequest(u)
	delay = s.startDelay(u, kind, key)
	duration = delay + s.answerTime(u, kind)
	if slots := s.slotsBusyUntil[u]; slots != nil {
		slots[0] = s.upstreamNow(u).Add(duration)
	}
	s.upstreamAfter(u, s.loadReportAfter(delay, duration), func() { h.loads.Record(s.now, u, traffic.Load{Running: s.running[u], Slots: u.Slots}) })
	return delay, duration
}

// endAtHost records that a host has ended a request.
func (s *simulation) endAtHost(h *simulatedHost, u *traffic.Upstream, kind int, key uint64, took time.Duration) {
	h.loads.End(s.now, u)
	h.plans.End(key)
	h.requestStats.RecordEnd(s.now, simulatedPool, fmt.Sprint(kind), took)
}

// endAtUpstream records that an upstream has ended a request.
func (s *simulation) endAtUpstream(u *traffic.Upstream) {
	if !s.failedEngines[u] {
		s.running[u]--
		s.poolRequests--
	}
}

// startDelay returns how long it takes until an upstream starts to answer a request.
func (s *simulation) startDelay(u *traffic.Upstream, kind int, key uint64) time.Duration {
	if s.load.work.slots == 0 {
		return s.readPrompt(u, kind, key)
	}
	slots := s.slotsBusyUntil[u]
	if slots == nil {
		slots = make([]time.Time, s.load.work.slots)
		s.slotsBusyUntil[u] = slots
	}
	slices.SortFunc(slots, time.Time.Compare)
	return max(slots[0].Sub(s.upstreamNow(u)), 0)
}

// answerTime returns how long an answer takes once started.
func (s *simulation) answerTime(u *traffic.Upstream, kind int) time.Duration {
	work := s.load.work
	tokens := work.kinds[kind].meanTokens
	if work.lengthSigma > 0 {
		tokens *= math.Exp(work.lengthSigma*s.random.NormFloat64() - work.lengthSigma*work.lengthSigma/2)
	}
	return time.Duration(tokens * float64(work.tokenTime+time.Duration(s.running[u])*work.tokenTimePerRequest))
}

// loadReportAfter returns when an answer's header reports the upstream's load: for a plain service
// it comes with the complete answer.
func (s *simulation) loadReportAfter(delay, duration time.Duration) time.Duration {
	if s.load.work.slots > 0 {
		return duration
	}
	return delay + loadReportDelay
}

// readPrompt makes an engine read a prompt after those that it already reads, and returns how long
// that takes.
func (s *simulation) readPrompt(u *traffic.Upstream, kind int, key uint64) time.Duration {
	k := s.load.work.kinds[kind]
	cost := k.ownReadTime
	if s.cached[u] == nil {
		s.cached[u] = map[uint64]bool{}
	}
	if !s.cached[u][key] {
		s.cached[u][key] = true
		s.reads++
		s.readTime += k.readTime
		cost += k.readTime
	}
	begin, now := s.readingUntil[u], s.upstreamNow(u)
	if begin.Before(now) {
		begin = now
	}
	s.readingUntil[u] = begin.Add(cost)
	return s.readingUntil[u].Sub(now)
}

func (s *simulation) countRequest(u *traffic.Upstream) {
	second := int(s.now.Sub(time.Unix(1_800_000_000, 0)) / time.Second)
	for len(s.placed) <= second {
		s.placed, s.over = append(s.placed, 0), append(s.over, 0)
	}
	s.placed[second]++
	if float64(s.running[u]) > loadMultiple*float64(s.poolRequests)/float64(len(s.engines))+loadSlack {
		s.over[second]++
	}
}
