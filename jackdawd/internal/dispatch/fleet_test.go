package dispatch

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"jackdawhinge/common/roster"
	"jackdawhinge/common/targets"
	"jackdawhinge/common/upstream"
	"jackdawhinge/jackdawd/internal/delivery"
	"jackdawhinge/jackdawd/internal/routing"
	"jackdawhinge/jackdawd/internal/work"
	"jackdawhinge/standin/engine"
	"jackdawhinge/standin/network"
)

const (
	testModel  = "reader"
	testSecret = "secret-of-the-fleet"
)

// failureRecorder is an Observer that records the names of hosts with failed calls.
type failureRecorder struct {
	failed sync.Map
}

func (r *failureRecorder) Observe(name string, ok bool) {
	if !ok {
		r.failed.Store(name, true)
	}
}

type discardMeter struct{}

func (discardMeter) RecordRetry(work.Code) {}

// fleet is a set of entry hosts and engines on an in-memory network.
type fleet struct {
	net     *network.Network
	views   map[string]*routing.View
	routers map[string]*Router
	owners  map[string]*Owner
	engines map[string]*engine.Engine
	clients []*delivery.Client
	// stopping is the name of the host that is shutting down.
	stopping string
	failures failureRecorder
}

// newFleet returns a fleet whose engines send one word every 3 ms; handlers override
// engines by name.
func newFleet(hosts, engines int, handlers map[string]http.Handler) *fleet {
	f := &fleet{
		net: network.New(), views: map[string]*routing.View{}, routers: map[string]*Router{},
		owners: map[string]*Owner{}, engines: map[string]*engine.Engine{},
	}
	var list []roster.Host
	for i := range engines {
		name := fmt.Sprintf("engine-%d", i)
		e := engine.New(name, 3*time.Millisecond, 100_000)
		f.engines[name] = e
		handler := e.Handler()
		if h, ok := handlers[name]; ok {
			handler = h
		}
		f.net.Serve(name+":1", handler)
		list = append(list, roster.Host{
			Name: name, Role: roster.Upstream, State: roster.Live, FailureDomain: "r/a", Address: name + ":1", Models: []string{testModel}, CapacityTokens: 100_000,
		})
	}
	for i := range hosts {
		name := fmt.Sprintf("entry-%d", i)
		list = append(list, roster.Host{Name: name, Role: roster.EntryHost, State: roster.Live, FailureDomain: "r/a", Address: name + ":1"})
	}
	for i := range hosts {
		f.addHost(fmt.Sprintf("entry-%d", i), list, uint64(i))
	}
	return f
}

func (f *fleet) addHost(name string, list []roster.Host, seed uint64) {
	f.views[name] = routing.NewView(routing.ViewInput{
		Self: name, Region: "r", Hosts: list,
		Document: targets.Document{
			Classes: map[string]targets.Class{"portal": {FirstTokenWithin: targets.Duration(time.Second), Share: 0.5, Urgency: targets.Normal}},
			Models:  map[string]targets.Model{testModel: {Kind: targets.Engine}},
		},
	})
	currentView := func() *routing.View { return f.views[name] }
	client := delivery.NewClient(delivery.WithDial(f.net.Dial))
	balancer := routing.NewBalancer(rand.NewPCG(seed, 1))
	balancer.SetOwned(func(u *routing.Upstream) bool {
		owner, _ := f.views[name].Owner(u.Hash())
		return owner.Name() == name
	}, f.views[name].Pools())
	owner := NewOwner(currentView, balancer, client, &f.failures)
	f.clients = append(f.clients, client)
	f.owners[name] = owner
	f.routers[name] = NewRouter(currentView, owner, NewHTTPPeer(client, testSecret), client, &f.failures, discardMeter{})
	f.net.Serve(name+":1", PeerHandler(owner, []string{"a secret being replaced", testSecret}, func() bool { return f.stopping == name }))
}

