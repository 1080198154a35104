package wire

import (
	"net"
	"slices"
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
	for name, silence := range map[string]time.Duration{"3 s": 3 * time.Second, "4 s": 4 * time.Second, "6 s": 6 * time.Second} {
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
	// during returns what checks see while something is outstanding, beginning age after the last acknowledgement.
	during := func(age, outstanding time.Duration, info unix.TCPInfo) (checks []unix.TCPInfo) {
		for at := time.Duration(0); at <= outstanding; at += silence / checksPerSilence {
			info.Last_ack_recv = uint32((age + at).Milliseconds())
			checks = append(checks, info)
		}
		return checks
	}
	answered := []unix.TCPInfo{{Last_ack_recv: 10}}
	for name, test := range map[string]struct {
		checks []unix.TCPInfo
		want   bool
	}{
		"data unacknowledged":      {during(0, silence, unix.TCPInfo{Unacked: 1}), true},
		"probes unanswered":        {during(6*time.Second, silence, unix.TCPInfo{Probes: 1}), true},
		"packets lost":             {slices.Concat(during(0, 1500*time.Millisecond, unix.TCPInfo{Unacked: 4}), answered), false},
		"packets lost after pause": {slices.Concat(during(2*time.Second, 2500*time.Millisecond, unix.TCPInfo{Unacked: 4}), answered), false},
		"idle":                     {during(time.Second, time.Minute, unix.TCPInfo{}), false},
		"does not read":            {slices.Concat(during(6*time.Second, 0, unix.TCPInfo{Probes: 1}), answered, during(12*time.Second, 0, unix.TCPInfo{Probes: 1}), answered), false},
		"sends all the time":       {slices.Repeat([]unix.TCPInfo{{Unacked: 9, Last_ack_recv: 1}}, 100), false},
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
