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

// size is how large a deployment is and how much it is asked for.
type size struct {
	name     string
	hosts    int
	engines  int
	pools    int
	rate     float64
	duration time.Duration
	pause    time.Duration
	step     time.Duration
	multiple float64
}

// scenario is what happens to the deployment meanwhile.
type scenario struct {
	name     string
	surge    bool
	churn    bool
	disagree bool
	restart  bool
	domain   bool
}

// domains is how many failure domains hosts and engines stand in, by turns.
const domains = 4

// placer is one way to route.
type placer interface {
	// place sends a request on its way: it calls world.start, or refuses.
	place(r *request)
	// report is told when late load reports arrive.
	report(e *fakeEngine)
	// tick is called at the interval that intervals returns.
	tick()
	// intervals returns how often load reports arrive and tick is called.
	intervals() (report, tick time.Duration)
	// restart makes a host forget everything.
	restart(host int)
	// messages returns control messages and rows sent by all hosts.
	messages() (messages, rows int)
}

type world struct {
	clock
	size     size
	classes  []fakeClass
	engines  []*fakeEngine
	byHash   map[uint64]*fakeEngine
	views    [2]*routing.View
	placer   placer
	nextChat uint64
	surging  bool
	down     bool
	stats    stats
}

type stats struct {
	prefix, reused  int64
	skew            []float64
	load            []float64
	urgentTTFT      []time.Duration
	worth           float64
	offered         float64
	refused, served int
}

func models(s size) map[string]targets.Model {
	m := map[string]targets.Model{}
	for i := range s.pools {
		m[model(i)] = targets.Model{Kind: targets.Engine, LoadMultiple: s.multiple}
	}
	return m
}

func model(i int) string { return fmt.Sprintf("model-%02d", i) }

func newWorld(s size, classes []fakeClass, build func(*world) placer) *world {
	w := &world{clock: clock{rand: rand.New(rand.NewPCG(1, 2))}, size: s, classes: classes, byHash: map[uint64]*fakeEngine{}}
	for i := range s.engines {
		h := w.engineHost(i, roster.Live)
		e := newFakeEngine(routing.NewUpstream(h), i%s.pools)
		w.engines = append(w.engines, e)
		w.byHash[e.up.Hash()] = e
	}
	v := w.view(s.hosts)
	w.views = [2]*routing.View{v, v}
	w.placer = build(w)
	return w
}

func (w *world) engineHost(i int, state roster.State) roster.Host {
	return roster.Host{
		Name: fmt.Sprintf("engine-%03d", i), Role: roster.Upstream, State: state, FailureDomain: fmt.Sprintf("r/%d", i%4),
		Models: []string{model(i % w.size.pools)}, Capacity: engineCapacity,
	}
}

// view returns the view of the engines alive and the first n entry hosts.
func (w *world) view(n int) *routing.View {
	var hosts []roster.Host
	for i, e := range w.engines {
		if e.alive {
			hosts = append(hosts, w.engineHost(i, roster.Live))
		}
	}
	for i := range n {
		if w.hostDown(i) {
			continue
		}
		hosts = append(hosts, roster.Host{Name: fmt.Sprintf("entry-%03d", i), Role: roster.EntryHost, State: roster.Live, FailureDomain: fmt.Sprintf("r/%d", i%4)})
	}
	return routing.NewView(routing.ViewInput{Region: "r", Document: targets.Document{Models: models(w.size)}, Hosts: hosts})
}

// viewOf returns the view of a host: while lists disagree, odd hosts hold the older one.
func (w *world) viewOf(host int) *routing.View {
	return w.views[host%2]
}

func (w *world) pool(host, pool int) *routing.Pool {
	p, _ := w.viewOf(host).Pool(model(pool))
	return p
}

// run plays a scenario and returns its figures.
func (w *world) run(sc scenario) *stats {
	total := 0.0
	for i := range w.classes {
		total += w.classes[i].rate
	}
	fresh := w.size.rate * (1 - returnShare)
	for i := range w.classes {
		c := &w.classes[i]
		w.arrivals(c, fresh*c.rate/total)
	}
	w.every(sampleEvery, w.sample)
	report, tick := w.placer.intervals()
	w.every(tick, w.placer.tick)
	w.every(report, w.reports)
	w.schedule(sc)
	w.clock.run(w.size.duration)
	return &w.stats
}

func (w *world) schedule(sc scenario) {
	third := w.size.duration / warmUpShare
	if sc.surge {
		w.after(third, func() { w.surging = true })
		w.after(2*third, func() { w.surging = false })
	}
	if sc.churn {
		// One engine in twenty leaves or joins again at a time, lists lag by 3 s on half the hosts.
		n := max(1, w.size.engines/20)
		for k := range 6 {
			w.after(third+time.Duration(k)*third/6, func() { w.flip(k/2*n, n, k%2 == 1) })
		}
	}
	if sc.domain {
		w.after(third, w.loseDomain)
	}
	if sc.disagree {
		w.after(third, func() { w.views[1] = w.view(w.size.hosts - max(1, w.size.hosts/9)) })
		w.after(third+5*time.Second, func() { w.views[1] = w.views[0] })
	}
	if sc.restart {
		w.after(third, func() {
			for h := 0; h < w.size.hosts; h += 2 {
				w.placer.restart(h)
			}
		})
	}
}

// hostDown reports whether an entry host stood in the failure domain that is lost.
func (w *world) hostDown(host int) bool {
	return w.down && host%domains == 0
}

