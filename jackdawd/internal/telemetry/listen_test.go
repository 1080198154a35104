package telemetry

import (
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/sirupsen/logrus/hooks/test"
	"github.com/stretchr/testify/require"
)

// A listenerWithoutDescriptors fails to accept for a time.
type listenerWithoutDescriptors struct {
	until time.Time
}

func (l *listenerWithoutDescriptors) Accept() (net.Conn, error) {
	if time.Now().Before(l.until) {
		return nil, &net.OpError{Op: "accept", Err: os.NewSyscallError("accept4", syscall.EMFILE)}
	}
	conn, _ := net.Pipe()
	return conn, nil
}

func (l *listenerWithoutDescriptors) Close() error   { return nil }
func (l *listenerWithoutDescriptors) Addr() net.Addr { return &net.TCPAddr{} }

// Guards against a host that says nothing, or too much, while it can't accept connections, and against metrics that
// can't be read after that.
func TestFailedAcceptsAreLoggedAndCounted(t *testing.T) {
	logrus.SetOutput(io.Discard)
	hook := test.NewGlobal()
	defer logrus.StandardLogger().ReplaceHooks(logrus.LevelHooks{})
	synctest.Test(t, func(t *testing.T) {
		m := NewMeter()
		for _, name := range []string{"callers", "hosts"} {
			conn, err := m.RetryAccept(name, &listenerWithoutDescriptors{time.Now().Add(5 * time.Second)}).Accept()
			require.NoError(t, err)
			require.NoError(t, conn.Close())
		}
		require.LessOrEqual(t, len(hook.AllEntries()), 2*6)
		require.GreaterOrEqual(t, len(hook.AllEntries()), 2*3)
		served := httptest.NewRecorder()
		m.Handler().ServeHTTP(served, httptest.NewRequest(http.MethodGet, "/metrics", http.NoBody))
		require.Equal(t, http.StatusOK, served.Code, served.Body.String())
		for _, name := range []string{"callers", "hosts"} {
			require.Contains(t, served.Body.String(), `jackdawd_accepts_failed{listener="`+name+`"}`)
		}
	})
}
