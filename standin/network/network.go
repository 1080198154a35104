package network

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
)

var errRefused = errors.New("connection refused")

// A Network is a set of addresses that can be served, dialled and killed.
type Network struct {
	mu        sync.Mutex
	listeners map[string]*listener
	silent    map[string]Silence
}

// A Silence is how a process falls silent without closing its connections.
type Silence string

// The ways to fall silent.
const (
	// Frozen processes have their connections accepted by the kernel, and answer nothing.
	Frozen Silence = "frozen"
	// Cut processes cannot be reached and reach nobody.
	Cut Silence = "cut"
)

// New returns a network without addresses.
func New() *Network {
	return &Network{listeners: map[string]*listener{}, silent: map[string]Silence{}}
}

// Dial connects to an address that is served; else the connection is refused.
func (n *Network) Dial(ctx context.Context, network, address string) (net.Conn, error) {
	return n.DialFrom("")(ctx, network, address)
}

// DialFrom returns a function that connects as the process that serves an address.
func (n *Network) DialFrom(from string) func(ctx context.Context, network, address string) (net.Conn, error) {
	return func(ctx context.Context, _, address string) (net.Conn, error) {
		n.mu.Lock()
		l, ok := n.listeners[address]
		cut := n.silent[from] == Cut || n.silent[address] == Cut
		n.mu.Unlock()
		switch {
		case cut:
			<-ctx.Done()
			return nil, ctx.Err()
		case !ok:
			return nil, &net.OpError{Op: "dial", Net: "tcp", Err: errRefused}
		}
		return l.connect(n, from, address), nil
	}
}

// Silence makes all that is sent to or from an address get lost from now on.
func (n *Network) Silence(address string, how Silence) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.silent[address] = how
}

// isSilent reports whether what is sent between two addresses gets lost.
func (n *Network) isSilent(from, to string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.silent[from] != "" || n.silent[to] != ""
}

// conn is one end of a connection between two addresses.
type conn struct {
	net.Conn
	network  *Network
	from, to string
}

// Write sends bytes, which get lost if one of the two processes is silent.
func (c *conn) Write(p []byte) (int, error) {
	if c.network.isSilent(c.from, c.to) {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

// Listen returns a listener of an address, which serves it until it is killed.
func (n *Network) Listen(address string) net.Listener {
	l := &listener{conns: make(chan net.Conn), done: make(chan struct{})}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.listeners[address] = l
	return l
}

// Serve serves an address until it is killed.
func (n *Network) Serve(address string, h http.Handler) {
	l := n.Listen(address)
	go func() {
		// It ends with an error when the address is killed, as it should.
		_ = http.Serve(l, h)
	}()
}

// Kill makes an address refuse connections and cuts those it has.
func (n *Network) Kill(address string) {
	n.mu.Lock()
	l, ok := n.listeners[address]
	delete(n.listeners, address)
	n.mu.Unlock()
	if ok {
		l.kill()
	}
}

// listener hands out connections in memory.
type listener struct {
	conns chan net.Conn
	done  chan struct{}
	mu    sync.Mutex
	open  []net.Conn
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

// Close does nothing: an address is served until it is killed.
func (l *listener) Close() error { return nil }

// Addr returns an empty address.
func (l *listener) Addr() net.Addr { return &net.TCPAddr{} }

func (l *listener) connect(n *Network, from, to string) net.Conn {
	near, far := net.Pipe()
	l.mu.Lock()
	l.open = append(l.open, near, far)
	l.mu.Unlock()
	select {
	case l.conns <- &conn{Conn: far, network: n, from: to, to: from}:
	case <-l.done:
		// It was killed, perhaps before this connection was one of those that it has.
		_ = near.Close()
		_ = far.Close()
	}
	return &conn{Conn: near, network: n, from: from, to: to}
}

func (l *listener) kill() {
	close(l.done)
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, c := range l.open {
		_ = c.Close()
	}
}
