package entry

import (
	"net"
	"sync/atomic"
	"time"

	"jackdawhinge/jackdawd/internal/relay"
)

// The states of a caller's connection. They are numbers, as they are changed by compare-and-swap.
const (
	connIdle int32 = iota
	// connBusy is the state from the first byte of a request until its response has been written.
	connBusy
	// connClosed is the state of a connection that the host closed while it was idle.
	connClosed
)

// callerConn is a caller's connection. It is busy from the first byte of a request on, whereas net/http
// reports it active only once the whole head has been parsed.
type callerConn struct {
	net.Conn
	state atomic.Int32
	// discarded counts the reads whose bytes came too late.
	discarded *atomic.Int64
}

// Read reads from the connection. The first bytes after a response make the connection busy. If the
// host closes it at the same time, they are discarded, so that no request runs that cannot be answered.
func (c *callerConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n == 0 || c.state.Load() == connBusy {
		return n, err
	}
	if !c.begin() {
		c.discarded.Add(1)
		// net/http would answer any other error than one of reading with status 400.
		return 0, &net.OpError{Op: "read", Net: "tcp", Err: net.ErrClosed}
	}
	// net/http sets this deadline on a kept connection only after the fourth byte.
	if err := c.SetReadDeadline(time.Now().Add(headerTimeout)); err != nil {
		return 0, err
	}
	return n, err
}

// begin makes an idle connection busy. It returns false if the host has closed the connection.
func (c *callerConn) begin() bool {
	return c.state.CompareAndSwap(connIdle, connBusy) || c.state.Load() == connBusy
}

// end makes a busy connection idle. It returns false if the host has closed the connection.
func (c *callerConn) end() bool { return c.state.CompareAndSwap(connBusy, connIdle) }

// closeIdle closes the connection unless bytes of a request have arrived, and reports whether it did.
func (c *callerConn) closeIdle() bool {
	if relay.HasUnreadBytes(c.Conn) || !c.state.CompareAndSwap(connIdle, connClosed) {
		return false
	}
	// The connection is dropped, so an error changes nothing.
	_ = c.Close()
	return true
}

// CloseWrite shuts down the writing side of a TCP connection. net/http calls it after refusing a request
// that it has not read whole, as the caller would otherwise get a reset instead of the refusal.
func (c *callerConn) CloseWrite() error {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		return tcp.CloseWrite()
	}
	return nil
}

// callerListener accepts the connections that callerConns tracks.
type callerListener struct {
	net.Listener
	conns *callerConns
}

// Accept returns the next connection as a *callerConn.
func (l callerListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return l.conns.newConn(conn), nil
}
