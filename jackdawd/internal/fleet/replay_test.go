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
	"jackdawhinge/jackdawd/internal/membership"
	"jackdawhinge/jackdawd/internal/placement"
	"jackdawhinge/jackdawd/internal/quarantine"
)

// replay is many hosts that place requests with prompts at engines, each by what it knows
// itself and what it is told along the tree, over one clock that the test advances.
type replay struct {
	load   replayLoad
	now    time.Time
	random *rand.Rand
	hosts  []*replayHost
	byName map[string]*replayHost
	// byDepth has the lowest hosts first.
	byDepth  []*replayHost
	engines  []*traffic.Upstream
	running  map[*traffic.Upstream]int
	lost     map[*traffic.Upstream]bool
	inPool   int
	events   eventQueue
	sequence int
	// placed and over count the requests of each second, and those that reached an engine over the multiple.
	placed, over []int
	reads        int
	// readFor is how long engines read prompts that others share.
	readFor time.Duration
	cached  map[*traffic.Upstream]map[uint64]bool
	// oldestPlan is the age of the oldest plan that a request was placed by once all hosts had one.
	oldestPlan time.Duration
	// places is until when each place of a plain service's upstream is taken.
	places map[*traffic.Upstream][]time.Time
	// reading is until when an engine reads prompts.
	reading map[*traffic.Upstream]time.Time
}

// replayHost is one host without its network.
type replayHost struct {
	source *Source
	// engines are those that the host knows.
	engines []*traffic.Upstream
	// args are what the host told the one above when it called, which has not answered yet.
	args   *ExchangeArgs
	called time.Time
	loads  *placement.Loads
	plans  *placement.Balancer
	// turnovers are those that the host sees.
	turnovers *placement.Turnovers
}

// noBeliefs knows nothing and holds nothing against upstreams.
type noBeliefs struct{}

func (noBeliefs) Changes() *membership.Changes  { return nil }
func (noBeliefs) Age() time.Duration            { return unknownAge }
func (noBeliefs) Scores() map[uint32]float64    { return nil }
func (noBeliefs) TakeScores(map[uint32]float64) {}

// replayLoad is the load that is replayed.
type replayLoad struct {
	hosts, engines int
	// work is what the engines do; letters if nothing is said.
	work replayWork
	// rate is how many requests come in a second.
	rate float64
	// hot is the share of the requests that ask for one prompt from hotFrom on.
	hot     float64
	hotFrom time.Duration
	// surge multiplies the rate between two moments.
	surge                float64
	surgeFrom, surgeTill time.Duration
	// together is the share of the requests that come to hosts of one failure domain, beside its own part.
	together float64
	// added is the kind that the surge adds; nil for all kinds as usual.
	added *int
	// lost is how many engines are lost at a moment, with what they have.
	lost   int
	lostAt time.Duration
	// replaced is how many engines are replaced by empty ones, one each replacedEvery, from replacedFrom on.
	replaced      int
	replacedFrom  time.Duration
	replacedEvery time.Duration
	length        time.Duration
	// lag is how much later than usual hosts hear of plans.
	lag time.Duration
	// unplanned leaves hosts to what they know by themselves.
	unplanned bool
}

// replayKind is one kind of request.
type replayKind struct {
	// share is how often it comes, prompts how many prompts it has, tokens how many an answer has on average.
	share   float64
	prompts int
	tokens  float64
	// read is how long reading a prompt takes, own what each request has of its own, shared how many tokens the prompt has.
	read   time.Duration
	own    time.Duration
	shared int
}

// replayWork is what upstreams do.
type replayWork struct {
	kinds []replayKind
	// step is how long an engine takes for a token, stepPerRequest how much longer for each request.
	step, stepPerRequest time.Duration
	// uneven is the standard deviation of the logarithm of an answer's length.
	uneven float64
	// slots is how many requests an upstream of a plain service works on at once; 0 for engines.
	slots int
}

// letters are long digests, short sorting and tags; articles are checks of long texts, headlines and long captions;
// documents are fetched from a plain service.
var (
	letters = replayWork{
		kinds: []replayKind{
			{0.23, 182, 384, 110 * time.Millisecond, 14 * time.Millisecond, 10512},
			{0.32, 568, 294, 8 * time.Millisecond, 2 * time.Millisecond, 699},
			{0.45, 356, 24, 22 * time.Millisecond, 4 * time.Millisecond, 2041},
		},
		step: 3030 * time.Microsecond, stepPerRequest: 121 * time.Microsecond,
	}
	articles = replayWork{
		kinds: []replayKind{
			{0.34, 506, 52, 174 * time.Millisecond, 12 * time.Millisecond, 8620},
			{0.4, 586, 23, 41 * time.Millisecond, 7 * time.Millisecond, 2041},
			{0.26, 380, 280, 12 * time.Millisecond, 2 * time.Millisecond, 603},
		},
		step: 5180 * time.Microsecond, stepPerRequest: 37 * time.Microsecond, uneven: 0.8,
	}
	documents = replayWork{
		kinds: []replayKind{{share: 1, prompts: 1, tokens: 1}},
		step:  60 * time.Millisecond, uneven: 0.5, slots: 6,
	}
)

