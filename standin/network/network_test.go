package network

import (
	"context"
	"io"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a connection that stays open because its process was killed while it was being
// made.
func TestConnectDuringKill(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := New()
		l := n.Listen("10.0.0.1:80")
		n.Kill("10.0.0.1:80")
		_, err := l.(*listener).connect(n, "", "10.0.0.1:80").Write([]byte("x"))
		require.ErrorIs(t, err, io.ErrClosedPipe)
	})
}

// Data sent to a process with a fault is lost without an error; dialling fails only if it is
// partitioned.
func TestFaults(t *testing.T) {
	for name, test := range map[string]struct {
		fault      Fault
		canConnect bool
	}{"frozen": {Frozen, true}, "partitioned": {Partitioned, false}} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				n := New()
				l := n.Listen("10.0.0.1:80")
				go func() { _, _ = l.Accept() }()
				defer n.Kill("10.0.0.1:80")
				n.SetFault("10.0.0.1:80", test.fault)
				ctx, cancel := context.WithTimeout(t.Context(), time.Second)
				defer cancel()
				c, err := n.DialFrom("10.0.0.2:80")(ctx, "tcp", "10.0.0.1:80")
				if !test.canConnect {
					require.ErrorIs(t, err, context.DeadlineExceeded)
					return
				}
				require.NoError(t, err)
				_, err = c.Write([]byte("nobody reads this"))
				require.NoError(t, err)
			})
		})
	}
}
