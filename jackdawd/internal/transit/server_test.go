package transit

import (
	"bufio"
	"io"
	"net"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"
)

// tcpPair returns both ends of a TCP connection.
func tcpPair(t *testing.T) (near, far net.Conn) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = listener.Close() }()
	near, err = net.Dial("tcp", listener.Addr().String())
	require.NoError(t, err)
	far, err = listener.Accept()
	require.NoError(t, err)
	t.Cleanup(func() { closeBoth(near, far) })
	return near, far
}

// Guards against a response that is lost or looks complete because its upstream resets the connection after it, while
// a long request is still sent.
func TestResponseBeforeResetPasses(t *testing.T) {
	host, peer := tcpPair(t)
	near, upstream := tcpPair(t)
	tunnel := &tunnel{peer: peer, upstream: near}
	var copying sync.WaitGroup
	copying.Go(tunnel.copyRequests)
	copying.Go(tunnel.copyResponses)
	copying.Go(func() { _, _ = host.Write(make([]byte, 64<<20)) })
	_, err := io.ReadFull(upstream, make([]byte, 100))
	require.NoError(t, err)
	_, err = io.WriteString(upstream, "response")
	require.NoError(t, err)
	conn, response := &Conn{Conn: host, reader: bufio.NewReader(host)}, make([]byte, len("response"))
	_, err = io.ReadFull(conn, response)
	require.NoError(t, err)
	require.Equal(t, "response", string(response))
	require.NoError(t, upstream.(*net.TCPConn).SetLinger(0))
	require.NoError(t, upstream.Close())
	_, err = conn.Read(response)
	require.ErrorIs(t, err, io.ErrUnexpectedEOF)
	require.NoError(t, host.Close())
	copying.Wait()
}
