package network

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
)

var errRefused = errors.New("connection refused")

var errReset = errors.New("connection reset by peer")

// A Network is a set of addresses that can be listened on, dialled and killed.
type Network struct {
	mu        sync.Mutex
	listeners map[string]*listener
	faults    map[string]Fault
	cuts      map[route]Cut
}

// route is the way between two processes, from the one that dials.
type route struct{ from, to string }

// A Cut is how the connections over a cut route behave.
type Cut string

// The cuts.
const (
	// Hang keeps open connections, loses all data, and makes new connections hang.
	Hang Cut = "hang"
	// Reset closes open connections and refuses new ones.
	Reset Cut = "reset"
	// Refuse leaves open connections alone and refuses new ones.
	Refuse Cut = "refuse"
)

// A Fault is what makes a process unresponsive while its connections stay open.
type Fault string

// The faults.
const (
	// Frozen processes hang: connections to them are still accepted, as by the kernel, but all data
	// is lost.
	Frozen Fault = "frozen"
	// Partitioned processes cannot reach any other process, nor be reached: dialling blocks, and all data
	// is lost.
	Partitioned Fault = "cut"
)

// New returns a network without addresses.
func New() *Network {
	return &Network{listeners: map[string]*listener{}, faults: map[string]Fault{}, cuts: map[route]Cut{}}
}

// Dial connects to an address. The connection is refused if nothing listens there.
func (n *Network) Dial(ctx context.Context, network, address string) (net.Conn, error) {
	return n.DialFrom("")(ctx, network, address)
}

// DialFrom returns a dial function for the process that listens on an address, whose faults apply
// to it.
func (n *Network) DialFrom(from string) func(ctx context.Context, network, address string) (net.Conn, error) {
	return func(ctx context.Context, _, address string) (net.Conn, error) {
		n.mu.Lock()
		l, ok := n.listeners[address]
		cut := n.cuts[route{from, address}]
		partitioned := cut == Hang || n.faults[from] == Partitioned || n.faults[address] == Partitioned
		n.mu.Unlock()
		switch {
		case partitioned:
			<-ctx.Done()
			return nil, ctx.Err()
		case cut == Reset:
			return nil, &net.OpError{Op: "dial", Net: "tcp", Err: errReset}
		case !ok || cut == Refuse:
			return nil, &net.OpError{Op: "dial", Net: "tcp", Err: errRefused}
		}
		return l.connect(n, from, address), nil
	}
}

// SetFault sets the fault of the process behind an address; all data that it sends or is sent is
// lost from then on.
func (n *Network) SetFault(address string, fault Fault) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.faults[address] = fault
}

// CutRoute cuts the route over which a process dials an address; an empty cut restores it.
func (n *Network) CutRoute(from, to string, cut Cut) {
	n.mu.Lock()
	n.cuts[route{from, to}] = cut
	l, ok := n.listeners[to]
	n.mu.Unlock()
	if ok && cut == Reset {
		l.reset(from)
	}
}

// losesData reports whether data sent between two addresses is lost.
func (n *Network) losesData(from, to string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.faults[from] != "" || n.faults[to] != "" || n.cuts[route{from, to}] == Hang || n.cuts[route{to, from}] == Hang
}

// conn is one end of a connection between two addresses; it drops data while either process has a
// fault.
type conn struct {
	net.Conn
	network  *Network
	from, to string
}

// Write writes p, or drops it without an error if one of the two processes has a fault.
func (c *conn) Write(p []byte) (int, error) {
	if c.network.losesData(c.from, c.to) {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

// Listen returns a listener that accepts connections to an address until the address is killed.
func (n *Network) Listen(address string) net.Listener {
	l := &listener{conns: make(chan net.Conn), done: make(chan struct{})}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.listeners[address] = l
	return l
}

// Serve serves HTTP on an address until the address is killed.
func (n *Network) Serve(address string, h http.Handler) {
	l := n.Listen(address)
	go func() {
		// Serve returns an error once the address is killed.
		_ = http.Serve(l, h)
	}()
}

// Kill makes an address refuse new connections and closes its open ones.
func (n *Network) Kill(address string) {
	n.mu.Lock()
	l, ok := n.listeners[address]
	delete(n.listeners, address)
	n.mu.Unlock()
	if ok {
		l.kill()
	}
}

// listener accepts in-memory connections.
type listener struct {
	conns   chan net.Conn
	done    chan struct{}
	closing sync.Once
	mu      sync.Mutex
	open    []openConn
}

// openConn is one end of an open connection and the process that dialled it.
type openConn struct {
	net.Conn
	from string
}

// Accept returns the next connection.
func (l *listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.done:
		return nil, net.ErrClosed
	}
}

// Close refuses new connections. Open ones stay open until Kill.
func (l *listener) Close() error {
	l.closing.Do(func() { close(l.done) })
	return nil
}

// Addr returns an empty address.
func (l *listener) Addr() net.Addr { return &net.TCPAddr{} }

func (l *listener) connect(n *Network, from, to string) net.Conn {
	clientEnd, serverEnd := net.Pipe()
	l.mu.Lock()
	l.open = append(l.open, openConn{clientEnd, from}, openConn{serverEnd, from})
	l.mu.Unlock()
	select {
	case l.conns <- &conn{Conn: serverEnd, network: n, from: to, to: from}:
	case <-l.done:
		// Close both ends here, as kill may have run before they were added to open.
		_ = clientEnd.Close()
		_ = serverEnd.Close()
	}
	return &conn{Conn: clientEnd, network: n, from: from, to: to}
}

func (l *listener) kill() {
	l.closing.Do(func() { close(l.done) })
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, c := range l.open {
		_ = c.Close()
	}
}

// reset closes the connections that a process has dialled.
func (l *listener) reset(from string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, c := range l.open {
		if c.from == from {
			_ = c.Close()
		}
	}
}
