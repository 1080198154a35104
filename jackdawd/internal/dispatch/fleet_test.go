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

// evidence remembers against whom it was given.
type evidence struct {
	against sync.Map
}

func (e *evidence) Observe(name string, ok bool) {
	if !ok {
		e.against.Store(name, true)
	}
}

type noMeter struct{}

func (noMeter) Retried(work.Code) {}

// fleet is a few entry hosts and engines on a network in memory.
type fleet struct {
	net     *network.Network
	view    map[string]*routing.View
	routers map[string]*Router
	owners  map[string]*Owner
	engines map[string]*engine.Engine
	clients []*delivery.Client
	// stopping names the host that is in a planned stop.
	stopping string
	evidence evidence
}

// newFleet returns a fleet whose engines answer with a word each 3 ms; handlers replace engines by name.
func newFleet(hosts, engines int, handlers map[string]http.Handler) *fleet {
	f := &fleet{
		net: network.New(), view: map[string]*routing.View{}, routers: map[string]*Router{},
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
			Name: name, Role: roster.Upstream, State: roster.Live, FailureDomain: "r/a", Address: name + ":1", Models: []string{testModel}, Capacity: 100_000,
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
	f.view[name] = routing.NewView(routing.ViewInput{
		Self: name, Region: "r", Hosts: list,
		Document: targets.Document{
			Classes: map[string]targets.Class{"portal": {FirstTokenWithin: targets.Duration(time.Second), Share: 0.5, Urgency: targets.Normal}},
			Models:  map[string]targets.Model{testModel: {Kind: targets.Engine}},
		},
	})
	views := func() *routing.View { return f.view[name] }
	client := delivery.NewClient(delivery.WithDial(f.net.Dial))
	board := routing.NewBoard(rand.NewPCG(seed, 1))
	board.Own(func(u *routing.Upstream) bool {
		owner, _ := f.view[name].Owner(u.Hash())
		return owner.Name() == name
	}, f.view[name].Pools())
	owner := NewOwner(views, board, client, &f.evidence)
	f.clients = append(f.clients, client)
	f.owners[name] = owner
	f.routers[name] = NewRouter(views, owner, NewHTTPPeer(client, testSecret), client, &f.evidence, noMeter{})
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
	// Engines keep finished answers for a while.
	time.Sleep(time.Minute)
}

func newItem(chat uint64, tokens int) *work.Item {
	return &work.Item{
		ID: fmt.Sprintf("request-%d", chat), Workspace: "mailroom", Class: "portal", Chat: chat, Model: testModel, Idempotent: true,
		Messages: []upstream.Message{{Role: "user", Content: "sort this"}}, MaxTokens: tokens, Urgency: targets.Normal, BeginWithin: time.Second,
	}
}

// first returns the chat's first engine and the host that owns it.
func (f *fleet) first(item *work.Item) (engineName, owner string) {
	view := f.view["entry-0"]
	pool, _ := view.Pool(testModel)
	u := pool.Rank(item.Chat)[0]
	host, _ := view.Owner(u.Hash())
	return u.Name(), host.Name()
}

// itemOwnedElsewhere returns an item that entry-0 passes on to another host.
func (f *fleet) itemOwnedElsewhere(tokens int) *work.Item {
	for chat := uint64(1); ; chat++ {
		if _, owner := f.first(newItem(chat, tokens)); owner != "entry-0" {
			return newItem(chat, tokens)
		}
	}
}

// itemFirstAt returns an item of a chat after the one given whose first engine is the one named.
func (f *fleet) itemFirstAt(name string, after uint64) *work.Item {
	for chat := after + 1; ; chat++ {
		if at, _ := f.first(newItem(chat, 5)); at == name {
			return newItem(chat, 5)
		}
	}
}

// moveChat makes the owner of an item's first engine remember its chat at another, which it returns.
func (f *fleet) moveChat(t *testing.T, item *work.Item) *routing.Upstream {
	t.Helper()
	home, owner := f.first(item)
	pool, _ := f.view[owner].Pool(testModel)
	board := f.owners[owner].board
	for _, u := range pool.Upstreams() {
		board.Merge(time.Now(), []routing.Row{{Upstream: u.Hash()}})
	}
	at, _ := pool.Find(home)
	board.Start(at, 90_000)
	defer board.Finish(at, 90_000)
	_, to := board.Move(time.Now(), pool, routing.Candidate{Chat: item.Chat, At: at, Cost: 10, Returning: true})
	require.NotEqual(t, home, to.Name())
	return to
}

// answer routes an item from entry-0 and returns its text; at is called before each frame is taken.
func (f *fleet) answer(ctx context.Context, item *work.Item, at func(position int)) (string, error) {
	var text strings.Builder
	err := f.routers["entry-0"].Route(ctx, item, func(frame upstream.Frame) error {
		if at != nil {
			at(frame.Position)
		}
		text.WriteString(frame.Text)
		return nil
	})
	return text.String(), err
}

func outcome(t *testing.T, err error) work.Outcome {
	t.Helper()
	var refusal *work.Refusal
	require.ErrorAs(t, err, &refusal)
	return refusal.Outcome
}

func run(t *testing.T, hosts, engines int, handlers map[string]http.Handler, test func(t *testing.T, f *fleet)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(hosts, engines, handlers)
		defer f.close()
		test(t, f)
	})
}

func words(n int) string {
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
