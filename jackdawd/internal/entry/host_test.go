package entry

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"jackdawhinge/jackdawd/internal/relay"
)

// Callers disconnect before the server accepts their connections. The handler must see each of them
// as disconnected, and a caller that waits for its response as connected.
func TestHandlerDetectsDisconnectedCallers(t *testing.T) {
	const callers = 20
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	for i := range callers {
		conn, err := net.Dial("tcp", listener.Addr().String())
		require.NoError(t, err)
		_, err = fmt.Fprintf(conn, "GET /%d HTTP/1.1\r\nHost: a.example\r\n\r\n", i)
		require.NoError(t, err)
		require.NoError(t, conn.Close())
	}
	disconnected := make(chan bool, callers)
	conns := newCallerConns(callers, func() time.Duration { return testIdleTimeout }, nil)
	server := newCallerServer(listener.Addr().String(), http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		disconnected <- relay.HasDisconnected(r.Context())
		_, _ = io.WriteString(w, "answer")
	}), conns)
	go func() { _ = server.Serve(conns.listen(listener)) }()
	for range callers {
		require.True(t, <-disconnected)
	}
	resp, err := http.Get("http://" + listener.Addr().String())
	require.NoError(t, err)
	require.NoError(t, resp.Body.Close())
	require.False(t, <-disconnected)
	require.NoError(t, server.Close())
}

// Guards against a success that no upstream has signed: the HTTP library answers OPTIONS * by itself.
func TestOptionsOfServerIsRefused(t *testing.T) {
	runFleet(t, 1, func(t *testing.T, f *testFleet) {
		conn, err := f.net.Dial(t.Context(), "tcp", f.hosts[0].callerAddress)
		require.NoError(t, err)
		_, err = io.WriteString(conn, "OPTIONS * HTTP/1.1\r\nHost: a.example\r\nAuthorization: Bearer key-1\r\nConnection: close\r\n\r\n")
		require.NoError(t, err)
		require.Equal(t, http.StatusNotFound, readResponse(t, conn))
	})
}
