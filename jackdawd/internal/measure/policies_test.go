package measure

import (
	"math/rand/v2"
	"slices"
	"time"

	"jackdawhinge/common/targets"
	"jackdawhinge/jackdawd/internal/queue"
	"jackdawhinge/jackdawd/internal/routing"
)

// localPolicy routes by a rule that needs no messages between hosts.
type localPolicy struct {
	*simulation
	choose     func(l *localPolicy, r *request, p *routing.Pool) *routing.Upstream
	nextIndex  []int
	sentTokens []map[uint64]int64
}

func newLocalPolicy(choose func(*localPolicy, *request, *routing.Pool) *routing.Upstream) func(*simulation) policy {
	return func(s *simulation) policy {
		l := &localPolicy{simulation: s, choose: choose, nextIndex: make([]int, s.deployment.hosts), sentTokens: make([]map[uint64]int64, s.deployment.hosts)}
		for h := range l.sentTokens {
			l.restart(h)
		}
		return l
	}
}

func (l *localPolicy) route(r *request) {
	p := l.pool(r.host, r.pool)
	e := l.engineByHash[l.choose(l, r, p).Hash()]
	if e.dead {
		l.refuse(r)
		return
	}
	l.sentTokens[r.host][e.upstream.Hash()] += r.promptTokens + r.outputTokens
	l.start(e, r)
}

func (l *localPolicy) onLoadReport(e *fakeEngine) {
	for h := range l.sentTokens {
		l.sentTokens[h][e.upstream.Hash()] = 0
	}
}
func (l *localPolicy) tick() {}
func (l *localPolicy) intervals() (report, tick time.Duration) {
	return max(minReportInterval, time.Duration(float64(l.deployment.engines*reportBytes)/reportBytesPerSecond*float64(time.Second))), time.Second
}
func (l *localPolicy) restart(h int)              { l.sentTokens[h] = map[uint64]int64{} }
func (l *localPolicy) controlTraffic() (int, int) { return 0, 0 }

func chooseRandom(l *localPolicy, _ *request, p *routing.Pool) *routing.Upstream {
	return p.Upstreams()[l.rand.IntN(len(p.Upstreams()))]
}

func chooseRoundRobin(l *localPolicy, r *request, p *routing.Pool) *routing.Upstream {
	l.nextIndex[r.host]++
	return p.Upstreams()[l.nextIndex[r.host]%len(p.Upstreams())]
}

func chooseRendezvous(_ *localPolicy, r *request, p *routing.Pool) *routing.Upstream {
	return p.Rank(r.chat)[0]
}

// chooseLeastLoaded compares upstreams by their reported load and what this host has sent since the
// report.
func chooseLeastLoaded(l *localPolicy, r *request, p *routing.Pool) *routing.Upstream {
	var best *routing.Upstream
	bestLoad := int64(0)
	start := l.rand.IntN(len(p.Upstreams()))
	for i := range p.Upstreams() {
		u := p.Upstreams()[(start+i)%len(p.Upstreams())]
		if load := l.engineByHash[u.Hash()].reportedTokens + l.sentTokens[r.host][u.Hash()]; best == nil || load < bestLoad {
			best, bestLoad = u, load
		}
	}
	return best
}

// chooseLocallyBounded, "alone-bounded" in benchmark names, bounds the load of upstreams as
// ownerPolicy does, but each host knows only the delayed load reports and what it has sent since.
func chooseLocallyBounded(l *localPolicy, r *request, p *routing.Pool) *routing.Upstream {
	sum := int64(0)
	load := func(u *routing.Upstream) int64 {
		return l.engineByHash[u.Hash()].reportedTokens + l.sentTokens[r.host][u.Hash()]
	}
	for _, u := range p.Upstreams() {
		sum += load(u)
	}
	cost := r.promptTokens + int64(r.class.meanOutput)
	limit := max(int64(targets.DefaultLoadMultiple*float64(sum+cost)/float64(len(p.Upstreams()))), cost)
	ranked := p.Rank(r.chat)
	for _, u := range ranked {
		if load(u)+cost <= limit {
			return u
		}
	}
	return chooseLeastLoaded(l, r, p)
}

// ownerPolicy, "owned" in benchmark names, is the policy of the daemon: the owner of an
// upstream tracks its load, with the real balancer and queue.
type ownerPolicy struct {
	*simulation
	quantile      float64
	balancers     []*routing.Balancer
	queues        []map[uint64]*ownerQueue
	outputLengths []*queue.LengthEstimator
	ticks         int
	exchanges     int
	rows          int
	waiters       map[*queue.Waiter]*request
	hostIndex     map[string]int
}

type ownerQueue struct {
	*queue.Scheduler
	limit *queue.Limit
}

func newOwnerPolicy(s *simulation) policy { return newOwnerPolicyWithQuantile(0)(s) }

// newOwnerPolicyWithQuantile returns an owner policy that estimates output lengths by a quantile,
// or by the mean if it is 0.
func newOwnerPolicyWithQuantile(quantile float64) func(*simulation) policy {
	return func(s *simulation) policy { return buildOwnerPolicy(s, quantile) }
}

