package entry

import (
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"jackdawhinge/platform/standin"
)

// A delayedListener accepts connections in memory that are slow, as on a host without processor time.
type delayedListener struct {
	conns chan net.Conn
	done  chan struct{}
	close func()
	// read is the time between the arrival of a request and its handling, write the time between the end of its
	// handling and the response.
	read, write time.Duration
}

func newDelayedListener(read, write time.Duration) *delayedListener {
	done := make(chan struct{})
	return &delayedListener{make(chan net.Conn), done, sync.OnceFunc(func() { close(done) }), read, write}
}

// dial connects to the listener.
func (l *delayedListener) dial(context.Context, string, string) (net.Conn, error) {
	near, far := net.Pipe()
	select {
	case l.conns <- &delayedConn{Conn: far, read: l.read, write: l.write}:
		return near, nil
	case <-l.done:
		return nil, net.ErrClosed
	}
}

// Accept returns the next connection.
func (l *delayedListener) Accept() (net.Conn, error) {
	select {
	case conn := <-l.conns:
		return conn, nil
	case <-l.done:
		return nil, net.ErrClosed
	}
}

// Close ends Accept.
func (l *delayedListener) Close() error {
	l.close()
	return nil
}

// Addr returns an empty address.
func (l *delayedListener) Addr() net.Addr { return &net.TCPAddr{} }

type delayedConn struct {
	net.Conn
	read, write time.Duration
	hasRead     bool
}

// Read reads at once.
func (c *delayedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.hasRead = c.hasRead || n > 0
	return n, err
}

// SetReadDeadline takes the time before the handling, since the first bytes of a request set a deadline.
func (c *delayedConn) SetReadDeadline(deadline time.Time) error {
	if c.hasRead && time.Until(deadline) == headerTimeout {
		time.Sleep(c.read)
	}
	return c.Conn.SetReadDeadline(deadline)
}

// Write writes late.
func (c *delayedConn) Write(p []byte) (int, error) {
	time.Sleep(c.write)
	return c.Conn.Write(p)
}

// Guards against a host that stops although it has read a request that it has not begun to handle, or has handled one
// whose response is not written: neither counts as in progress.
func TestStopWaitsForConnections(t *testing.T) {
	const delay = 200 * time.Millisecond
	for name, test := range map[string]struct {
		read, write time.Duration
		// sentAt is when the request is sent, after the stop has begun; its upstream takes the time work.
		sentAt, work time.Duration
		status       int
	}{
		"request is not handled yet":  {delay, 0, balancerDrainDelay, 0, http.StatusServiceUnavailable},
		"response is not written yet": {0, delay, time.Second, balancerDrainDelay - time.Second + delay, http.StatusOK},
	} {
		t.Run(name, func(t *testing.T) {
			runFleet(t, 1, func(t *testing.T, f *testFleet) {
				h := f.hosts[0]
				f.hosts = nil
				// Accepting ends only with this, as closing these listeners does nothing.
				f.net.Kill(h.callerAddress)
				f.net.Kill(h.peerAddress)
				listener := newDelayedListener(test.read, test.write)
				client := &http.Client{Transport: &http.Transport{DialContext: listener.dial}}
				defer client.CloseIdleConnections()
				go func() { _ = h.callerServer.Serve(h.conns.listen(listener)) }()
				work := time.Duration(0)
				for _, u := range f.runners {
					u.SetBehavior(func(http.ResponseWriter, *http.Request, []byte) bool {
						time.Sleep(work)
						return false
					})
				}
				call := func(id string) (status int, err error) {
					req, err := standin.Caller{Address: h.callerAddress, Host: "a.example", Key: "key-1", Timeout: 4 * time.Second}.Request(t.Context(), http.MethodPost, "/notice/x", id, "body")
					require.NoError(t, err)
					resp, err := client.Do(req)
					if err != nil {
						return 0, err
					}
					_, err = io.ReadAll(resp.Body)
					return resp.StatusCode, err
				}
				before, errBefore := call("r1")
				work = test.work
				stopped := make(chan error)
				go func() { stopped <- h.Stop() }()
				time.Sleep(test.sentAt)
				status, err := call("r2")
				require.NoError(t, <-stopped)
				require.NoError(t, errBefore)
				require.Equal(t, http.StatusOK, before)
				require.NoError(t, err)
				require.Equal(t, test.status, status)
			})
		})
	}
}
