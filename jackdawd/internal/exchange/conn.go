package exchange

import (
	"bufio"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"jackdawhinge/common/traffic"
)

const (
	// dialTimeout is how long a connection may take to be made. Hosts are a few
	// milliseconds apart; past this the packets are lost or the upstream is dark.
	dialTimeout = 700 * time.Millisecond
	// unackedTimeout ends a connection whose packets the other side does not
	// acknowledge: an upstream behind a partition would else hold the request
	// until its deadline.
	unackedTimeout = 3 * time.Second
	// probeAfter and probeEvery find a connection that went silent without a reset
	// while nothing is being sent on it, after about five seconds.
	probeAfter = 2 * time.Second
	probeEvery = time.Second
	probeCount = 3
)

// conn is one connection to an upstream.
type conn struct {
	net.Conn
	reader  *bufio.Reader
	address string
	// upstream is the start that it was opened to.
	upstream traffic.Start
	used     bool
	// idleSince and idleFor say when the connection was put back and how long it may be kept.
	idleSince time.Time
	idleFor   time.Duration
}

func newDialer() *net.Dialer {
	return &net.Dialer{
		Timeout: dialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: probeAfter, Interval: probeEvery, Count: probeCount,
		},
		Control: func(_, _ string, c syscall.RawConn) error {
			var failed error
			err := c.Control(func(fd uintptr) {
				failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unackedTimeout.Milliseconds()))
			})
			if err != nil {
				return err
			}
			return failed
		},
	}
}

// quiet reports whether an idle connection is still open and has nothing to
// read. Bytes that came unasked belong to no request, and an end that has
// arrived would break the next one.
func (c *conn) quiet() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	s, ok := c.Conn.(syscall.Conn)
	if !ok {
		// Connections of tests have no descriptor; they are checked by reading alone.
		return true
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = raw.Control(func(fd uintptr) {
		var one [1]byte
		_, _, err := unix.Recvfrom(int(fd), one[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		quiet = err == unix.EAGAIN
	})
	return err == nil && quiet
}
