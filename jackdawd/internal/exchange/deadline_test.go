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

// closing is a connection that takes no deadlines once something has come on it, as one
// in memory does when the other side has closed it meanwhile.
type closing struct {
	net.Conn
	read atomic.Bool
}

// Read reads.
func (c *closing) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.read.Store(c.read.Load() || n > 0)
	return n, err
}

// SetReadDeadline fails after the first read.
func (c *closing) SetReadDeadline(t time.Time) error {
	if c.read.Load() {
		return io.ErrClosedPipe
	}
	return c.Conn.SetReadDeadline(t)
}

// An upstream answers and closes at once, so that the connection is already closed when
// the time for the rest of the answer is set. The answer has come, and counts.
func TestAnswerThatCameBeforeTheCloseCounts(t *testing.T) {
	address, conns := upstream(t)
	client := NewClient(platform.Protocol{}, func(_ context.Context, network, address string) (net.Conn, error) {
		c, err := net.Dial(network, address)
		return &closing{Conn: c}, err
	})
	defer client.Close()
	answered := make(chan struct{})
	go func() {
		defer close(answered)
		c := <-conns
		answerTo(t, c, bufio.NewReader(c))
	}()
	one := call(address, "r1")
	one.HeadWithin = time.Minute
	a, err := client.Do(t.Context(), one)
	require.NoError(t, err)
	a.SetPatience(time.Minute)
	finish(t, a, err)
	<-answered
}