func (f *fleet) close() {
	for _, c := range f.clients {
		c.Close()
	}
	for name := range f.routers {
		f.net.Kill(name + ":1")
	}
	for name := range f.engines {
		f.net.Kill(name + ":1")
	}
	// Engines keep finished responses for a while; their timers must end inside the
	// synctest bubble.
	time.Sleep(time.Minute)
}

func newItem(chat uint64, tokens int) *work.Item {
	return &work.Item{
		ID: fmt.Sprintf("request-%d", chat), Workspace: "mailroom", Class: "portal", Chat: chat, Model: testModel, Idempotent: true,
		Messages: []upstream.Message{{Role: "user", Content: "sort this"}}, MaxTokens: tokens, Urgency: targets.Normal, RemainingTarget: time.Second,
	}
}

// firstChoice returns the chat's first-choice engine and the host that owns it.
func (f *fleet) firstChoice(item *work.Item) (engineName, owner string) {
	view := f.views["entry-0"]
	pool, _ := view.Pool(testModel)
	u := pool.Rank(item.Chat)[0]
	host, _ := view.Owner(u.Hash())
	return u.Name(), host.Name()
}

// itemOwnedElsewhere returns an item whose first-choice engine a host other than entry-0 owns.
func (f *fleet) itemOwnedElsewhere(tokens int) *work.Item {
	for chat := uint64(1); ; chat++ {
		if _, owner := f.firstChoice(newItem(chat, tokens)); owner != "entry-0" {
			return newItem(chat, tokens)
		}
	}
}

// itemWithFirstChoice returns an item of the next chat after the given one with that
// first-choice engine.
func (f *fleet) itemWithFirstChoice(name string, after uint64) *work.Item {
	for chat := after + 1; ; chat++ {
		if firstChoice, _ := f.firstChoice(newItem(chat, 5)); firstChoice == name {
			return newItem(chat, 5)
		}
	}
}

// moveChat makes the owner of the item's first choice move its chat to another engine, and
// returns that engine.
func (f *fleet) moveChat(t *testing.T, item *work.Item) *routing.Upstream {
	t.Helper()
	firstChoice, owner := f.firstChoice(item)
	pool, _ := f.views[owner].Pool(testModel)
	balancer := f.owners[owner].balancer
	for _, u := range pool.Upstreams() {
		balancer.Merge(time.Now(), []routing.LoadRow{{Upstream: u.Hash()}})
	}
	from, _ := pool.Find(firstChoice)
	balancer.Start(from, 90_000)
	defer balancer.Finish(from, 90_000)
	_, to := balancer.Move(time.Now(), pool, routing.Candidate{Chat: item.Chat, Upstream: from, Cost: 10, Returning: true})
	require.NotEqual(t, firstChoice, to.Name())
	return to
}

// route routes an item from entry-0 and returns its text; onFrame is called before each frame.
func (f *fleet) route(ctx context.Context, item *work.Item, onFrame func(position int)) (string, error) {
	var text strings.Builder
	err := f.routers["entry-0"].Route(ctx, item, func(frame upstream.Frame) error {
		if onFrame != nil {
			onFrame(frame.Position)
		}
		text.WriteString(frame.Text)
		return nil
	})
	return text.String(), err
}

func outcomeOf(t *testing.T, err error) work.Outcome {
	t.Helper()
	var refusal *work.Refusal
	require.ErrorAs(t, err, &refusal)
	return refusal.Outcome
}

func runFleet(t *testing.T, hosts, engines int, handlers map[string]http.Handler, test func(t *testing.T, f *fleet)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(hosts, engines, handlers)
		defer f.close()
		test(t, f)
	})
}

func expectedText(n int) string {
	var b strings.Builder
	for i := range n {
		fmt.Fprintf(&b, "w%d ", i)
	}
	return b.String()
}

func encodeFrame(w http.ResponseWriter, f upstream.Frame) {
	_ = json.NewEncoder(w).Encode(f)
	w.(http.Flusher).Flush()
}