func buildOwnerPolicy(s *simulation, quantile float64) *ownerPolicy {
	o := &ownerPolicy{simulation: s, quantile: quantile, waiters: map[*queue.Waiter]*request{}, hostIndex: map[string]int{}}
	o.balancers = make([]*routing.Balancer, s.deployment.hosts)
	o.queues = make([]map[uint64]*ownerQueue, s.deployment.hosts)
	o.outputLengths = make([]*queue.LengthEstimator, s.deployment.hosts)
	for i, h := range s.views[0].Hosts() {
		o.hostIndex[h.Name()] = i
	}
	for h := range s.deployment.hosts {
		o.restart(h)
	}
	return o
}

func (o *ownerPolicy) restart(h int) {
	o.balancers[h] = routing.NewBalancer(rand.NewPCG(uint64(h), 7))
	o.queues[h] = map[uint64]*ownerQueue{}
	o.outputLengths[h] = queue.NewLengthEstimator(o.quantile)
	o.updateOwnership(h)
}

func (o *ownerPolicy) updateOwnership(h int) {
	v := o.viewForHost(h)
	o.balancers[h].SetOwned(func(u *routing.Upstream) bool {
		owner, ok := v.Owner(u.Hash())
		return ok && o.hostIndex[owner.Name()] == h
	}, v.Pools())
}

func (o *ownerPolicy) route(r *request) {
	p := o.pool(r.host, r.pool)
	o.forward(r, p.Rank(r.chat)[0].Name())
}

// forward sends a request to the owner of an upstream and follows its moves, as the router
// does.
func (o *ownerPolicy) forward(r *request, name string) {
	for range 6 {
		p := o.pool(r.host, r.pool)
		u, ok := p.Find(name)
		if !ok {
			r.visitedRows = append(r.visitedRows, routing.LoadRow{Upstream: routing.NameHash(name), Gone: true})
			name = p.Rank(r.chat)[0].Name()
			continue
		}
		h := o.owner(r, u)
		if h != r.host {
			r.forwardDelay += forwardLatency
		}
		next := o.admit(h, r, name)
		if next == "" {
			return
		}
		name = next
		r.moveCount++
	}
	o.refuse(r)
}

// owner returns the host that owns an upstream, skipping hosts that refuse connections.
func (o *ownerPolicy) owner(r *request, u *routing.Upstream) int {
	var excluded []string
	for {
		owner, _ := o.viewForHost(r.host).Owner(u.Hash(), excluded...)
		h := o.hostIndex[owner.Name()]
		if !o.hostDown(h) {
			return h
		}
		excluded = append(excluded, owner.Name())
	}
}

// maxRetries bounds the retries of one request, as the router's attempt limit and retry budget do.
const maxRetries = 3

// startOnEngine starts a request on its engine; if the engine is down, the next candidate of the
// chat is tried.
func (o *ownerPolicy) startOnEngine(e *fakeEngine, r *request) {
	if !e.dead {
		o.start(e, r)
		return
	}
	r.release(o.now)
	r.failedUpstreams = append(r.failedUpstreams, e.upstream.Name())
	r.visitedRows = append(r.visitedRows, routing.LoadRow{Upstream: e.upstream.Hash(), Gone: true})
	r.moveCount = 1
	pool := o.pool(r.host, r.pool)
	for _, u := range append(pool.Rank(r.chat), pool.Upstreams()...) {
		if len(r.failedUpstreams) <= maxRetries && !slices.Contains(r.failedUpstreams, u.Name()) {
			o.after(0, func() { o.forward(r, u.Name()) })
			return
		}
	}
	o.refuse(r)
}

// admit decides on a request as the owner of its upstream; it returns the upstream that the request
// is moved to, or "".
func (o *ownerPolicy) admit(h int, r *request, name string) string {
	p := o.pool(h, r.pool)
	u, ok := p.Find(name)
	if !ok {
		return p.Rank(r.chat)[0].Name()
	}
	r.cost = r.promptTokens + o.outputLengths[h].Estimate(r.class.name, 0)
	o.balancers[h].Merge(o.time(), r.visitedRows)
	c := routing.Candidate{Chat: r.chat, Upstream: u, Cost: r.cost, Returning: r.returning, Urgency: urgencies[r.class.urgency], MoveCount: r.moveCount, VisitedRows: r.visitedRows}
	placement, to := o.balancers[h].Place(o.time(), p, c)
	if placement == routing.Moved {
		r.visitedRows = append(r.visitedRows, o.balancers[h].Row(u))
		return to.Name()
	}
	return o.enqueue(h, r, p, c, placement)
}

