package exchange

import (
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"

	"jackdawhinge/common/wire"
)

// Guards against connections of silent upstreams that end because packets are lost for 1.5 s: the kernel ends one once
// all of its keep-alive probes in a row were lost.
func TestConnectionsOutliveLostPackets(t *testing.T) {
	const loss = 1500 * time.Millisecond
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = listener.Close() }()
	dialled, err := NewDialer().DialContext(t.Context(), "tcp", listener.Addr().String())
	require.NoError(t, err)
	defer func() { _ = dialled.Close() }()
	accepted, err := listener.Accept()
	require.NoError(t, err)
	defer func() { _ = accepted.Close() }()
	require.NoError(t, wire.LimitSilence(accepted, maxSilence))
	for name, conn := range map[string]net.Conn{"dialled": dialled, "accepted": accepted} {
		t.Run(name, func(t *testing.T) {
			raw, err := conn.(*net.TCPConn).SyscallConn()
			require.NoError(t, err)
			require.NoError(t, raw.Control(func(fd uintptr) {
				probes, err := unix.GetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_KEEPCNT)
				require.NoError(t, err)
				interval, err := unix.GetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_KEEPINTVL)
				require.NoError(t, err)
				require.Greater(t, time.Duration((probes-1)*interval)*time.Second, loss)
			}))
		})
	}
}