const (
	// answersLater is how long after it has read the prompt an engine tells its load.
	answersLater   = 60 * time.Millisecond
	replayMultiple = 2
	replaySlack    = 3
	calmWindow     = 5
	mostOver       = 0.03
	hotPrompt      = 0xf00d
	replayPool     = "reader"
	replayDomains  = 6
	// gatherTravel is how long what the lowest hosts know takes to the first one.
	gatherTravel = 100 * time.Millisecond
	// listRead is how often each of the region's two readers reads which engines there are.
	listRead = 750 * time.Millisecond
	// replayTravel is how long a plan takes from the first host to the last.
	replayTravel = 20 * time.Millisecond
)

// event is something that happens at a moment.
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

func newReplay(load replayLoad, seed uint64) *replay {
	logrus.SetOutput(io.Discard)
	if load.work.kinds == nil {
		load.work = letters
	}
	r := &replay{
		load: load, now: time.Unix(1_800_000_000, 0), random: rand.New(rand.NewPCG(seed, 1)), byName: map[string]*replayHost{},
		running: map[*traffic.Upstream]int{}, lost: map[*traffic.Upstream]bool{}, reading: map[*traffic.Upstream]time.Time{}, places: map[*traffic.Upstream][]time.Time{}, cached: map[*traffic.Upstream]map[uint64]bool{},
	}
	for i := range load.engines {
		r.engines = append(r.engines, replayEngine(i))
	}
	notices := map[string][]byte{}
	for i := range load.hosts {
		name := fmt.Sprintf("entry-%d", i)
		text, _ := json.Marshal(Registration{Address: name, FailureDomain: fmt.Sprintf("domain-%d", i%replayDomains), Region: "north", Secret: name, Strength: 1})
		notices[name] = text
	}
	for i := range load.hosts {
		name := fmt.Sprintf("entry-%d", i)
		h := &replayHost{loads: placement.NewLoads(), turnovers: placement.NewTurnovers(), engines: slices.Clone(r.engines)}
		h.plans = placement.NewBalancer(h.loads, func() map[string][]*traffic.Upstream { return map[string][]*traffic.Upstream{replayPool: h.engines} }, func() float64 { return replayMultiple })
		h.source = NewSource(Options{
			Name: name, Address: name, FailureDomain: fmt.Sprintf("domain-%d", i%replayDomains), Region: "north", Strength: 1, Plans: h.plans, Quarantine: quarantine.NewRegistry(),
			Uptime: func() time.Duration { return r.now.Sub(time.Unix(0, 0)) },
		})
		h.source.directory.self.Secret = name
		h.source.state = noBeliefs{}
		h.source.directory.Update(notices, true, readTo(2))
		r.hosts = append(r.hosts, h)
		r.byName[name] = h
	}
	return r
}

func replayEngine(i int) *traffic.Upstream {
	id := fmt.Sprintf("engine-%d", i)
	return &traffic.Upstream{ID: id, Hash: traffic.HashOf(id), Pool: replayPool, FailureDomain: fmt.Sprintf("domain-%d", i%replayDomains), Slots: 48}
}

func (r *replay) after(d time.Duration, do func()) {
	r.sequence++
	heap.Push(&r.events, event{at: r.now.Add(d), sequence: r.sequence, do: do})
}

// run plays the load and returns the largest share of requests over the multiple in any calmWindow.
func (r *replay) run() float64 {
	begin := r.now
	r.byDepth = slices.SortedFunc(slices.Values(r.hosts), func(a, b *replayHost) int { return cmp.Compare(r.depth(b), r.depth(a)) })
	for i := range r.load.replaced {
		r.after(r.load.replacedFrom+time.Duration(i)*r.load.replacedEvery, func() {
			r.engines[i*3%len(r.engines)] = replayEngine(1000 + i)
		})
	}
	if r.load.lost > 0 {
		r.after(r.load.lostAt, r.loseEngines)
	}
	for reader := range maxReaders {
		r.after(time.Duration(reader)*listRead/maxReaders, func() { r.readList(reader) })
	}
	r.after(0, r.tellPlan)
	r.after(2*time.Second, r.arrive)
	for len(r.events) > 0 {
		e := heap.Pop(&r.events).(event)
		if e.at.Sub(begin) > r.load.length {
			break
		}
		r.now = e.at
		e.do()
	}
	return r.worst()
}

