package measure

import (
	"time"

	"jackdawhinge/common/targets"
	"jackdawhinge/jackdawd/internal/routing"
)

// creditBlock is how many tokens an owner leases at a time.
const creditBlock = 8000

// credits is way (c): owners lease blocks of tokens to entry hosts, which then
// decide alone. It is flattered here: the owners know the mean load exactly.
type credits struct {
	*world
	granted map[uint64]int64
	pocket  []map[uint64]int64
	sent    int
}

func newCredits(w *world) placer {
	c := &credits{world: w, granted: map[uint64]int64{}, pocket: make([]map[uint64]int64, w.size.hosts)}
	for h := range c.pocket {
		c.pocket[h] = map[uint64]int64{}
	}
	return c
}

func (c *credits) place(r *request) {
	p := c.pool(r.host, r.pool)
	r.cost = r.prompt + int64(r.class.out)
	ranked := p.Rank(r.chat)
	for _, u := range ranked {
		if c.lease(r, p, u) {
			c.begin(r, u)
			return
		}
	}
	c.begin(r, ranked[0])
}

func (c *credits) lease(r *request, p *routing.Pool, u *routing.Upstream) bool {
	pocket := c.pocket[r.host]
	if pocket[u.Hash()] >= r.cost {
		return true
	}
	c.sent += 2
	sum := int64(0)
	for _, other := range p.Upstreams() {
		sum += c.granted[other.Hash()]
	}
	block := max(r.cost, creditBlock)
	bound := max(targets.DefaultLoadMultiple*float64(sum+block)/float64(len(p.Upstreams())), float64(block))
	if float64(c.granted[u.Hash()]+block) > bound {
		return false
	}
	c.granted[u.Hash()] += block
	pocket[u.Hash()] += block
	return true
}

func (c *credits) begin(r *request, u *routing.Upstream) {
	pocket := c.pocket[r.host]
	pocket[u.Hash()] -= r.cost
	r.release = func(time.Duration) { pocket[u.Hash()] += r.cost }
	c.start(c.byHash[u.Hash()], r)
}

// tick gives back what a host has left over.
func (c *credits) tick() {
	for _, pocket := range c.pocket {
		for hash, left := range pocket {
			if left > 0 {
				c.granted[hash] -= left
				pocket[hash] = 0
				c.sent++
			}
		}
	}
}

func (c *credits) intervals() (report, tick time.Duration) { return time.Second, time.Second }
func (c *credits) report(*fakeEngine)                      {}
func (c *credits) restart(h int)                           { clear(c.pocket[h]) }
func (c *credits) messages() (int, int)                    { return c.sent, 0 }
