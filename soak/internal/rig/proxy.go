package rig

import (
	"errors"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// A Mode is what a proxy does with what passes it.
type Mode string

// The modes.
const (
	Pass Mode = "pass"
	// Hold passes nothing either way, without an end.
	Hold Mode = "hold"
	// HoldBack passes nothing from the server to the client.
	HoldBack Mode = "hold-back"
	// Delay passes everything later.
	Delay Mode = "delay"
	// Lossy passes some of it much later, as if packets had been lost and sent again.
	Lossy Mode = "lossy"
	// DropIdle resets connections that were idle when something is sent on them, as
	// servers do that have dropped them without notice.
	DropIdle Mode = "drop-idle"
)

const (
	delay = 150 * time.Millisecond
	// lossShare is how many pieces in a hundred are lost, resend how long it takes to send one again.
	lossShare = 10
	resend    = 250 * time.Millisecond
	// idleFor is how long a connection is idle that is dropped.
	idleFor = 300 * time.Millisecond
)

// A Proxy forwards connections to a server on loopback.
type Proxy struct {
	listener net.Listener
	server   string
	mu       sync.Mutex
	mode     Mode
	changed  chan struct{}
	conns    map[net.Conn]bool
}

// NewProxy returns a proxy to a server, on a port of its own.
func NewProxy(server string) (*Proxy, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &Proxy{listener: l, server: server, mode: Pass, changed: make(chan struct{}), conns: map[net.Conn]bool{}}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				noteDescriptors(err)
				return
			}
			go p.serve(c)
		}
	}()
	return p, nil
}

// outOfDescriptors is set once this process had no file descriptor left for a connection. The run then says
// nothing of the hosts.
var outOfDescriptors atomic.Bool

func noteDescriptors(err error) {
	if errors.Is(err, syscall.EMFILE) {
		outOfDescriptors.Store(true)
	}
}

// Address returns where the proxy listens.
func (p *Proxy) Address() string { return p.listener.Addr().String() }

// Set changes the mode, also for connections that are open.
func (p *Proxy) Set(m Mode) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.mode = m
	close(p.changed)
	p.changed = make(chan struct{})
}

// Reset ends all connections.
func (p *Proxy) Reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		reset(c)
	}
}

// reset ends a connection with a reset.
func reset(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		// Without lingering the close is a reset.
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}

// drops reports whether a connection that was idle for a time is dropped.
func (p *Proxy) drops(idle time.Duration) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.mode == DropIdle && idle > idleFor
}

// Close ends the proxy.
func (p *Proxy) Close() {
	_ = p.listener.Close()
	p.Reset()
}

func (p *Proxy) serve(client net.Conn) {
	server, err := net.Dial("tcp", p.server)
	if err != nil {
		noteDescriptors(err)
		_ = client.Close()
		return
	}
	p.mu.Lock()
	p.conns[client], p.conns[server] = true, true
	p.mu.Unlock()
	var both sync.WaitGroup
	both.Go(func() { p.copy(server, client, false) })
	both.Go(func() { p.copy(client, server, true) })
	both.Wait()
	p.mu.Lock()
	delete(p.conns, client)
	delete(p.conns, server)
	p.mu.Unlock()
}

// copy forwards one way until either side ends, and then ends both.
func (p *Proxy) copy(to, from net.Conn, back bool) {
	defer func() { _ = to.Close() }()
	defer func() { _ = from.Close() }()
	buf := make([]byte, 16<<10)
	for {
		begun := time.Now()
		n, err := from.Read(buf)
		if !back && p.drops(time.Since(begun)) {
			reset(from)
			return
		}
		p.wait(back)
		if _, werr := to.Write(buf[:n]); werr != nil || err != nil {
			return
		}
	}
}

// wait holds what passes as long as the mode says.
func (p *Proxy) wait(back bool) {
	for {
		p.mu.Lock()
		mode, changed := p.mode, p.changed
		p.mu.Unlock()
		switch {
		case mode == Hold || (mode == HoldBack && back):
			<-changed
		case mode == Delay:
			time.Sleep(delay)
			return
		case mode == Lossy && rand.IntN(100) < lossShare:
			time.Sleep(resend)
			return
		default:
			return
		}
	}
}