// worst returns the largest share of a window's requests that reached an engine over the multiple.
func (r *replay) worst() float64 {
	worst := 0.0
	for end := calmWindow; end <= len(r.placed); end++ {
		placed, over := 0, 0
		for s := end - calmWindow; s < end; s++ {
			placed, over = placed+r.placed[s], over+r.over[s]
		}
		if over >= 20 {
			worst = max(worst, float64(over)/float64(placed))
		}
	}
	return worst
}

// tellPlan lets the region's first host draw a plan, which all others hear at once; they tell
// the hosts above what they know when they ask again, the lowest first.
func (r *replay) tellPlan() {
	first := r.byDepth[len(r.byDepth)-1]
	r.draw(first)
	r.after(gatherTravel, func() {
		for _, h := range r.byDepth {
			if parent, ok := h.source.directory.ExchangeParent(r.now); ok {
				args := h.source.exchangeArgs(r.now, parent)
				r.byName[parent.Name].source.subtree.record(r.now, &args)
				h.args, h.called = &args, r.now
			}
		}
		if first.plans.Rising(first.source.inProgress(r.now)) {
			r.draw(first)
		}
	})
	r.after(planInterval, r.tellPlan)
}

// draw lets the region's first host draw a plan, which the others hear a little later.
func (r *replay) draw(first *replayHost) {
	if r.load.unplanned {
		return
	}
	first.source.computePlan(r.now)
	if r.load.lag > 0 {
		plan, at := first.plans.Plan(r.now)
		r.after(replayTravel+r.load.lag, func() {
			for _, h := range r.hosts {
				h.plans.Take(plan, at)
			}
		})
		return
	}
	r.after(replayTravel, func() {
		for _, h := range slices.Backward(r.byDepth) {
			r.answer(h)
		}
	})
}

// answer lets the host above answer a host that has called, if it has a plan to tell.
func (r *replay) answer(h *replayHost) {
	parent, ok := h.source.directory.ExchangeParent(r.now)
	if !ok || h.args == nil {
		return
	}
	above := r.byName[parent.Name].source
	if !above.hasPlanFor(r.now, h.called, h.args) {
		return
	}
	reply := above.exchangeReply(r.now, h.called, h.args)
	h.source.applyExchange(r.now, &reply)
	h.args = nil
}

// loseEngines takes engines away with what they have; hosts hear of it when the list is read.
func (r *replay) loseEngines() {
	for _, u := range r.engines[:r.load.lost] {
		r.inPool -= r.running[u]
		r.lost[u] = true
	}
	r.engines = slices.Clone(r.engines[r.load.lost:])
}

// readList lets a reader read which engines there are, and tell the hosts that follow it.
func (r *replay) readList(reader int) {
	for i, h := range r.hosts {
		if i%maxReaders == reader {
			h.engines = slices.Clone(r.engines)
		}
	}
	r.after(listRead, func() { r.readList(reader) })
}

// depth returns how many hosts are above one.
func (r *replay) depth(h *replayHost) int {
	parent, ok := h.source.directory.ExchangeParent(r.now)
	if !ok {
		return 0
	}
	return 1 + r.depth(r.byName[parent.Name])
}

// arrive lets a request come to a host and the next one after it.
func (r *replay) arrive() {
	since := r.now.Sub(time.Unix(1_800_000_000, 0))
	rate, surges := r.load.rate, r.load.surge > 0 && since >= r.load.surgeFrom && since < r.load.surgeTill
	if surges {
		rate *= r.load.surge
	}
	r.after(time.Duration(r.random.ExpFloat64()/rate*float64(time.Second)), r.arrive)
	kind := r.pick()
	if surges && r.load.added != nil && r.random.Float64() > 1/r.load.surge {
		kind = *r.load.added
	}
	key := xxhash.Sum64String(fmt.Sprint(kind, "/", int(float64(r.load.work.kinds[kind].prompts)*math.Pow(r.random.Float64(), 1.4))))
	if r.load.hot > 0 && since >= r.load.hotFrom && r.random.Float64() < r.load.hot {
		kind, key = 1, hotPrompt
	}
	r.place(r.callers(), kind, key)
}

// callers returns the host that the next request comes to.
func (r *replay) callers() *replayHost {
	if r.load.together > 0 && r.random.Float64() < r.load.together {
		// Hosts of one failure domain are replayDomains apart.
		return r.hosts[r.random.IntN((len(r.hosts)+replayDomains-1)/replayDomains)*replayDomains]
	}
	return r.hosts[r.random.IntN(len(r.hosts))]
}

