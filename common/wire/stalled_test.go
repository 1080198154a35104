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
	const size, probes = 16 << 20, 3
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { require.NoError(t, listener.Close()) }()
	peer, err := net.Dial("tcp", listener.Addr().String())
	require.NoError(t, err)
	defer func() { _ = peer.Close() }()
	conn, err := listener.Accept()
	require.NoError(t, err)
	require.NoError(t, LimitSilence(conn, time.Second))
	written := make(chan error, 1)
	go func() {
		_, err := conn.Write(make([]byte, size))
		written <- err
	}()
	raw, err := conn.(*net.TCPConn).SyscallConn()
	require.NoError(t, err)
	// The kernel probes the closed window of the peer after 0.2, 0.6 and 1.4 s. That of the peer leaves a probe
	// unanswered that comes within half a second of the one before.
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
