package rig

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"jackdawhinge/platform/standin"
	"jackdawhinge/soak/internal/verdict"
)

// heartbeatInterval is how often upstreams write their entries to the store.
const heartbeatInterval = 1200 * time.Millisecond

// Engines are cold for coldStart after a restart or an evacuation. They then bear coldRate requests
// per second, and crash if more than verdict.MaxColdRequests arrive within a second.
const (
	coldStart = 3 * time.Second
	coldRate  = 4
)

// failureDomains are those of upstreams and hosts.
var failureDomains = []string{"a", "b"}

// engineService is the service whose upstreams are model engines, services are both.
const engineService = "reader"

var services = []string{engineService, "mailbox"}

// An Upstream is a stand-in runner behind a proxy. After a crash or a drain it is started again as
// another incarnation, with its own id, runner and proxy.
type Upstream struct {
	service string
	index   int
	store   *standin.Store
	mu      sync.Mutex
	runner  *standin.Runner
	id      string
	// state is "ready" or "draining", or empty after a crash.
	state      string
	heartbeats int
	server     *http.Server
	proxy      *Proxy
	// crashes is the part that crashes engines, and how; nil while there is none.
	crashes atomic.Pointer[crashingPart]
	// runners and ids are those of all incarnations.
	runners []*standin.Runner
	ids     []string
	stop    chan struct{}
}

// NewUpstream starts the first incarnation of an upstream of a service, and its heartbeat. It
// returns an error if a listener cannot be opened.
func NewUpstream(store *standin.Store, service string, index int) (*Upstream, error) {
	u := &Upstream{service: service, index: index, store: store, stop: make(chan struct{})}
	if err := u.Start(); err != nil {
		return nil, err
	}
	go func() {
		ticker := time.NewTicker(heartbeatInterval)
		defer ticker.Stop()
		for {
			select {
			case <-ticker.C:
				u.heartbeat()
			case <-u.stop:
				return
			}
		}
	}()
	return u, nil
}

// Start starts another incarnation. It returns an error if a listener cannot be opened.
func (u *Upstream) Start() error {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	proxy, err := NewProxy(l.Addr().String())
	if err != nil {
		return err
	}
	u.mu.Lock()
	u.id = fmt.Sprintf("%s%d", u.idPrefix(), len(u.runners))
	u.runner = standin.NewRunner(u.id, 8)
	if u.service == engineService && (u.index/len(services)+len(u.runners))%2 == 1 {
		u.runner.SetVersion(otherVersion)
	}
	u.runners, u.ids = append(u.runners, u.runner), append(u.ids, u.id)
	u.server, u.proxy, u.state = &http.Server{Handler: u.crashOnPart(u.runner)}, proxy, "ready"
	if len(u.runners) > 1 {
		u.setCold()
	}
	server := u.server
	u.mu.Unlock()
	go func() {
		// Serve returns an error once the incarnation is closed.
		_ = server.Serve(l)
	}()
	u.heartbeat()
	return nil
}

// heartbeat writes the entry of the incarnation to the store, unless it has crashed.
func (u *Upstream) heartbeat() {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.state == "" {
		return
	}
	u.heartbeats++
	u.store.PutEntry(u.id, u.runner.EntryWithSequence(u.service, u.proxy.Address(), u.failureDomain(), u.state, u.heartbeats))
}

// idPrefix returns what the IDs of all incarnations begin with.
func (u *Upstream) idPrefix() string { return fmt.Sprintf("%s-%d-", u.service, u.index) }

// failureDomain returns the failure domain; the upstreams of each service are spread over both.
func (u *Upstream) failureDomain() string {
	return failureDomains[u.index/len(services)%len(failureDomains)]
}

// TurnCold makes the current incarnation cold if it is an engine.
func (u *Upstream) TurnCold() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.setCold()
}

// setCold makes the current incarnation cold if it is an engine; the lock must be held.
func (u *Upstream) setCold() {
	if u.service == engineService {
		u.runner.SetCold(coldStart, verdict.MaxColdRequests)
	}
}

// SetBrittle makes all incarnations brittle, 0 ends it, and returns how often they fell over so far.
func (u *Upstream) SetBrittle(limit int) int {
	u.mu.Lock()
	defer u.mu.Unlock()
	falls := 0
	for _, r := range u.runners {
		r.SetBrittle(limit)
		falls += r.Falls()
	}
	return falls
}

