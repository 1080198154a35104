package rig

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"jackdawhinge/platform/standin"
	"jackdawhinge/soak/internal/verdict"
)

// beatEvery is how often upstreams write of themselves.
const beatEvery = 1200 * time.Millisecond

// An Upstream is a stand-in runner behind a proxy. After a crash or when it has
// left, another incarnation takes its place.
type Upstream struct {
	service string
	number  int
	store   *standin.Store
	mu      sync.Mutex
	runner  *standin.Runner
	id      string
	state   string
	beats   int
	server  *http.Server
	proxy   *Proxy
	past    []*standin.Runner
	ids     []string
	stop    chan struct{}
}

// NewUpstream starts an upstream of a service.
func NewUpstream(store *standin.Store, service string, number int) (*Upstream, error) {
	u := &Upstream{service: service, number: number, store: store, stop: make(chan struct{})}
	if err := u.Begin(); err != nil {
		return nil, err
	}
	go func() {
		ticker := time.NewTicker(beatEvery)
		defer ticker.Stop()
		for {
			select {
			case <-ticker.C:
				u.beat()
			case <-u.stop:
				return
			}
		}
	}()
	return u, nil
}

// Begin starts another incarnation.
func (u *Upstream) Begin() error {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	proxy, err := NewProxy(l.Addr().String())
	if err != nil {
		return err
	}
	u.mu.Lock()
	u.id = fmt.Sprintf("%s-%d-%d", u.service, u.number, len(u.past))
	u.runner = standin.NewRunner(u.id, 8)
	u.past, u.ids = append(u.past, u.runner), append(u.ids, u.id)
	u.server, u.proxy, u.state = &http.Server{Handler: u.runner}, proxy, "ready"
	server := u.server
	u.mu.Unlock()
	go func() {
		// It ends with an error when the incarnation does.
		_ = server.Serve(l)
	}()
	u.beat()
	return nil
}

// beat writes the upstream's entry.
func (u *Upstream) beat() {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.state == "" {
		return
	}
	u.beats++
	u.store.PutEntry(u.id, u.runner.EntryOf(u.service, u.proxy.Address(), "a", u.state, u.beats))
}

// forgetPast removes the entries of incarnations that are gone, which an older copy of the store has brought back.
func (u *Upstream) forgetPast() {
	u.mu.Lock()
	defer u.mu.Unlock()
	for _, id := range u.ids {
		if id != u.id || u.state == "" {
			u.store.PutEntry(id, nil)
		}
	}
}

// Drain says that the upstream leaves, and returns which one.
func (u *Upstream) Drain() string {
	u.mu.Lock()
	u.state = "draining"
	id := u.id
	u.mu.Unlock()
	u.beat()
	return id
}

// Crash ends the incarnation without a word; its entry lapses.
func (u *Upstream) Crash() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.state = ""
	u.store.PutEntry(u.id, nil)
	_ = u.server.Close()
	u.proxy.Close()
}

// Proxy returns the proxy before the incarnation that runs.
func (u *Upstream) Proxy() *Proxy {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.proxy
}

// Behave makes the incarnation answer otherwise; nil ends that.
func (u *Upstream) Behave(b func(r *standin.Runner) standin.Behavior) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if b == nil {
		u.runner.SetBehavior(nil)
		return
	}
	u.runner.SetBehavior(b(u.runner))
}

// Runs returns what all incarnations have run.
func (u *Upstream) Runs() []verdict.Run {
	u.mu.Lock()
	defer u.mu.Unlock()
	var out []verdict.Run
	for i, r := range u.past {
		for _, run := range r.Runs() {
			out = append(out, verdict.Run{ID: run.ID, Pool: u.service, Upstream: u.ids[i], At: run.At, Ended: run.Ended})
		}
	}
	return out
}

// Close ends the upstream.
func (u *Upstream) Close() {
	close(u.stop)
	u.Crash()
}

// shed refuses everything.
func shed(*standin.Runner) standin.Behavior {
	return func(w http.ResponseWriter, _ *http.Request, _ []byte) bool {
		standin.Shed(w)
		return true
	}
}

// hang runs everything and answers nothing.
func hang(r *standin.Runner) standin.Behavior {
	return func(_ http.ResponseWriter, req *http.Request, body []byte) bool {
		r.Note(req, body)
		<-req.Context().Done()
		return true
	}
}

// garble runs every third request and answers it with a cut body, and spoils some
// others with a second answer.
func garble(r *standin.Runner) standin.Behavior {
	var mu sync.Mutex
	n := 0
	return func(w http.ResponseWriter, req *http.Request, body []byte) bool {
		mu.Lock()
		n++
		turn := n % 3
		mu.Unlock()
		if turn == 0 {
			return false
		}
		id := r.Note(req, body).ID
		c, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			return true
		}
		defer func() { _ = c.Close() }()
		text := standin.Head(http.StatusOK, id, "s") + "Content-Length: 100\r\n\r\ncut"
		if turn == 1 {
			_, _ = io.WriteString(c, text)
			return true
		}
		whole := standin.Head(http.StatusInternalServerError, id, "s") + "Content-Length: 2\r\n\r\nno"
		_, _ = io.WriteString(c, whole+whole)
		// The second answer must meet a connection that is still open.
		_, _ = bufio.NewReader(c).Peek(1)
		return true
	}
}
