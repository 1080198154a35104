package relay

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"jackdawhinge/platform/standin"
)

// tcpPair returns both ends of a TCP connection.
func tcpPair(t *testing.T) (server, client *net.TCPConn) {
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

// A caller that disconnects while its connection waits to be accepted must not have its request
// sent to an upstream.
func TestRequestOfDisconnectedCallerIsNotForwarded(t *testing.T) {
	for name, test := range map[string]struct {
		disconnect func(server, client *net.TCPConn) error
		wantRuns   int
	}{
		"connected":                    {func(_, _ *net.TCPConn) error { return nil }, 1},
		"connected, pipelined request": {func(_, client *net.TCPConn) error { _, err := client.Write([]byte("G")); return err }, 1},
		"closed by caller":             {func(_, client *net.TCPConn) error { return client.Close() }, 0},
		"reset by caller": {func(_, client *net.TCPConn) error {
			if err := client.SetLinger(0); err != nil {
				return err
			}
			return client.Close()
		}, 0},
		"closed by host": {func(server, _ *net.TCPConn) error { return server.Close() }, 0},
	} {
		t.Run(name, func(t *testing.T) {
			server, client := tcpPair(t)
			require.NoError(t, test.disconnect(server, client))
			runFixture(t, []string{"mailbox-1"}, func(t *testing.T, f *fixture) {
				r, err := testCaller.Request(t.Context(), http.MethodGet, "/scan/x", "r-1", "")
				require.NoError(t, err)
				r.RequestURI = "/scan/x"
				r = r.WithContext(WithConn(t.Context(), server))
				serve := func() { f.handler.ServeHTTP(&deadlineRecorder{httptest.NewRecorder()}, r) }
				if test.wantRuns == 0 {
					require.PanicsWithError(t, http.ErrAbortHandler.Error(), serve)
					require.Equal(t, CallerLeft, f.recorder.lastRecord().Outcome)
				} else {
					serve()
				}
				require.Len(t, f.runners["mailbox-1"].Runs(), test.wantRuns)
			})
		})
	}
}

// A deadlineRecorder is a ResponseRecorder that accepts write deadlines.
type deadlineRecorder struct{ *httptest.ResponseRecorder }

// SetWriteDeadline does nothing.
func (*deadlineRecorder) SetWriteDeadline(time.Time) error { return nil }

// Guards against a caller that reads and counts as one that does not.
func TestAcknowledgedBytesGrowAsCallerReads(t *testing.T) {
	server, client := tcpPair(t)
	ctx := WithConn(t.Context(), server)
	for range 3 {
		before := acknowledgedBytes(ctx)
		_, err := server.Write(make([]byte, 100))
		require.NoError(t, err)
		_, err = io.ReadFull(client, make([]byte, 100))
		require.NoError(t, err)
		// The reply carries the acknowledgement.
		_, err = client.Write([]byte("r"))
		require.NoError(t, err)
		_, err = io.ReadFull(server, make([]byte, 1))
		require.NoError(t, err)
		require.GreaterOrEqual(t, acknowledgedBytes(ctx), before+100)
	}
	require.Zero(t, acknowledgedBytes(t.Context()), "a connection in memory")
}

// Guards against a caller that waits but counts as gone: for what it sends on after its request, or as the read deadline
// of an earlier body on its connection passes.
func TestWaitingCallerIsNotGone(t *testing.T) {
	for name, pause := range map[string]time.Duration{"pipelined": 0, "after an earlier deadline": 1700 * time.Millisecond} {
		t.Run(name, func(t *testing.T) {
			runFixture(t, []string{"mailbox-1"}, func(t *testing.T, f *fixture) {
				f.setBehaviors(func(*standin.Runner) standin.Behavior {
					return func(http.ResponseWriter, *http.Request, []byte) bool {
						time.Sleep(1500 * time.Millisecond)
						return false
					}
				})
				conn, err := f.net.Dial(t.Context(), "tcp", listenAddress)
				require.NoError(t, err)
				defer func() { _ = conn.Close() }()
				reader := bufio.NewReader(conn)
				go func() {
					for _, id := range []string{"r1", "r2", "r3"} {
						_ = f.request(http.MethodPost, "/notice/x", id, "body").Write(conn)
						time.Sleep(pause)
					}
				}()
				for range 3 {
					resp, err := http.ReadResponse(reader, nil)
					require.NoError(t, err)
					_, err = io.Copy(io.Discard, resp.Body)
					require.NoError(t, err)
					require.Equal(t, http.StatusOK, resp.StatusCode)
				}
			})
		})
	}
}
