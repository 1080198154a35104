package exchange

import (
	"bufio"
	"context"
	"io"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"jackdawhinge/platform"
)

// failingDeadlineConn is a connection on which setting a read deadline fails once data has been
// read, as on a connection in memory whose peer has closed it.
type failingDeadlineConn struct {
	net.Conn
	hasRead atomic.Bool
}

// Read reads and remembers whether any data has been read.
func (c *failingDeadlineConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.hasRead.Store(c.hasRead.Load() || n > 0)
	return n, err
}

// SetReadDeadline fails once data has been read.
func (c *failingDeadlineConn) SetReadDeadline(t time.Time) error {
	if c.hasRead.Load() {
		return io.ErrClosedPipe
	}
	return c.Conn.SetReadDeadline(t)
}

// An upstream responds and closes the connection at once, so that setting the deadline for the rest
// of the response fails. The response has arrived and must be returned.
func TestResponseBeforeCloseIsReturned(t *testing.T) {
	address, conns := listen(t)
	client := NewClient(platform.Protocol{}, func(_ context.Context, network, address string) (net.Conn, error) {
		c, err := net.Dial(network, address)
		return &failingDeadlineConn{Conn: c}, err
	})
	defer client.Close()
	responded := make(chan struct{})
	go func() {
		defer close(responded)
		c := <-conns
		respond(t, c, bufio.NewReader(c))
	}()
	req := newRequest(address, "r1")
	req.HeaderTimeout = time.Minute
	resp, err := client.Do(t.Context(), req)
	require.NoError(t, err)
	resp.SetReadTimeout(time.Minute)
	finish(t, resp, err)
	<-responded
}
