package wire

import (
	"fmt"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// keepAliveProbes is how many probes of an idle connection may stay unanswered until it ends.
const keepAliveProbes = 2

// NewDialer returns a dialer for TCP whose connections end once the peer has acknowledged nothing for
// a time, be it data or probes of an idle connection; connect bounds the time to open them. The kernel
// counts keep-alive times in whole seconds.
func NewDialer(connect, silence time.Duration) *net.Dialer {
	return &net.Dialer{
		Timeout: connect, KeepAliveConfig: keepAlive(silence),
		Control: func(_, _ string, c syscall.RawConn) error { return setUserTimeout(c, silence) },
	}
}

// LimitSilence makes an accepted connection end once the peer has acknowledged nothing for a time. It
// does nothing if the connection is not over TCP.
func LimitSilence(conn net.Conn, silence time.Duration) error {
	tcp, ok := conn.(*net.TCPConn)
	if !ok {
		return nil
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return fmt.Errorf("limit silence: %w", err)
	}
	if err := setUserTimeout(raw, silence); err != nil {
		return err
	}
	if err := tcp.SetKeepAliveConfig(keepAlive(silence)); err != nil {
		return fmt.Errorf("limit silence: %w", err)
	}
	return nil
}

// keepAlive returns settings by which probes give up after the same time as TCP_USER_TIMEOUT. That
// decides whatever the number of probes is, so a longer time here would not hold.
func keepAlive(silence time.Duration) net.KeepAliveConfig {
	step := (silence / (keepAliveProbes + 1)).Truncate(time.Second)
	step = max(step, time.Second)
	return net.KeepAliveConfig{Enable: true, Idle: step, Interval: step, Count: keepAliveProbes}
}

// setUserTimeout sets TCP_USER_TIMEOUT.
func setUserTimeout(c syscall.RawConn, d time.Duration) error {
	var sockoptErr error
	err := c.Control(func(fd uintptr) {
		sockoptErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(d.Milliseconds()))
	})
	if err != nil {
		return fmt.Errorf("set TCP_USER_TIMEOUT: %w", err)
	}
	if sockoptErr != nil {
		return fmt.Errorf("set TCP_USER_TIMEOUT: %w", sockoptErr)
	}
	return nil
}
