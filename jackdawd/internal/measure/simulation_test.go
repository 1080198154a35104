package measure

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"jackdawhinge/common/roster"
	"jackdawhinge/common/targets"
	"jackdawhinge/jackdawd/internal/routing"
)

// deployment is the size of a fleet and the rate and timing of its requests.
type deployment struct {
	name          string
	hosts         int
	engines       int
	pools         int
	requestRate   float64
	duration      time.Duration
	meanThinkTime time.Duration
	stepTime      time.Duration
	loadMultiple  float64
}

// scenario is the set of faults and surges during a run.
type scenario struct {
	name         string
	surge        bool
	churn        bool
	staleViews   bool
	restartHosts bool
	domainLoss   bool
}

// failureDomains is the number of failure domains; hosts and engines are assigned to them
// round-robin.
const failureDomains = 4

// policy is a routing policy.
type policy interface {
	// route routes a request: it calls simulation.start or simulation.refuse, at once or later.
	route(r *request)
	// onLoadReport is called when the delayed load report of an engine arrives.
	onLoadReport(e *fakeEngine)
	// tick is called at an interval that intervals returns.
	tick()
	// intervals returns the intervals of load reports and of tick.
	intervals() (report, tick time.Duration)
	// restart drops the state of a host.
	restart(host int)
	// controlTraffic returns the numbers of control messages and rows that all hosts have sent.
	controlTraffic() (messages, rows int)
}

type simulation struct {
	clock
	deployment   deployment
	classes      []fakeClass
	engines      []*fakeEngine
	engineByHash map[uint64]*fakeEngine
	views        [2]*routing.View
	policy       policy
	chatCount    uint64
	inSurge      bool
	domainDown   bool
	stats        stats
}

type stats struct {
	prefixTokens, reusedTokens int64
	loadSkew                   []float64
	load                       []float64
	urgentTTFTs                []time.Duration
	worth                      float64
	offeredWorth               float64
	refused, served            int
}

func modelTargets(d deployment) map[string]targets.Model {
	m := map[string]targets.Model{}
	for i := range d.pools {
		m[modelName(i)] = targets.Model{Kind: targets.Engine, LoadMultiple: d.loadMultiple}
	}
	return m
}

func modelName(i int) string { return fmt.Sprintf("model-%02d", i) }

func newSimulation(d deployment, classes []fakeClass, build func(*simulation) policy) *simulation {
	s := &simulation{clock: clock{rand: rand.New(rand.NewPCG(1, 2))}, deployment: d, classes: classes, engineByHash: map[uint64]*fakeEngine{}}
	for i := range d.engines {
		h := s.engineHost(i, roster.Live)
		e := newFakeEngine(routing.NewUpstream(h), i%d.pools)
		s.engines = append(s.engines, e)
		s.engineByHash[e.upstream.Hash()] = e
	}
	v := s.view(d.hosts)
	s.views = [2]*routing.View{v, v}
	s.policy = build(s)
	return s
}

func (s *simulation) engineHost(i int, state roster.State) roster.Host {
	return roster.Host{
		Name: fmt.Sprintf("engine-%03d", i), Role: roster.Upstream, State: state, FailureDomain: fmt.Sprintf("r/%d", i%4),
		Models: []string{modelName(i % s.deployment.pools)}, CapacityTokens: engineCapacity,
	}
}

// view returns a view of the engines that are alive and the first entry hosts.
func (s *simulation) view(hostCount int) *routing.View {
	var hosts []roster.Host
	for i, e := range s.engines {
		if e.alive {
			hosts = append(hosts, s.engineHost(i, roster.Live))
		}
	}
	for i := range hostCount {
		if s.hostDown(i) {
			continue
		}
		hosts = append(hosts, roster.Host{Name: fmt.Sprintf("entry-%03d", i), Role: roster.EntryHost, State: roster.Live, FailureDomain: fmt.Sprintf("r/%d", i%4)})
	}
	return routing.NewView(routing.ViewInput{Region: "r", Document: targets.Document{Models: modelTargets(s.deployment)}, Hosts: hosts})
}

// viewForHost returns the view of a host; odd hosts may have a stale one.
func (s *simulation) viewForHost(host int) *routing.View {
	return s.views[host%2]
}

func (s *simulation) pool(host, pool int) *routing.Pool {
	p, _ := s.viewForHost(host).Pool(modelName(pool))
	return p
}

