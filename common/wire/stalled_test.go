package wire

import (
	"io"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"
)

// Guards against a connection that ends because its peer does not read for a while: its kernel still answers. A caller
// that reads slowly makes the host before it do so.
func TestPeerThatDoesNotReadIsNotSilent(t *testing.T) {
	const size, probes = 16 << 20, 2
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { require.NoError(t, listener.Close()) }()
	peer, err := net.Dial("tcp", listener.Addr().String())
	require.NoError(t, err)
	defer func() { _ = peer.Close() }()
	conn, err := listener.Accept()
	require.NoError(t, err)
	require.NoError(t, LimitSilence(conn, 50*time.Millisecond))
	written := make(chan error, 1)
	go func() {
		_, err := conn.Write(make([]byte, size))
		written <- err
	}()
	raw, err := conn.(*net.TCPConn).SyscallConn()
	require.NoError(t, err)
	// The kernel probes the peer's closed window after 0.2 s and 0.4 s.
	for answered := 0; answered < probes; {
		var info *unix.TCPInfo
		require.NoError(t, raw.Control(func(fd uintptr) { info, err = unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO) }))
		require.NoError(t, err)
		require.Equal(t, uint8(unix.BPF_TCP_ESTABLISHED), info.State, "the connection has ended")
		answered = int(info.Backoff)
	}
	received := make(chan int64, 1)
	go func() {
		n, _ := io.Copy(io.Discard, peer)
		received <- n
	}()
	require.NoError(t, <-written)
	require.NoError(t, conn.Close())
	require.EqualValues(t, size, <-received)
}
