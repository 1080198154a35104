package peers

import (
	"context"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// A call outlasts its context while the other side reads nothing.
func TestCallEndsWhileNothingIsRead(t *testing.T) {
	for name, reads := range map[string]int{"proof": 0, "request": len(Client{}.proof)} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				near, far := net.Pipe()
				defer func() { require.NoError(t, far.Close()) }()
				go func() { _, _ = far.Read(make([]byte, reads)) }()
				c := NewClientOf("secret", func(context.Context, string, string) (net.Conn, error) { return near, nil })
				defer c.Close()
				ctx, cancel := context.WithTimeout(t.Context(), time.Second)
				defer cancel()
				begun := time.Now()
				require.ErrorIs(t, c.Call(ctx, "10.0.0.1:7340", "Fleet.Follow", &struct{ N int }{1}, &struct{ N int }{}), context.DeadlineExceeded)
				require.Equal(t, time.Second, time.Since(begun))
			})
		})
	}
}
