package wire

import (
	"errors"
	"fmt"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// minKeepAliveProbes is how many probes of an idle connection at least may stay unanswered until it ends.
const minKeepAliveProbes = 2

// checksPerSilence is how often a connection is checked within the time for which its peer may be silent.
const checksPerSilence = 8

// NewDialer returns a dialer for TCP whose connections end once the peer has acknowledged nothing for
// a time, be it data or probes of an idle connection; connect bounds the time to open them. The kernel
// counts keep-alive times in whole seconds.
func NewDialer(connect, silence time.Duration) *net.Dialer {
	return &net.Dialer{
		Timeout: connect, KeepAliveConfig: keepAlive(silence),
		Control: func(_, _ string, c syscall.RawConn) error { return setUserTimeout(c, silence) },
	}
}

// LimitSilence makes an accepted connection end once the peer has acknowledged nothing for a time, neither data nor
// probes. A peer that only does not read is not silent, other than for TCP_USER_TIMEOUT, which also ends a connection
// whose window stays closed. It does nothing if the connection is not over TCP.
func LimitSilence(conn net.Conn, silence time.Duration) error {
	tcp, ok := conn.(*net.TCPConn)
	if !ok {
		return nil
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return fmt.Errorf("limit silence: %w", err)
	}
	if err := tcp.SetKeepAliveConfig(keepAlive(silence)); err != nil {
		return fmt.Errorf("limit silence: %w", err)
	}
	watchSilence(tcp, raw, silence)
	return nil
}

// watchSilence closes a connection once its peer is silent. The kernel's keep-alive does so only while nothing is
// outstanding.
func watchSilence(conn *net.TCPConn, raw syscall.RawConn, silence time.Duration) {
	w := &silenceWatch{silence: silence}
	var check func()
	check = func() {
		info, err := tcpInfo(raw)
		if err != nil {
			// The connection is closed.
			return
		}
		if w.isSilent(info) {
			_ = conn.Close()
			return
		}
		time.AfterFunc(silence/checksPerSilence, check)
	}
	time.AfterFunc(silence/checksPerSilence, check)
}

// tcpInfo returns what the kernel knows of a connection.
func tcpInfo(raw syscall.RawConn) (info *unix.TCPInfo, err error) {
	controlErr := raw.Control(func(fd uintptr) { info, err = unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO) })
	return info, errors.Join(controlErr, err)
}

// A silenceWatch finds out whether the peer of a connection is silent.
type silenceWatch struct {
	silence time.Duration
	// unanswered is how many of the latest checks in a row found something that the peer had not acknowledged.
	unanswered int
}

// isSilent reports whether the peer is silent. The age of its last acknowledgement does not tell: there may have been
// nothing to acknowledge since, and the kernel sends few probes to a peer that has not read for long.
func (w *silenceWatch) isSilent(info *unix.TCPInfo) bool {
	if info.Unacked == 0 && info.Probes == 0 {
		w.unanswered = 0
		return false
	}
	w.unanswered++
	return w.unanswered > checksPerSilence && time.Duration(info.Last_ack_recv)*time.Millisecond >= w.silence
}

// keepAlive returns settings by which probes give up after the same time as TCP_USER_TIMEOUT. That
// decides whatever the number of probes is, so a longer time here would not hold. A connection ends once as many probes
// in a row are lost, so it outlives losses of up to the time between the first and the last one.
func keepAlive(silence time.Duration) net.KeepAliveConfig {
	step := (silence / (minKeepAliveProbes + 1)).Truncate(time.Second)
	step = max(step, time.Second)
	return net.KeepAliveConfig{Enable: true, Idle: step, Interval: step, Count: max(int(silence/step)-1, 1)}
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
