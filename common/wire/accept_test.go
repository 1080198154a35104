package wire

import (
	"errors"
	"net"
	"os"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// A failingListener fails a number of times before it accepts.
type failingListener struct {
	err      error
	failures int
	conn     net.Conn
}

func (l *failingListener) Accept() (net.Conn, error) {
	if l.failures == 0 {
		return l.conn, nil
	}
	l.failures--
	return nil, &net.OpError{Op: "accept", Err: os.NewSyscallError("accept4", l.err)}
}

func (l *failingListener) Close() error   { return nil }
func (l *failingListener) Addr() net.Addr { return &net.TCPAddr{} }

// Guards against a server that ends, or asks without a pause, as descriptors are used up for a while, and against one that
// goes on after an error that does not pass.
func TestAcceptIsRetriedAfterErrorsThatPass(t *testing.T) {
	for name, test := range map[string]struct {
		err  error
		want bool
	}{
		"no descriptors": {syscall.EMFILE, true},
		"reset":          {syscall.ECONNABORTED, true},
		"closed":         {net.ErrClosed, false},
		"not listening":  {syscall.EINVAL, false},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				conn, other := net.Pipe()
				defer func() { require.NoError(t, errors.Join(conn.Close(), other.Close())) }()
				failed, start := 0, time.Now()
				l := RetryAccept(&failingListener{err: test.err, failures: 10, conn: conn}, func(error) { failed++ })
				got, err := l.Accept()
				if !test.want {
					require.ErrorIs(t, err, test.err)
					require.Zero(t, failed)
					return
				}
				require.NoError(t, err)
				require.Equal(t, conn, got)
				require.Equal(t, 10, failed)
				require.InDelta(t, 3*time.Second, time.Since(start), float64(time.Second))
			})
		})
	}
}

// Guards against a stop that waits for a server that pauses.
func TestCloseEndsPauseOfAccept(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := RetryAccept(&failingListener{err: syscall.EMFILE, failures: 1000}, func(error) {})
		start := time.Now()
		time.AfterFunc(1500*time.Millisecond, func() { _ = l.Close() })
		_, err := l.Accept()
		require.ErrorIs(t, err, net.ErrClosed)
		require.Equal(t, 1500*time.Millisecond, time.Since(start))
	})
}
