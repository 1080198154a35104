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
// times differ, a dead peer is found earlier or later than the code says. Accepted connections have none.
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
			for conn, user := range map[net.Conn]time.Duration{dialled: silence, accepted: 0} {
				times := timesOf(t, conn)
				require.Equal(t, int(user.Milliseconds()), times.user)
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

// Guards against a dead peer that is not found while data is outstanding, and against a live one that counts as dead.
func TestSilenceOfPeerIsFound(t *testing.T) {
	const silence = 3 * time.Second
	for name, test := range map[string]struct {
		checks []unix.TCPInfo
		want   bool
	}{
		"data unacknowledged":      {[]unix.TCPInfo{{Unacked: 1, Last_ack_recv: 1000}, {Unacked: 1, Last_ack_recv: 2000}, {Unacked: 1, Last_ack_recv: 3000}}, true},
		"probes unanswered":        {[]unix.TCPInfo{{Probes: 1, Last_ack_recv: 6500}, {Probes: 1, Last_ack_recv: 7500}}, true},
		"packets lost for 1.5 s":   {[]unix.TCPInfo{{Unacked: 4, Last_ack_recv: 500}, {Unacked: 4, Last_ack_recv: 1500}, {Unacked: 4, Last_ack_recv: 10}}, false},
		"idle":                     {[]unix.TCPInfo{{Last_ack_recv: 4000}, {Last_ack_recv: 5000}}, false},
		"does not read":            {[]unix.TCPInfo{{Last_ack_recv: 5000}, {Probes: 1, Last_ack_recv: 6400}, {Last_ack_recv: 900}}, false},
		"does not read, far apart": {[]unix.TCPInfo{{Probes: 1, Last_ack_recv: 6400}, {Last_ack_recv: 900}, {Probes: 1, Last_ack_recv: 12800}}, false},
		"sends all the time":       {[]unix.TCPInfo{{Unacked: 9, Last_ack_recv: 1}, {Unacked: 9, Last_ack_recv: 2}, {Unacked: 9, Last_ack_recv: 1}}, false},
	} {
		t.Run(name, func(t *testing.T) {
			w, silent := &silenceWatch{silence: silence}, false
			for _, info := range test.checks {
				silent = silent || w.isSilent(&info)
			}
			require.Equal(t, test.want, silent)
		})
	}
}
