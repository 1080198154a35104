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
	askEvery    = 500 * time.Millisecond
	askTimeout  = time.Second
	askParallel = 32
)

// A HostList is the platform's list of hosts.
type HostList interface {
	Read(ctx context.Context, tag string) (list roster.List, newTag string, changed bool, err error)
}

// A Caller makes control calls to entry hosts.
type Caller interface {
	Call(ctx context.Context, address, method string, args, reply any) error
}

// A Spread is how far a revision has come: the entry hosts that have it in force, and those that lag or do not answer.
type Spread struct {
	InForce int      `json:"in-force"`
	Lagging []string `json:"lagging,omitempty"`
}

// AwaitInForce asks every live entry host until all have the revision in force
// or ctx ends, and returns the last count.
func AwaitInForce(ctx context.Context, list HostList, caller Caller, revision int64) (Spread, error) {
	hosts, _, _, err := list.Read(ctx, "")
	if err != nil {
		return Spread{}, err
	}
	var spread Spread
	for ctx.Err() == nil {
		spread = ask(ctx, hosts.Hosts, caller, revision)
		if len(spread.Lagging) == 0 {
			break
		}
		pause.For(ctx, askEvery)
	}
	return spread, nil
}

// AskOnce asks every live entry host once whether it has the revision in force.
func AskOnce(ctx context.Context, list HostList, caller Caller, revision int64) (Spread, error) {
	hosts, _, _, err := list.Read(ctx, "")
	if err != nil {
		return Spread{}, err
	}
	return ask(ctx, hosts.Hosts, caller, revision), nil
}

func ask(ctx context.Context, hosts []roster.Host, caller Caller, revision int64) Spread {
	var mu sync.Mutex
	var wg sync.WaitGroup
	var spread Spread
	slots := make(chan struct{}, askParallel)
	for _, h := range hosts {
		if h.Role != roster.EntryHost || h.State != roster.Live {
			continue
		}
		wg.Go(func() {
			slots <- struct{}{}
			defer func() { <-slots }()
			has := inForce(ctx, h, caller, revision)
			mu.Lock()
			defer mu.Unlock()
			if has {
				spread.InForce++
				return
			}
			spread.Lagging = append(spread.Lagging, h.Name)
		})
	}
	wg.Wait()
	return spread
}

func inForce(ctx context.Context, h roster.Host, caller Caller, revision int64) bool {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	var reply peers.RevisionReply
	err := caller.Call(ctx, h.Control, peers.RevisionCall, &peers.Nothing{}, &reply)
	return err == nil && reply.Revision >= revision
}
