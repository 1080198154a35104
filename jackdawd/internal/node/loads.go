package node

import (
	"context"
	"encoding/json"
	"io"
	"maps"
	"math/rand/v2"
	"net/http"
	"slices"
	"time"

	"jackdawhinge/common/peers"
	"jackdawhinge/common/targets"
	"jackdawhinge/common/upstream"
	"jackdawhinge/jackdawd/internal/delivery"
	"jackdawhinge/jackdawd/internal/routing"
)

const (
	// exchangeEvery is how often this host exchanges rows with one other owner.
	exchangeEvery = 500 * time.Millisecond
	// pollEvery is how often this host reads the load that its upstreams report.
	pollEvery    = 2 * time.Second
	maxLoadBytes = 4 << 10
)

// exchangeLoads exchanges rows with one random owner of one pool at a time, in
// turn of the pools in which this host owns an upstream. The bytes a host spends
// so do not depend on how many hosts there are.
func (n *Node) exchangeLoads(ctx context.Context) {
	ticker := time.NewTicker(exchangeEvery)
	defer ticker.Stop()
	for turn := 0; ; turn++ {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		n.owner.Wake()
		view := n.View()
		pools := ownedPools(view)
		if len(pools) == 0 {
			continue
		}
		pool := pools[turn%len(pools)]
		host, ok := otherOwner(view, pool)
		if ok {
			n.exchange(ctx, pool, host)
		}
	}
}

func (n *Node) exchange(ctx context.Context, pool *routing.Pool, with routing.EntryHost) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	args := peers.ExchangeArgs{Pool: pool.Model(), Rows: toWire(n.board.Rows(time.Now(), pool, maxRows))}
	var reply peers.ExchangeReply
	err := n.peers.Call(ctx, with.Control(), peers.ExchangeCall, &args, &reply)
	n.control.Observe(with.Name(), err == nil)
	if err == nil {
		n.board.Merge(time.Now(), fromWire(reply.Rows))
	}
}

// ownedPools returns the pools in which this host owns an upstream, in order of name.
func ownedPools(view *routing.View) []*routing.Pool {
	var pools []*routing.Pool
	for _, name := range slices.Sorted(maps.Keys(view.Pools())) {
		pool, ok := view.Pool(name)
		if ok && slices.ContainsFunc(pool.Upstreams(), func(u *routing.Upstream) bool { return owns(view, u) }) {
			pools = append(pools, pool)
		}
	}
	return pools
}

func owns(view *routing.View, u *routing.Upstream) bool {
	owner, ok := view.Owner(u.Hash())
	return ok && owner.Name() == view.Self()
}

// otherOwner returns the owner of a random upstream of the pool that another host owns.
func otherOwner(view *routing.View, pool *routing.Pool) (routing.EntryHost, bool) {
	upstreams := pool.Upstreams()
	start := rand.IntN(len(upstreams))
	for i := range upstreams {
		owner, ok := view.Owner(upstreams[(start+i)%len(upstreams)].Hash())
		if ok && owner.Name() != view.Self() {
			return owner, true
		}
	}
	return routing.EntryHost{}, false
}

// pollLoads reads what the upstreams that this host owns report of themselves.
func (n *Node) pollLoads(ctx context.Context, client *delivery.Client) {
	ticker := time.NewTicker(pollEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		view := n.View()
		for _, pool := range view.Pools() {
			for _, u := range pool.Upstreams() {
				if pool.Kind() == targets.Engine && owns(view, u) {
					n.pollLoad(ctx, client, u)
				}
			}
		}
	}
}

func (n *Node) pollLoad(ctx context.Context, client *delivery.Client, u *routing.Upstream) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+u.Address()+upstream.LoadPath, http.NoBody)
	if err != nil {
		return
	}
	resp, err := client.Do(req)
	n.control.Observe(u.Name(), err == nil)
	if err != nil {
		return
	}
	defer func() { _ = resp.Body.Close() }()
	var load upstream.Load
	if json.NewDecoder(io.LimitReader(resp.Body, maxLoadBytes)).Decode(&load) == nil {
		n.board.Report(u, load.ResidentTokens)
	}
}