// ColdCrashes returns the incarnations that crashed because they got too many requests while cold.
func (u *Upstream) ColdCrashes() []string {
	u.mu.Lock()
	defer u.mu.Unlock()
	var crashed []string
	for i, r := range u.runners {
		if r.Crashed() {
			crashed = append(crashed, u.ids[i])
		}
	}
	return crashed
}

// removeStaleEntries removes the entries of past incarnations, which a restored snapshot may
// contain.
func (u *Upstream) removeStaleEntries() {
	u.mu.Lock()
	defer u.mu.Unlock()
	for _, id := range u.ids {
		if id != u.id || u.state == "" {
			u.store.PutEntry(id, nil)
		}
	}
}

// Drain announces in the entry that the incarnation is draining, and returns its id.
func (u *Upstream) Drain() string {
	u.mu.Lock()
	u.state = "draining"
	id := u.id
	u.mu.Unlock()
	u.heartbeat()
	return id
}

// Crash closes the incarnation without a drain and removes its entry.
func (u *Upstream) Crash() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.state = ""
	u.store.PutEntry(u.id, nil)
	_ = u.server.Close()
	u.proxy.Close()
}

// incarnation returns the ID of the current incarnation.
func (u *Upstream) incarnation() string {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.id
}

// Proxy returns the proxy of the current incarnation.
func (u *Upstream) Proxy() *Proxy {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.proxy
}

// SetBehavior replaces how the incarnation answers; nil restores the default.
func (u *Upstream) SetBehavior(b func(r *standin.Runner) standin.Behavior) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if b == nil {
		u.runner.SetBehavior(nil)
		return
	}
	u.runner.SetBehavior(b(u.runner))
}

// Executions returns the requests that all incarnations have executed.
func (u *Upstream) Executions() []verdict.Execution {
	u.mu.Lock()
	defer u.mu.Unlock()
	var out []verdict.Execution
	for i, r := range u.runners {
		for _, run := range r.Runs() {
			out = append(out, verdict.Execution{ID: run.ID, Pool: u.service, Upstream: u.ids[i], FailureDomain: u.failureDomain(), Started: run.Started, Ended: run.Ended})
		}
	}
	return out
}

// Close stops the heartbeat and the current incarnation.
func (u *Upstream) Close() {
	close(u.stop)
	u.Crash()
}

// shedAll refuses every request.
func shedAll(*standin.Runner) standin.Behavior {
	return func(w http.ResponseWriter, _ *http.Request, _ []byte) bool {
		standin.RejectNotExecuted(w)
		return true
	}
}

// executeAndHang executes every request and never answers.
func executeAndHang(r *standin.Runner) standin.Behavior {
	return func(_ http.ResponseWriter, req *http.Request, body []byte) bool {
		r.RecordRun(req, body)
		<-req.Context().Done()
		return true
	}
}

// executeAndGarble returns a behavior that, of three requests in turn, executes one and truncates
// the body of its response, executes one and answers it with two responses, and leaves one to the
// default.
func executeAndGarble(r *standin.Runner) standin.Behavior {
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
		id := r.RecordRun(req, body).ID
		c, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			return true
		}
		defer func() { _ = c.Close() }()
		truncated := standin.ResponseHead(http.StatusOK, id, "s") + "Content-Length: 100\r\n\r\ncut"
		if turn == 1 {
			_, _ = io.WriteString(c, truncated)
			return true
		}
		response := standin.ResponseHead(http.StatusInternalServerError, id, "s") + "Content-Length: 2\r\n\r\nno"
		_, _ = io.WriteString(c, response+response)
		// Keep the connection open until the peer sends or closes, so that it gets the second
		// response.
		_, _ = bufio.NewReader(c).Peek(1)
		return true
	}
}

// executeUnframed returns a behavior that executes every request and ends its response with the connection.
// Of three streams in turn, one ends inside an event.
func executeUnframed(r *standin.Runner) standin.Behavior {
	var streams atomic.Int64
	return func(w http.ResponseWriter, req *http.Request, body []byte) bool {
		id := r.RecordRun(req, body).ID
		contentType, text := "text/plain", fmt.Sprintf("answer to %s", id)
		if events := r.Events(req); events != "" {
			contentType, text = "text/event-stream", events
			if streams.Add(1)%3 == 0 {
				text = text[:len(text)-2]
			}
		}
		c, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			return true
		}
		_, _ = io.WriteString(c, standin.ResponseHead(http.StatusOK, id, "s")+"Content-Type: "+contentType+"\r\n\r\n"+text)
		_ = c.Close()
		return true
	}
}
