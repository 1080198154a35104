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

// A Mode is how a proxy treats the data that it forwards.
type Mode string

// The modes of a proxy.
const (
	// Pass forwards everything at once.
	Pass Mode = "pass"
	// Blackhole forwards nothing in either direction and keeps the connections open.
	Blackhole Mode = "hold"
	// BlackholeResponses forwards nothing from the server to the client.
	BlackholeResponses Mode = "hold-back"
	// SplitResponses is the same, but forwards the first half of what the server sends next.
	SplitResponses Mode = "split"
	// Delay forwards everything after addedDelay.
	Delay Mode = "delay"
	// Lossy delays some reads by retransmitDelay, as if packets had been lost and retransmitted.
	Lossy Mode = "lossy"
	// DropIdle resets an idle connection when the client sends on it, as a server does that dropped
	// the connection without notice.
	DropIdle Mode = "drop-idle"
)

const (
	addedDelay = 150 * time.Millisecond
	// lossPercent is the percentage of reads that count as lost, retransmitDelay how long their
	// retransmission takes.
	lossPercent     = 10
	retransmitDelay = 250 * time.Millisecond
	// idleThreshold is the idle time above which a connection is dropped.
	idleThreshold = 300 * time.Millisecond
)

// A Proxy forwards connections to a server on loopback and injects network faults.
type Proxy struct {
	listener      net.Listener
	serverAddress string
	mu            sync.Mutex
	mode          Mode
	changed       chan struct{}
	conns         map[net.Conn]bool
}

// NewProxy starts a proxy to the server at an address, on a free port. It returns an error if it
// cannot listen.
func NewProxy(server string) (*Proxy, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &Proxy{listener: l, serverAddress: server, mode: Pass, changed: make(chan struct{}), conns: map[net.Conn]bool{}}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				detectDescriptorExhaustion(err)
				return
			}
			go p.serve(c)
		}
	}()
	return p, nil
}

// outOfDescriptors is set once this process had no file descriptor left for a connection. The
// result of the run is then void, as failures may be those of the testbed.
var outOfDescriptors atomic.Bool

func detectDescriptorExhaustion(err error) {
	if errors.Is(err, syscall.EMFILE) {
		outOfDescriptors.Store(true)
	}
}

// Address returns the address that the proxy listens on.
func (p *Proxy) Address() string { return p.listener.Addr().String() }

// SetMode changes the mode of all connections, open ones included.
func (p *Proxy) SetMode(m Mode) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.mode = m
	close(p.changed)
	p.changed = make(chan struct{})
}

// Reset closes all connections with a TCP reset.
func (p *Proxy) Reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		reset(c)
	}
}

// reset closes a connection with a TCP reset.
func reset(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		// With a linger time of 0, Close sends a reset.
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}

func (p *Proxy) currentMode() Mode {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.mode
}

// dropsIdle reports whether a connection with this idle time is to be dropped.
func (p *Proxy) dropsIdle(idle time.Duration) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.mode == DropIdle && idle > idleThreshold
}

// Close stops listening and resets all connections.
func (p *Proxy) Close() {
	_ = p.listener.Close()
	p.Reset()
}

func (p *Proxy) serve(client net.Conn) {
	server, err := net.Dial("tcp", p.serverAddress)
	if err != nil {
		detectDescriptorExhaustion(err)
		_ = client.Close()
		return
	}
	p.mu.Lock()
	p.conns[client], p.conns[server] = true, true
	p.mu.Unlock()
	var directions sync.WaitGroup
	directions.Go(func() { p.forward(server, client, false) })
	directions.Go(func() { p.forward(client, server, true) })
	directions.Wait()
	p.mu.Lock()
	delete(p.conns, client)
	delete(p.conns, server)
	p.mu.Unlock()
}

// forward copies data in one direction until either side closes, and then closes both.
func (p *Proxy) forward(to, from net.Conn, toClient bool) {
	defer func() { _ = to.Close() }()
	defer func() { _ = from.Close() }()
	buf := make([]byte, 16<<10)
	for {
		started := time.Now()
		n, err := from.Read(buf)
		if !toClient && p.dropsIdle(time.Since(started)) {
			reset(from)
			return
		}
		sent := 0
		if toClient && p.currentMode() == SplitResponses {
			// An error shows in the next write.
			sent, _ = to.Write(buf[:n/2])
		}
		p.applyMode(toClient)
		if _, werr := to.Write(buf[sent:n]); werr != nil || err != nil {
			return
		}
	}
}

// applyMode blocks for as long as the mode holds back data in this direction.
func (p *Proxy) applyMode(toClient bool) {
	for {
		p.mu.Lock()
		mode, changed := p.mode, p.changed
		p.mu.Unlock()
		switch {
		case mode == Blackhole || ((mode == BlackholeResponses || mode == SplitResponses) && toClient):
			<-changed
		case mode == Delay:
			time.Sleep(addedDelay)
			return
		case mode == Lossy && rand.IntN(100) < lossPercent:
			time.Sleep(retransmitDelay)
			return
		default:
			return
		}
	}
}