// run simulates a scenario and returns its figures.
func (s *simulation) run(sc scenario) *stats {
	total := 0.0
	for i := range s.classes {
		total += s.classes[i].requestRatio
	}
	newChatRate := s.deployment.requestRate * (1 - returnRatio)
	for i := range s.classes {
		c := &s.classes[i]
		s.scheduleArrivals(c, newChatRate*c.requestRatio/total)
	}
	s.repeat(sampleInterval, s.sample)
	report, tick := s.policy.intervals()
	s.repeat(tick, s.policy.tick)
	s.repeat(report, s.deliverReports)
	s.scheduleFaults(sc)
	s.clock.run(s.deployment.duration)
	return &s.stats
}

func (s *simulation) scheduleFaults(sc scenario) {
	warmUp := s.deployment.duration / warmUpDivisor
	if sc.surge {
		s.after(warmUp, func() { s.inSurge = true })
		s.after(2*warmUp, func() { s.inSurge = false })
	}
	if sc.churn {
		// One engine in twenty leaves or rejoins at a time; host lists lag by 3 s on half the
		// hosts.
		n := max(1, s.deployment.engines/20)
		for k := range 6 {
			s.after(warmUp+time.Duration(k)*warmUp/6, func() { s.setAlive(k/2*n, n, k%2 == 1) })
		}
	}
	if sc.domainLoss {
		s.after(warmUp, s.failDomain)
	}
	if sc.staleViews {
		s.after(warmUp, func() { s.views[1] = s.view(s.deployment.hosts - max(1, s.deployment.hosts/9)) })
		s.after(warmUp+5*time.Second, func() { s.views[1] = s.views[0] })
	}
	if sc.restartHosts {
		s.after(warmUp, func() {
			for h := 0; h < s.deployment.hosts; h += 2 {
				s.policy.restart(h)
			}
		})
	}
}

// hostDown reports whether an entry host is in a failed failure domain.
func (s *simulation) hostDown(host int) bool {
	return s.domainDown && host%failureDomains == 0
}

// failDomain stops the hosts and engines of a failure domain; host lists show it 2 s later on even
// hosts and 5 s later on odd ones.
func (s *simulation) failDomain() {
	s.domainDown = true
	for i := 0; i < len(s.engines); i += failureDomains {
		s.engines[i].alive, s.engines[i].dead = false, true
	}
	s.after(2*time.Second, func() { s.views[0] = s.view(s.deployment.hosts) })
	s.after(5*time.Second, func() { s.views[1] = s.views[0] })
}

// setAlive takes engines out of service or back, with empty caches; odd hosts learn of it 3 s late.
func (s *simulation) setAlive(from, n int, alive bool) {
	for _, e := range s.engines[from : from+n] {
		e.alive = alive
		e.clear()
	}
	s.views[0] = s.view(s.deployment.hosts)
	s.after(3*time.Second, func() { s.views[1] = s.views[0] })
}

func (s *simulation) repeat(d time.Duration, fn func()) {
	s.after(d, func() {
		fn()
		s.repeat(d, fn)
	})
}

// scheduleArrivals schedules the new chats of a class, with more from the surging workspaces during
// a surge.
func (s *simulation) scheduleArrivals(c *fakeClass, rate float64) {
	factor := 1.0
	if s.inSurge && c.urgency > 0 {
		// Three of ten workspaces send ten times as many requests.
		factor = 0.7 + 0.3*surgeFactor
	}
	s.after(s.exponential(time.Duration(float64(time.Second)/(rate*factor))), func() {
		s.chatCount++
		workspace := s.rand.IntN(10)
		if s.inSurge && c.urgency > 0 && s.rand.Float64() < 0.3*surgeFactor/factor {
			workspace = s.rand.IntN(surgeWorkspaces)
		}
		chat := s.chatCount * 0x9e3779b97f4a7c15
		s.arrive(&request{
			chat: chat, class: c, workspace: workspace, pool: int(chat>>32) % s.deployment.pools,
			promptTokens: s.lognormal(c.meanPrompt, 0.7), outputTokens: s.output(c),
		})
		s.scheduleArrivals(c, rate)
	})
}

func (s *simulation) arrive(r *request) {
	r.arrivedAt, r.host = s.now, s.rand.IntN(s.deployment.hosts)
	for s.hostDown(r.host) {
		// The load balancer sends callers to the remaining hosts.
		r.host = s.rand.IntN(s.deployment.hosts)
	}
	if s.warmedUp() {
		s.stats.offeredWorth += r.class.worth
	}
	s.policy.route(r)
}

