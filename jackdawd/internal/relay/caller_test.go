package relay

import (
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// connect returns both ends of a connection.
func connect(t *testing.T) (server, client *net.TCPConn) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = l.Close() }()
	dialed, err := net.Dial("tcp", l.Addr().String())
	require.NoError(t, err)
	accepted, err := l.Accept()
	require.NoError(t, err)
	t.Cleanup(func() { _, _ = accepted.Close(), dialed.Close() })
	return accepted.(*net.TCPConn), dialed.(*net.TCPConn)
}

// A caller leaves while its connection waits to be accepted, and its request is sent to an upstream all the same.
func TestRequestsOfCallersThatLeftAreNotSent(t *testing.T) {
	for name, test := range map[string]struct {
		leave func(server, client *net.TCPConn) error
		sent  int
	}{
		"the caller waits":          {func(_, _ *net.TCPConn) error { return nil }, 1},
		"the caller sends the next": {func(_, client *net.TCPConn) error { _, err := client.Write([]byte("G")); return err }, 1},
		"the caller has closed":     {func(_, client *net.TCPConn) error { return client.Close() }, 0},
		"the caller has reset": {func(_, client *net.TCPConn) error {
			if err := client.SetLinger(0); err != nil {
				return err
			}
			return client.Close()
		}, 0},
		"this host has closed": {func(server, _ *net.TCPConn) error { return server.Close() }, 0},
	} {
		t.Run(name, func(t *testing.T) {
			server, client := connect(t)
			require.NoError(t, test.leave(server, client))
			run(t, []string{"mailbox-1"}, func(t *testing.T, f *fixture) {
				r, err := caller.Request(t.Context(), http.MethodGet, "/scan/x", "r-1", "")
				require.NoError(t, err)
				r.RequestURI = "/scan/x"
				r = r.WithContext(WithConn(t.Context(), server))
				serve := func() { f.handler.ServeHTTP(&writerWithDeadlines{httptest.NewRecorder()}, r) }
				if test.sent == 0 {
					require.PanicsWithError(t, http.ErrAbortHandler.Error(), serve)
					require.Equal(t, Left, f.journal.last().Outcome)
				} else {
					serve()
				}
				require.Len(t, f.runners["mailbox-1"].Runs(), test.sent)
			})
		})
	}
}

// writerWithDeadlines is a recorder that takes deadlines as a connection does.
type writerWithDeadlines struct{ *httptest.ResponseRecorder }

// SetWriteDeadline does nothing.
func (*writerWithDeadlines) SetWriteDeadline(time.Time) error { return nil }
