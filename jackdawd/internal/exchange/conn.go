package exchange

import (
	"bufio"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"jackdawhinge/common/traffic"
	"jackdawhinge/common/wire"
)

const (
	// dialTimeout bounds the time to open a connection. Hosts are a few milliseconds apart, so a
	// longer time means that packets are lost or the upstream is unreachable.
	dialTimeout = 700 * time.Millisecond
	// maxSilence ends a connection whose peer acknowledges nothing, neither data nor keep-alive
	// probes. Without it a request to an upstream behind a network partition would wait until its
	// deadline. Packets are lost for 1.5 s at times; the kernel probes once a second, so that it needs three
	// probes to outlive that.
	maxSilence = 4 * time.Second
)

// conn is one connection to an upstream.
type conn struct {
	net.Conn
	// reader buffers input.
	reader  *bufio.Reader
	input   *input
	address string
	// upstream is the instance of the upstream to which the connection was opened.
	upstream traffic.UpstreamInstance
	// used is set once the connection has served a request.
	used bool
	// idleSince is when the connection was put back, maxIdle how long it may stay idle.
	idleSince time.Time
	maxIdle   time.Duration
}

// NewDialer returns a dialer for connections to upstreams over TCP.
func NewDialer() *net.Dialer { return wire.NewDialer(dialTimeout, maxSilence) }

// A relayedConn is a connection through another host, which frames what the upstream sends.
type relayedConn interface {
	// Peer returns the name of the other host.
	Peer() string
	// NetConn returns the connection to it.
	NetConn() net.Conn
	// Reusable reports whether another request may be sent.
	Reusable() bool
	// ReportTimeout records that a response did not come in time.
	ReportTimeout()
}

// peer returns the name of the host that the connection leads through; empty for none.
func (c *conn) peer() string {
	if relayed, ok := c.Conn.(relayedConn); ok {
		return relayed.Peer()
	}
	return ""
}

// reusable reports whether an idle connection is still open and has nothing to read. Unsolicited
// bytes belong to no request, and a connection that the peer has closed would fail the next one.
func (c *conn) reusable() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	raw := c.Conn
	if relayed, ok := c.Conn.(relayedConn); ok {
		if !relayed.Reusable() {
			return false
		}
		raw = relayed.NetConn()
	}
	s, ok := raw.(syscall.Conn)
	if !ok {
		// Connections in tests have no descriptor; only their buffer is checked.
		return true
	}
	descriptor, err := s.SyscallConn()
	if err != nil {
		return false
	}
	nothingToRead := false
	err = descriptor.Control(func(fd uintptr) {
		var one [1]byte
		_, _, err := unix.Recvfrom(int(fd), one[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		nothingToRead = err == unix.EAGAIN
	})
	return err == nil && nothingToRead
}