func (s *simulation) warmedUp() bool {
	return s.now >= s.deployment.duration/warmUpDivisor
}

func (s *simulation) deliverReports() {
	for _, e := range s.engines {
		e.reportedTokens = e.tokens
		s.policy.onLoadReport(e)
	}
}

func (s *simulation) sample() {
	if !s.warmedUp() {
		return
	}
	worstSkew := 0.0
	for p := range s.deployment.pools {
		sum, maxTokens, alive := int64(0), int64(0), 0
		for i := p; i < len(s.engines); i += s.deployment.pools {
			if e := s.engines[i]; e.alive {
				sum += e.tokens
				maxTokens = max(maxTokens, e.tokens)
				alive++
			}
		}
		if sum > 0 {
			s.stats.load = append(s.stats.load, float64(sum)/float64(alive)/engineCapacity)
			worstSkew = max(worstSkew, float64(maxTokens)*float64(alive)/float64(sum))
		}
	}
	s.stats.loadSkew = append(s.stats.loadSkew, worstSkew)
}

// start executes a request on an engine, or queues it there if the engine is full; r.release is
// called when it ends.
func (s *simulation) start(e *fakeEngine, r *request) {
	tokens := r.promptTokens + r.outputTokens
	if e.tokens > 0 && e.tokens+tokens > engineCapacity {
		e.waiting = append(e.waiting, r)
		slices.SortStableFunc(e.waiting, func(a, b *request) int { return a.class.urgency - b.class.urgency })
		return
	}
	hit, _ := e.cache.Get(r.chat)
	hit = min(hit, r.prefixTokens)
	if r.prefixTokens > 0 && s.warmedUp() {
		s.stats.prefixTokens += r.prefixTokens
		s.stats.reusedTokens += hit
	}
	e.tokens += tokens
	e.running++
	step := s.stepTime(e)
	first := e.prefillEnd(s.now, r.class.urgency, r.promptTokens-hit) - s.now + step + r.forwardDelay
	s.recordFirstToken(r, s.now-r.arrivedAt+first)
	s.after(first+time.Duration(r.outputTokens)*step, func() { s.finish(e, r, tokens) })
}

// stepTime returns the duration of one batch step of an engine.
func (s *simulation) stepTime(e *fakeEngine) time.Duration {
	return s.deployment.stepTime + time.Duration(e.running)*stepTimePerRequest
}

func (s *simulation) recordFirstToken(r *request, ttft time.Duration) {
	if !s.warmedUp() {
		return
	}
	if r.class.urgency == 0 {
		s.stats.urgentTTFTs = append(s.stats.urgentTTFTs, ttft)
	}
	if ttft <= r.class.firstTokenTarget {
		s.stats.worth += r.class.worth
	}
	s.stats.served++
}

func (s *simulation) finish(e *fakeEngine, r *request, tokens int64) {
	if e.dead {
		// The response is cut off; the caller sends its next turn all the same.
		e.tokens, e.running = 0, 0
		s.scheduleReturn(r, tokens)
		return
	}
	e.tokens -= tokens
	e.running--
	e.cachePrefix(r.chat, tokens)
	if r.release != nil {
		r.release(s.now)
	}
	for len(e.waiting) > 0 && (e.tokens == 0 || e.tokens+e.waiting[0].promptTokens+e.waiting[0].outputTokens <= engineCapacity) {
		next := e.waiting[0]
		e.waiting = e.waiting[1:]
		s.start(e, next)
	}
	s.scheduleReturn(r, tokens)
}

func (s *simulation) scheduleReturn(r *request, tokens int64) {
	if s.rand.Float64() < returnRatio {
		s.after(s.exponential(s.deployment.meanThinkTime), func() {
			s.arrive(&request{
				chat: r.chat, class: r.class, workspace: r.workspace, pool: r.pool, returning: true,
				prefixTokens: tokens, promptTokens: tokens + turnExtraTokens, outputTokens: s.output(r.class),
			})
		})
	}
}

func (s *simulation) refuse(r *request) {
	if s.warmedUp() {
		s.stats.refused++
		if r.class.urgency == 0 {
			s.stats.urgentTTFTs = append(s.stats.urgentTTFTs, refusedPenalty)
		}
	}
}
