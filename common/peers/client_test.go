package peers

import (
	"context"
	"io"
	"net"
	"net/rpc"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// A write blocks while the server reads nothing, so that the call would outlast its context.
func TestCallReturnsAtDeadlineWhileServerReadsNothing(t *testing.T) {
	for name, bytesRead := range map[string]int{"secret hash": 0, "request": len(Client{}.secretHash)} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				clientConn, serverConn := net.Pipe()
				defer func() { require.NoError(t, serverConn.Close()) }()
				go func() { _, _ = serverConn.Read(make([]byte, bytesRead)) }()
				c := NewClientWithDialer("secret", func(context.Context, string, string) (net.Conn, error) { return clientConn, nil })
				defer c.Close()
				ctx, cancel := context.WithTimeout(t.Context(), time.Second)
				defer cancel()
				start := time.Now()
				require.ErrorIs(t, c.Call(ctx, "10.0.0.1:7340", "Fleet.Follow", &struct{ N int }{1}, &struct{ N int }{}), context.DeadlineExceeded)
				require.Equal(t, time.Second, time.Since(start))
			})
		})
	}
}

// A lateClosedConn stays open when it is closed, as one does on which a reply is just being read.
type lateClosedConn struct{ net.Conn }

// Close does nothing.
func (lateClosedConn) Close() error { return nil }

// A slowService replies after a second.
type slowService struct{}

// Count replies with a number.
func (slowService) Count(_ *Empty, reply *struct{ N int }) error {
	time.Sleep(time.Second)
	reply.N = 7
	return nil
}

// Guards against a reply that changes after its call has failed, while its owner reads it.
func TestReplyOfFailedCallIsUnchanged(t *testing.T) {
	for name, test := range map[string]struct {
		timeout time.Duration
		want    int
	}{
		"call fails":    {900 * time.Millisecond, 3},
		"call succeeds": {1100 * time.Millisecond, 7},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				clientConn, serverConn := net.Pipe()
				server := rpc.NewServer()
				require.NoError(t, server.RegisterName("Slow", slowService{}))
				go func() {
					_, _ = io.ReadFull(serverConn, make([]byte, len(Client{}.secretHash)))
					server.ServeConn(serverConn)
				}()
				c := NewClientWithDialer("secret", func(context.Context, string, string) (net.Conn, error) { return lateClosedConn{clientConn}, nil })
				ctx, cancel := context.WithTimeout(t.Context(), test.timeout)
				defer cancel()
				reply := struct{ N int }{3}
				err := c.Call(ctx, "10.0.0.1:7340", "Slow.Count", &Empty{}, &reply)
				require.Equal(t, test.want == 3, err != nil)
				time.Sleep(time.Second)
				require.Equal(t, test.want, reply.N)
				_ = clientConn.Close()
			})
		})
	}
}
