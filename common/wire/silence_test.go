package wire

import (
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"
)

// socketTimes are the times of a connection that decide when a silent peer counts as dead.
type socketTimes struct{ user, idle, interval, probes int }

func timesOf(t *testing.T, conn net.Conn) socketTimes {
	raw, err := conn.(*net.TCPConn).SyscallConn()
	require.NoError(t, err)
	var times socketTimes
	err = raw.Control(func(fd uintptr) {
		for option, value := range map[int]*int{unix.TCP_USER_TIMEOUT: &times.user, unix.TCP_KEEPIDLE: &times.idle, unix.TCP_KEEPINTVL: &times.interval, unix.TCP_KEEPCNT: &times.probes} {
			var err error
			*value, err = unix.GetsockoptInt(int(fd), unix.IPPROTO_TCP, option)
			require.NoError(t, err)
		}
	})
	require.NoError(t, err)
	return times
}

// TCP_USER_TIMEOUT decides when probes of an idle connection give up, whatever their count. If both
// times differ, a dead peer is found earlier or later than the code says.
func TestUserTimeoutAndProbesAgree(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { require.NoError(t, listener.Close()) }()
	for name, silence := range map[string]time.Duration{"3 s": 3 * time.Second, "6 s": 6 * time.Second} {
		t.Run(name, func(t *testing.T) {
			dialled, err := NewDialer(time.Second, silence).DialContext(t.Context(), "tcp", listener.Addr().String())
			require.NoError(t, err)
			defer func() { _ = dialled.Close() }()
			accepted, err := listener.Accept()
			require.NoError(t, err)
			defer func() { _ = accepted.Close() }()
			require.NoError(t, LimitSilence(accepted, silence))
			for _, conn := range []net.Conn{dialled, accepted} {
				times := timesOf(t, conn)
				require.Equal(t, int(silence.Milliseconds()), times.user)
				require.Equal(t, silence, time.Duration(times.idle+times.interval*times.probes)*time.Second)
			}
		})
	}
}

// Probes of a connection with a short limit must not come later than the limit.
func TestFirstProbeComesBeforeLimit(t *testing.T) {
	require.LessOrEqual(t, keepAlive(2*time.Second).Idle, 2*time.Second)
}

func TestSilenceOfOtherConnectionsIsNotLimited(t *testing.T) {
	near, far := net.Pipe()
	defer func() { _, _ = near.Close(), far.Close() }()
	require.NoError(t, LimitSilence(near, time.Second))
}
