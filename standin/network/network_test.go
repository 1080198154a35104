package network

import (
	"context"
	"io"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// A connection stays open whose process was killed while it was made.
func TestConnectionToAKilledProcessEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := New()
		l := n.Listen("10.0.0.1:80")
		n.Kill("10.0.0.1:80")
		_, err := l.(*listener).connect(n, "", "10.0.0.1:80").Write([]byte("x"))
		require.ErrorIs(t, err, io.ErrClosedPipe)
	})
}

// What a silent process sends, or is sent, gets lost; only one that is cut off cannot be connected to.
func TestSilentProcess(t *testing.T) {
	for name, test := range map[string]struct {
		how      Silence
		connects bool
	}{"frozen": {Frozen, true}, "cut off": {Cut, false}} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				n := New()
				l := n.Listen("10.0.0.1:80")
				go func() { _, _ = l.Accept() }()
				defer n.Kill("10.0.0.1:80")
				n.Silence("10.0.0.1:80", test.how)
				ctx, cancel := context.WithTimeout(t.Context(), time.Second)
				defer cancel()
				c, err := n.DialFrom("10.0.0.2:80")(ctx, "tcp", "10.0.0.1:80")
				if !test.connects {
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
