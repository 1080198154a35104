package entry

import (
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus"
	logrustest "github.com/sirupsen/logrus/hooks/test"
	"github.com/stretchr/testify/require"
)

// A connection that was idle for longer than the timeout is closed. One with a request in progress
// or within the timeout is not.
func TestIdleConnectionsAreClosed(t *testing.T) {
	const timeout = 15 * time.Second
	tests := map[string]struct {
		states     []http.ConnState
		elapsed    time.Duration
		wantClosed bool
	}{
		"idle beyond timeout": {[]http.ConnState{http.StateNew, http.StateActive, http.StateIdle}, timeout + 2*idleTimeoutMargin, true},
		"idle within timeout": {[]http.ConnState{http.StateNew, http.StateActive, http.StateIdle}, timeout, false},
		"request in progress": {[]http.ConnState{http.StateNew, http.StateActive}, time.Hour, false},
		"no request received": {[]http.ConnState{http.StateNew}, timeout + 2*idleTimeoutMargin, true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			conns := newCallerConns(1, func() time.Duration { return timeout }, nil)
			pipe, peer := net.Pipe()
			conn := conns.newConn(pipe)
			defer func() { require.NoError(t, peer.Close()) }()
			for _, state := range test.states {
				conns.setState(conn, state)
			}
			conns.closeExpired(time.Now().Add(test.elapsed))
			wantCounts := map[string]int64{string(closedForIdleTimeout): 0, string(closedForLimit): 0}
			if test.wantClosed {
				wantCounts[string(closedForIdleTimeout)] = 1
			}
			require.Equal(t, wantCounts, conns.closedCounts())
			err := conn.SetDeadline(time.Now())
			require.Equal(t, test.wantClosed, err != nil)
			conns.setState(conn, http.StateClosed)
			require.Empty(t, conns.elements)
			require.Zero(t, conns.idle.Len())
			require.Zero(t, conns.open)
		})
	}
}

// If many callers keep idle connections, the host runs out of sockets and accepts no new ones. At
// the limit, a new connection must close the one idle for longest, but none with a request.
func TestLimitClosesLongestIdleConnection(t *testing.T) {
	const maxOpen = 3
	for name, test := range map[string]struct {
		// states are the states of connections 0, 1 and so on. Another new connection follows.
		states     [][]http.ConnState
		wantClosed []int
	}{
		"below the limit":     {[][]http.ConnState{{http.StateNew}, {http.StateNew}}, nil},
		"no request received": {[][]http.ConnState{{http.StateNew}, {http.StateNew}, {http.StateNew}}, []int{0}},
		"first has a request": {[][]http.ConnState{{http.StateNew, http.StateActive}, {http.StateNew}, {http.StateNew}}, []int{1}},
		"all have requests":   {[][]http.ConnState{{http.StateNew, http.StateActive}, {http.StateNew, http.StateActive}, {http.StateNew, http.StateActive}}, nil},
		"one was closed":      {[][]http.ConnState{{http.StateNew}, {http.StateNew, http.StateClosed}, {http.StateNew}}, nil},
	} {
		t.Run(name, func(t *testing.T) {
			tracker := newCallerConns(maxOpen, func() time.Duration { return testIdleTimeout }, nil)
			var conns []net.Conn
			for _, states := range append(test.states, []http.ConnState{http.StateNew}) {
				pipe, peer := net.Pipe()
				conn := tracker.newConn(pipe)
				defer func() { require.NoError(t, peer.Close()) }()
				for _, state := range states {
					tracker.setState(conn, state)
				}
				conns = append(conns, conn)
			}
			var closed []int
			for i, conn := range conns {
				if conn.SetDeadline(time.Now()) != nil {
					closed = append(closed, i)
				}
			}
			require.Equal(t, test.wantClosed, closed)
			require.Equal(t, int64(len(closed)), tracker.closedCounts()[string(closedForLimit)])
		})
	}
}

// Guards against closed connections that no log line or too many lines report.
func TestClosedConnectionsAreLoggedOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		hook := logrustest.NewGlobal()
		defer logrus.StandardLogger().ReplaceHooks(logrus.LevelHooks{})
		conns := newCallerConns(2, func() time.Duration { return 15 * time.Second }, nil)
		for range 3 {
			conn, peer := net.Pipe()
			defer func() { require.NoError(t, peer.Close()) }()
			conns.setState(conns.newConn(conn), http.StateNew)
			time.Sleep(time.Second)
		}
		time.Sleep(15 * time.Second)
		conns.closeExpired(time.Now())
		conns.logClosed()
		conns.logClosed()
		require.Len(t, hook.AllEntries(), 1)
		require.Equal(t, logrus.Fields{
			"closed": map[closeReason]int64{closedForIdleTimeout: 1, closedForLimit: 1}, "longest-idle": "17s", "timeout": "15s",
		}, hook.LastEntry().Data)
	})
}

func TestUptimeIsMonotonic(t *testing.T) {
	first := uptime()
	require.Positive(t, first)
	require.GreaterOrEqual(t, uptime(), first)
}
