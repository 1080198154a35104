package publish

import (
	"context"
	"sync"
	"time"

	"jackdawhinge/common/pause"
	"jackdawhinge/common/peers"
	"jackdawhinge/common/roster"
)

const (
	pollInterval       = 500 * time.Millisecond
	queryTimeout       = time.Second
	maxParallelQueries = 32 // hosts queried concurrently
)

// A HostListReader reads the platform's host list.
type HostListReader interface {
	Read(ctx context.Context, tag string) (list roster.List, newTag string, changed bool, err error)
}

// An RPCClient makes RPC calls to the control addresses of entry hosts.
type RPCClient interface {
	Call(ctx context.Context, address, method string, args, reply any) error
}

// A Spread is the rollout status of a revision: the number of live entry hosts that have it in
// force, and the names of those that have an older one or do not respond.
type Spread struct {
	InForce int      `json:"in-force"`
	Lagging []string `json:"lagging,omitempty"`
}

// WaitInForce polls every live entry host until all have the revision in force or ctx ends, and
// returns the last status.
func WaitInForce(ctx context.Context, list HostListReader, client RPCClient, revision int64) (Spread, error) {
	hosts, _, _, err := list.Read(ctx, "")
	if err != nil {
		return Spread{}, err
	}
	var spread Spread
	for ctx.Err() == nil {
		spread = queryHosts(ctx, hosts.Hosts, client, revision)
		if len(spread.Lagging) == 0 {
			break
		}
		pause.For(ctx, pollInterval)
	}
	return spread, nil
}

// QueryInForce queries every live entry host once whether it has the revision in force.
func QueryInForce(ctx context.Context, list HostListReader, client RPCClient, revision int64) (Spread, error) {
	hosts, _, _, err := list.Read(ctx, "")
	if err != nil {
		return Spread{}, err
	}
	return queryHosts(ctx, hosts.Hosts, client, revision), nil
}

// queryHosts queries the live entry hosts among hosts concurrently.
func queryHosts(ctx context.Context, hosts []roster.Host, client RPCClient, revision int64) Spread {
	var mu sync.Mutex
	var wg sync.WaitGroup
	var spread Spread
	semaphore := make(chan struct{}, maxParallelQueries)
	for _, h := range hosts {
		if h.Role != roster.EntryHost || h.State != roster.Live {
			continue
		}
		wg.Go(func() {
			semaphore <- struct{}{}
			defer func() { <-semaphore }()
			isInForce := hasRevision(ctx, h, client, revision)
			mu.Lock()
			defer mu.Unlock()
			if isInForce {
				spread.InForce++
				return
			}
			spread.Lagging = append(spread.Lagging, h.Name)
		})
	}
	wg.Wait()
	return spread
}

// hasRevision reports whether a host has the revision or a later one in force; it is false if the
// host does not respond.
func hasRevision(ctx context.Context, h roster.Host, client RPCClient, revision int64) bool {
	ctx, cancel := context.WithTimeout(ctx, queryTimeout)
	defer cancel()
	var reply peers.RevisionReply
	err := client.Call(ctx, h.ControlAddress, peers.RevisionCall, &peers.Empty{}, &reply)
	return err == nil && reply.Revision >= revision
}