// loseDomain ends the hosts and engines of a failure domain at once; lists learn it 2 s and 5 s later.
func (w *world) loseDomain() {
	w.down = true
	for i := 0; i < len(w.engines); i += domains {
		w.engines[i].alive, w.engines[i].dead = false, true
	}
	w.after(2*time.Second, func() { w.views[0] = w.view(w.size.hosts) })
	w.after(5*time.Second, func() { w.views[1] = w.views[0] })
}

// flip takes engines out of service or back; odd hosts learn it 3 s late.
func (w *world) flip(from, n int, alive bool) {
	for _, e := range w.engines[from : from+n] {
		e.alive = alive
		e.clear()
	}
	w.views[0] = w.view(w.size.hosts)
	w.after(3*time.Second, func() { w.views[1] = w.views[0] })
}

func (w *world) every(d time.Duration, do func()) {
	w.after(d, func() {
		do()
		w.every(d, do)
	})
}

// arrivals lets new chats of a class come, more of the surging workspaces during a surge.
func (w *world) arrivals(c *fakeClass, rate float64) {
	factor := 1.0
	if w.surging && c.urgency > 0 {
		// Three of ten workspaces send ten times as much.
		factor = 0.7 + 0.3*surgeFactor
	}
	w.after(w.exp(time.Duration(float64(time.Second)/(rate*factor))), func() {
		w.nextChat++
		ws := w.rand.IntN(10)
		if w.surging && c.urgency > 0 && w.rand.Float64() < 0.3*surgeFactor/factor {
			ws = w.rand.IntN(surgeWorkspaces)
		}
		chat := w.nextChat * 0x9e3779b97f4a7c15
		w.arrive(&request{
			chat: chat, class: c, ws: ws, pool: int(chat>>32) % w.size.pools,
			prompt: w.lognormal(c.prompt, 0.7), out: w.output(c),
		})
		w.arrivals(c, rate)
	})
}

func (w *world) arrive(r *request) {
	r.at, r.host = w.now, w.rand.IntN(w.size.hosts)
	for w.hostDown(r.host) {
		// The balancer sends callers to the hosts that are left.
		r.host = w.rand.IntN(w.size.hosts)
	}
	if w.warm() {
		w.stats.offered += r.class.worth
	}
	w.placer.place(r)
}

func (w *world) warm() bool {
	return w.now >= w.size.duration/warmUpShare
}

func (w *world) reports() {
	for _, e := range w.engines {
		e.reported = e.tokens
		w.placer.report(e)
	}
}

func (w *world) sample() {
	if !w.warm() {
		return
	}
	worst := 0.0
	for p := range w.size.pools {
		sum, top, n := int64(0), int64(0), 0
		for i := p; i < len(w.engines); i += w.size.pools {
			if e := w.engines[i]; e.alive {
				sum += e.tokens
				top = max(top, e.tokens)
				n++
			}
		}
		if sum > 0 {
			w.stats.load = append(w.stats.load, float64(sum)/float64(n)/engineCapacity)
			worst = max(worst, float64(top)*float64(n)/float64(sum))
		}
	}
	w.stats.skew = append(w.stats.skew, worst)
}

// start runs a request on an engine; r.release is called when it ends.
func (w *world) start(e *fakeEngine, r *request) {
	size := r.prompt + r.out
	if e.tokens > 0 && e.tokens+size > engineCapacity {
		e.waiting = append(e.waiting, r)
		slices.SortStableFunc(e.waiting, func(a, b *request) int { return a.class.urgency - b.class.urgency })
		return
	}
	hit, _ := e.cache.Get(r.chat)
	hit = min(hit, r.prefix)
	if r.prefix > 0 && w.warm() {
		w.stats.prefix += r.prefix
		w.stats.reused += hit
	}
	e.tokens += size
	e.running++
	step := w.step(e)
	first := e.compute(w.now, r.class.urgency, r.prompt-hit) - w.now + step + r.surplus
	w.begun(r, w.now-r.at+first)
	w.after(first+time.Duration(r.out)*step, func() { w.finish(e, r, size) })
}

// step is the time of one batch step of an engine.
func (w *world) step(e *fakeEngine) time.Duration {
	return w.size.step + time.Duration(e.running)*stepPerRequest
}

func (w *world) begun(r *request, ttft time.Duration) {
	if !w.warm() {
		return
	}
	if r.class.urgency == 0 {
		w.stats.urgentTTFT = append(w.stats.urgentTTFT, ttft)
	}
	if ttft <= r.class.begin {
		w.stats.worth += r.class.worth
	}
	w.stats.served++
}

func (w *world) finish(e *fakeEngine, r *request, size int64) {
	if e.dead {
		// Its answer broke off; the caller comes back with the next turn all the same.
		e.tokens, e.running = 0, 0
		w.comeBack(r, size)
		return
	}
	e.tokens -= size
	e.running--
	e.store(r.chat, size)
	if r.release != nil {
		r.release(w.now)
	}
	for len(e.waiting) > 0 && (e.tokens == 0 || e.tokens+e.waiting[0].prompt+e.waiting[0].out <= engineCapacity) {
		next := e.waiting[0]
		e.waiting = e.waiting[1:]
		w.start(e, next)
	}
	w.comeBack(r, size)
}

func (w *world) comeBack(r *request, size int64) {
	if w.rand.Float64() < returnShare {
		w.after(w.exp(w.size.pause), func() {
			w.arrive(&request{
				chat: r.chat, class: r.class, ws: r.ws, pool: r.pool, returns: true,
				prefix: size, prompt: size + turnExtraTokens, out: w.output(r.class),
			})
		})
	}
}

func (w *world) refuse(r *request) {
	if w.warm() {
		w.stats.refused++
		if r.class.urgency == 0 {
			w.stats.urgentTTFT = append(w.stats.urgentTTFT, refusedPenalty)
		}
	}
}