// enqueue puts a request into the queue of its upstream, as the owner does. It returns the upstream
// that the request is moved to, or "".
func (o *ownerPolicy) enqueue(h int, r *request, p *routing.Pool, c routing.Candidate, placement routing.Placement) string {
	q := o.queueFor(h, c.Upstream, r.pool)
	ticket := queue.Ticket{
		Workspace: string(rune('a' + r.workspace)), Class: r.class.name, Urgency: urgencies[r.class.urgency], Share: r.class.loadShare,
		Cost: r.cost, Returning: r.returning, BeginDeadline: time.Unix(epochSeconds, 0).Add(r.arrivedAt + r.class.firstTokenTarget),
	}
	if placement == routing.Linger {
		ticket.BeginDeadline = ticket.LingerDeadline(o.time())
	}
	onExpired := func() string {
		if placement == routing.Linger {
			if placement, to := o.balancers[h].Move(o.time(), p, c); placement == routing.Moved {
				r.visitedRows = append(r.visitedRows, o.balancers[h].Row(c.Upstream))
				return to.Name()
			}
			return o.enqueue(h, r, p, c, routing.Wait)
		}
		o.refuse(r)
		return ""
	}
	w, err := q.Enqueue(o.time(), ticket)
	if err != nil {
		return onExpired()
	}
	r.release = func(time.Duration) {
		q.Release(o.time(), w.Ticket)
		o.outputLengths[h].Observe(r.class.name, int(r.outputTokens))
		q.limit.Observe(o.time(), o.stepTime(o.engineByHash[c.Upstream.Hash()]))
	}
	if w.Admitted() {
		o.startOnEngine(o.engineByHash[c.Upstream.Hash()], r)
		return ""
	}
	o.waiters[w] = r
	o.after(ticket.BeginDeadline.Sub(o.time()), func() {
		if _, waiting := o.waiters[w]; waiting && q.Remove(w) {
			delete(o.waiters, w)
			if next := onExpired(); next != "" {
				r.moveCount++
				o.forward(r, next)
			}
		}
	})
	return ""
}

// maxRowsPerExchange is the maximum number of rows that a host sends in an exchange.
const maxRowsPerExchange = 12

var urgencies = []targets.Urgency{targets.Urgent, targets.Normal, targets.Batch}

type balancerLoadCounter struct {
	policy   *ownerPolicy
	host     int
	pool     int
	upstream *routing.Upstream
}

func (c balancerLoadCounter) Fits(cost int64, urgency targets.Urgency) bool {
	return c.policy.balancers[c.host].Fits(c.policy.time(), c.policy.pool(c.host, c.pool), c.upstream, cost, urgency)
}
func (c balancerLoadCounter) Start(cost int64)  { c.policy.balancers[c.host].Start(c.upstream, cost) }
func (c balancerLoadCounter) Finish(cost int64) { c.policy.balancers[c.host].Finish(c.upstream, cost) }

func (o *ownerPolicy) queueFor(h int, u *routing.Upstream, pool int) *ownerQueue {
	q, ok := o.queues[h][u.Hash()]
	if !ok {
		limit := queue.NewLimit(engineCapacity)
		q = &ownerQueue{limit: limit}
		q.Scheduler = queue.NewScheduler(limit, balancerLoadCounter{o, h, pool, u}, func(w *queue.Waiter) {
			r, ok := o.waiters[w]
			if ok {
				delete(o.waiters, w)
				o.startOnEngine(o.engineByHash[u.Hash()], r)
			}
		})
		o.queues[h][u.Hash()] = q
	}
	return q
}

func (o *ownerPolicy) onLoadReport(e *fakeEngine) {
	for h := range o.deployment.hosts {
		if owner, ok := o.viewForHost(h).Owner(e.upstream.Hash()); ok && o.hostIndex[owner.Name()] == h {
			o.balancers[h].ReportResident(e.upstream, e.reportedTokens)
		}
	}
}

func (o *ownerPolicy) intervals() (report, tick time.Duration) {
	return 2 * time.Second, 500 * time.Millisecond
}

// tick exchanges rows as hosts do: each host with one other owner of one of its pools.
func (o *ownerPolicy) tick() {
	o.ticks++
	for h := range o.deployment.hosts {
		if o.hostDown(h) {
			continue
		}
		v := o.viewForHost(h)
		o.updateOwnership(h)
		var pools []int
		for p := range o.deployment.pools {
			for _, u := range o.pool(h, p).Upstreams() {
				if owner, _ := v.Owner(u.Hash()); o.hostIndex[owner.Name()] == h {
					pools = append(pools, p)
					break
				}
			}
		}
		for _, q := range o.queues[h] {
			q.AdmitReady()
		}
		if len(pools) == 0 {
			continue
		}
		p := o.pool(h, pools[o.ticks%len(pools)])
		other, _ := v.Owner(p.Upstreams()[o.rand.IntN(len(p.Upstreams()))].Hash())
		if peer := o.hostIndex[other.Name()]; peer != h && !o.hostDown(peer) {
			ownRows, peerRows := o.balancers[h].Rows(o.time(), p, maxRowsPerExchange), o.balancers[peer].Rows(o.time(), p, maxRowsPerExchange)
			o.balancers[h].Merge(o.time(), peerRows)
			o.balancers[peer].Merge(o.time(), ownRows)
			o.exchanges++
			o.rows += len(ownRows) + len(peerRows)
		}
	}
}

func (o *ownerPolicy) controlTraffic() (int, int) { return 2 * o.exchanges, o.rows }
