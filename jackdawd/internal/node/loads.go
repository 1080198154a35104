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
	// exchangeInterval is how often this host exchanges load rows with another owner.
	exchangeInterval = 500 * time.Millisecond
	// loadPollInterval is how often this host polls the load of the upstreams that it owns.
	loadPollInterval     = 2 * time.Second
	maxLoadResponseBytes = 4 << 10
)

// exchangeLoads exchanges the load rows of one pool with one random other owner per interval. It takes
// the pools in which this host owns an upstream in turn, so the bytes that a host sends don't depend
// on the number of hosts.
func (n *Node) exchangeLoads(ctx context.Context) {
	ticker := time.NewTicker(exchangeInterval)
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
		host, ok := randomOtherOwner(view, pool)
		if ok {
			n.exchange(ctx, pool, host)
		}
	}
}

func (n *Node) exchange(ctx context.Context, pool *routing.Pool, host routing.EntryHost) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	args := peers.ExchangeArgs{Pool: pool.Model(), Rows: packRows(n.balancer.Rows(time.Now(), pool, maxExchangeRows))}
	var reply peers.ExchangeReply
	err := n.peerClient.Call(ctx, host.ControlAddress(), peers.ExchangeCall, &args, &reply)
	n.control.Observe(host.Name(), err == nil)
	if err == nil {
		n.balancer.Merge(time.Now(), unpackRows(reply.Rows))
	}
}

// ownedPools returns the pools in which this host owns an upstream, sorted by name.
func ownedPools(view *routing.View) []*routing.Pool {
	var pools []*routing.Pool
	for _, name := range slices.Sorted(maps.Keys(view.Pools())) {
		pool, ok := view.Pool(name)
		if ok && slices.ContainsFunc(pool.Upstreams(), func(u *routing.Upstream) bool { return ownsUpstream(view, u) }) {
			pools = append(pools, pool)
		}
	}
	return pools
}

func ownsUpstream(view *routing.View, u *routing.Upstream) bool {
	owner, ok := view.Owner(u.Hash())
	return ok && owner.Name() == view.Self()
}

// randomOtherOwner returns the owner of a random upstream of the pool. It skips upstreams that this
// host owns and returns false if there is no other owner.
func randomOtherOwner(view *routing.View, pool *routing.Pool) (routing.EntryHost, bool) {
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

// pollLoads polls the load that engines owned by this host report.
func (n *Node) pollLoads(ctx context.Context, client *delivery.Client) {
	ticker := time.NewTicker(loadPollInterval)
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
				if pool.Kind() == targets.Engine && ownsUpstream(view, u) {
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
	if json.NewDecoder(io.LimitReader(resp.Body, maxLoadResponseBytes)).Decode(&load) == nil {
		n.balancer.ReportResident(u, load.ResidentTokens)
	}
}
