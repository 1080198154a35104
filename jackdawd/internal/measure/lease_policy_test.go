package measure

import (
	"time"

	"jackdawhinge/common/targets"
	"jackdawhinge/jackdawd/internal/routing"
)

// minLeaseTokens is the number of tokens that an owner leases at a time, or more for a larger
// request.
const minLeaseTokens = 8000

// leasePolicy, "credits" in benchmark names, routes by leases: owners of upstreams lease blocks
// of tokens to entry hosts, which then route without asking. The simulation favors it, as owners
// know the mean load exactly.
type leasePolicy struct {
	*simulation
	leased       map[uint64]int64
	balances     []map[uint64]int64
	sentMessages int
}

func newLeasePolicy(s *simulation) policy {
	l := &leasePolicy{simulation: s, leased: map[uint64]int64{}, balances: make([]map[uint64]int64, s.deployment.hosts)}
	for h := range l.balances {
		l.balances[h] = map[uint64]int64{}
	}
	return l
}

func (l *leasePolicy) route(r *request) {
	p := l.pool(r.host, r.pool)
	r.cost = r.promptTokens + int64(r.class.meanOutput)
	ranked := p.Rank(r.chat)
	for _, u := range ranked {
		if l.acquireLease(r, p, u) {
			l.startOnEngine(r, u)
			return
		}
	}
	l.startOnEngine(r, ranked[0])
}

func (l *leasePolicy) acquireLease(r *request, p *routing.Pool, u *routing.Upstream) bool {
	balances := l.balances[r.host]
	if balances[u.Hash()] >= r.cost {
		return true
	}
	l.sentMessages += 2
	total := int64(0)
	for _, other := range p.Upstreams() {
		total += l.leased[other.Hash()]
	}
	lease := max(r.cost, minLeaseTokens)
	limit := max(targets.DefaultLoadMultiple*float64(total+lease)/float64(len(p.Upstreams())), float64(lease))
	if float64(l.leased[u.Hash()]+lease) > limit {
		return false
	}
	l.leased[u.Hash()] += lease
	balances[u.Hash()] += lease
	return true
}

func (l *leasePolicy) startOnEngine(r *request, u *routing.Upstream) {
	balances := l.balances[r.host]
	balances[u.Hash()] -= r.cost
	r.release = func(time.Duration) { balances[u.Hash()] += r.cost }
	l.start(l.engineByHash[u.Hash()], r)
}

// tick returns the unused tokens of all hosts to the owners.
func (l *leasePolicy) tick() {
	for _, balances := range l.balances {
		for hash, remaining := range balances {
			if remaining > 0 {
				l.leased[hash] -= remaining
				balances[hash] = 0
				l.sentMessages++
			}
		}
	}
}

func (l *leasePolicy) intervals() (report, tick time.Duration) { return time.Second, time.Second }
func (l *leasePolicy) onLoadReport(*fakeEngine)                {}
func (l *leasePolicy) restart(h int)                           { clear(l.balances[h]) }
func (l *leasePolicy) controlTraffic() (int, int)              { return l.sentMessages, 0 }