func (r *replay) pick() int {
	x := r.random.Float64()
	for kind, k := range r.load.work.kinds {
		if x -= k.share; x < 0 {
			return kind
		}
	}
	return len(r.load.work.kinds) - 1
}

// place sends a request from a host to an engine and ends it when it has been answered. One that is lost
// answers nothing; the host avoids it and sends the request to another.
func (r *replay) place(h *replayHost, kind int, key uint64) {
	spread := h.plans.Spread(r.now)
	if age, planned := spread.Age(r.now); planned {
		r.oldestPlan = max(r.oldestPlan, age)
	}
	u := placement.Choose(placement.Choice{
		Upstreams: h.engines, Loads: h.loads.All(r.now, h.engines), Key: key, Cached: r.load.work.slots == 0, FailureDomain: h.source.options.FailureDomain,
		Multiple: replayMultiple, Hosts: len(r.hosts), Tie: r.random.Uint64(), Spread: spread, Pool: replayPool, Outpaced: h.turnovers.Outpaced(r.now, replayPool),
		Lifetime: h.turnovers.InProgress(r.now, replayPool), SharedTokens: r.load.work.kinds[kind].shared, Duration: h.turnovers.Usually(fmt.Sprint(kind)),
	})
	if r.lost[u] {
		h.engines = slices.DeleteFunc(slices.Clone(h.engines), func(e *traffic.Upstream) bool { return e == u })
		r.place(h, kind, key)
		return
	}
	h.loads.Begin(r.now, u)
	h.plans.Begin(key)
	h.turnovers.Began(r.now, replayPool)
	r.running[u]++
	r.inPool++
	r.count(u)
	begins := r.begins(u, kind, key)
	took := begins + r.answers(u, kind)
	if places := r.places[u]; places != nil {
		places[0] = r.now.Add(took)
	}
	r.after(r.toldAfter(begins, took), func() { h.loads.Told(r.now, u, traffic.Load{Running: r.running[u], Slots: u.Slots}) })
	r.after(took, func() {
		h.loads.End(r.now, u)
		h.plans.End(key)
		h.turnovers.Ended(r.now, replayPool, fmt.Sprint(kind), took)
		if !r.lost[u] {
			r.running[u]--
			r.inPool--
		}
	})
}

// begins returns when an upstream begins with the answer to a request.
func (r *replay) begins(u *traffic.Upstream, kind int, key uint64) time.Duration {
	if r.load.work.slots == 0 {
		return r.read(u, kind, key)
	}
	places := r.places[u]
	if places == nil {
		places = make([]time.Time, r.load.work.slots)
		r.places[u] = places
	}
	slices.SortFunc(places, time.Time.Compare)
	return max(places[0].Sub(r.now), 0)
}

// answers returns how long an answer takes from when the upstream begins with it.
func (r *replay) answers(u *traffic.Upstream, kind int) time.Duration {
	work := r.load.work
	tokens := work.kinds[kind].tokens
	if work.uneven > 0 {
		tokens *= math.Exp(work.uneven*r.random.NormFloat64() - work.uneven*work.uneven/2)
	}
	return time.Duration(tokens * float64(work.step+time.Duration(r.running[u])*work.stepPerRequest))
}

// toldAfter returns when an answer's head tells the upstream's load: a plain service's has all of the answer with it.
func (r *replay) toldAfter(begins, took time.Duration) time.Duration {
	if r.load.work.slots > 0 {
		return took
	}
	return begins + answersLater
}

// read lets an engine read a prompt after those that it reads already, and returns when it has.
func (r *replay) read(u *traffic.Upstream, kind int, key uint64) time.Duration {
	k := r.load.work.kinds[kind]
	takes := k.own
	if r.cached[u] == nil {
		r.cached[u] = map[uint64]bool{}
	}
	if !r.cached[u][key] {
		r.cached[u][key] = true
		r.reads++
		r.readFor += k.read
		takes += k.read
	}
	begin := r.reading[u]
	if begin.Before(r.now) {
		begin = r.now
	}
	r.reading[u] = begin.Add(takes)
	return r.reading[u].Sub(r.now)
}

func (r *replay) count(u *traffic.Upstream) {
	second := int(r.now.Sub(time.Unix(1_800_000_000, 0)) / time.Second)
	for len(r.placed) <= second {
		r.placed, r.over = append(r.placed, 0), append(r.over, 0)
	}
	r.placed[second]++
	if float64(r.running[u]) > replayMultiple*float64(r.inPool)/float64(len(r.engines))+replaySlack {
		r.over[second]++
	}
}
