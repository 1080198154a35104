package entry

import (
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
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
	hasRead     atomic.Bool
}

// Read reads at once.
func (c *delayedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.hasRead.Store(true)
	}
	return n, err
}

// SetReadDeadline takes the time before the handling, since the first bytes of a request set a deadline.
func (c *delayedConn) SetReadDeadline(deadline time.Time) error {
	if c.hasRead.Load() && time.Until(deadline) == headerTimeout {
		time.Sleep(c.read)
	}
	return c.Conn.SetReadDeadline(deadline)
}

// Write writes late.
func (c *delayedConn) Write(p []byte) (int, error) {
	time.Sleep(c.write)
	return c.Conn.Write(p)
}

// A slowHost is the only host of a fleet, with slow connections.
type slowHost struct {
	*testHost
	client *http.Client
	// work is the time that upstreams take for each request.
	work atomic.Int64
}

// runSlowHost runs a test with a slowHost that has served a request.
func runSlowHost(t *testing.T, read, write time.Duration, test func(t *testing.T, h *slowHost)) {
	runFleet(t, 1, func(t *testing.T, f *testFleet) {
		h := &slowHost{testHost: f.hosts[0]}
		f.hosts = nil
		// Accepting ends only with this, as closing these listeners does nothing.
		f.net.Kill(h.callerAddress)
		f.net.Kill(h.peerAddress)
		listener := newDelayedListener(read, write)
		h.client = &http.Client{Transport: &http.Transport{DialContext: listener.dial}}
		defer h.client.CloseIdleConnections()
		go func() { _ = h.callerServer.Serve(h.conns.listen(listener)) }()
		for _, u := range f.runners {
			u.SetBehavior(func(http.ResponseWriter, *http.Request, []byte) bool {
				time.Sleep(time.Duration(h.work.Load()))
				return false
			})
		}
		status, err := h.call(t, "first")
		test(t, h)
		require.NoError(t, err)
		require.Equal(t, http.StatusOK, status)
	})
}

// call sends a request and returns the status of the response once it is complete.
func (h *slowHost) call(t *testing.T, id string) (status int, err error) {
	req, err := standin.Caller{Address: h.callerAddress, Host: "a.example", Key: "key-1", Timeout: 10 * time.Second}.Request(t.Context(), http.MethodPost, "/slow/x", id, "body")
	require.NoError(t, err)
	resp, err := h.client.Do(req)
	if err != nil {
		return 0, err
	}
	_, err = io.ReadAll(resp.Body)
	return resp.StatusCode, err
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
			runSlowHost(t, test.read, test.write, func(t *testing.T, h *slowHost) {
				h.work.Store(int64(test.work))
				stopped := make(chan error)
				go func() { stopped <- h.Stop() }()
				time.Sleep(test.sentAt)
				status, err := h.call(t, "second")
				require.NoError(t, <-stopped)
				require.NoError(t, err)
				require.Equal(t, test.status, status)
			})
		})
	}
}

// Guards against a host at the end of its grace period that drops a request which it has read and not begun to handle,
// as it waits for others.
func TestStopAnswersLastRequest(t *testing.T) {
	runSlowHost(t, 100*time.Millisecond, 0, func(t *testing.T, h *slowHost) {
		h.work.Store(int64(8 * time.Second))
		deadline := h.bounds.Load().GracePeriod - abortMargin
		stopped := make(chan error)
		go func() { stopped <- h.Stop() }()
		time.Sleep(balancerDrainDelay - time.Second)
		var waiting sync.WaitGroup
		waiting.Go(func() { _, _ = h.call(t, "waits") })
		time.Sleep(deadline - balancerDrainDelay + time.Second - 50*time.Millisecond)
		status, err := h.call(t, "last")
		require.NoError(t, <-stopped)
		waiting.Wait()
		time.Sleep(8 * time.Second)
		require.NoError(t, err)
		require.Equal(t, http.StatusServiceUnavailable, status)
	})
}
