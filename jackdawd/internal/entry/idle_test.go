package entry

import (
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// A connection that was idle for longer than operators allow is closed; one that has
// a request, or was just used, is not.
func TestIdleConnectionsAreClosed(t *testing.T) {
	const timeout = 15 * time.Second
	tests := map[string]struct {
		states []http.ConnState
		after  time.Duration
		closed bool
	}{
		"idle for long":       {[]http.ConnState{http.StateNew, http.StateActive, http.StateIdle}, timeout + 2*idlePatience, true},
		"idle not for long":   {[]http.ConnState{http.StateNew, http.StateActive, http.StateIdle}, timeout, false},
		"busy":                {[]http.ConnState{http.StateNew, http.StateActive}, time.Hour, false},
		"never sent anything": {[]http.ConnState{http.StateNew}, timeout + 2*idlePatience, true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			near, far := net.Pipe()
			defer func() { require.NoError(t, far.Close()) }()
			i := newIdleConns(1)
			for _, s := range test.states {
				i.note(near, s)
			}
			i.sweep(time.Now().Add(test.after), timeout)
			err := near.SetDeadline(time.Now())
			require.Equal(t, test.closed, err != nil)
			i.note(near, http.StateClosed)
			require.Empty(t, i.at)
			require.Zero(t, i.idle.Len())
			require.Zero(t, i.open)
		})
	}
}

// A crowd of callers keeps its connections, the host has no sockets left, and the next callers wait unaccepted.
func TestTooManyConnectionsCloseTheOneIdleForLongest(t *testing.T) {
	const most = 3
	for name, test := range map[string]struct {
		// states are those of connections 0, 1 and so on; a new one comes last.
		states [][]http.ConnState
		closed []int
	}{
		"there is room":           {[][]http.ConnState{{http.StateNew}, {http.StateNew}}, nil},
		"none has sent anything":  {[][]http.ConnState{{http.StateNew}, {http.StateNew}, {http.StateNew}}, []int{0}},
		"the first has a request": {[][]http.ConnState{{http.StateNew, http.StateActive}, {http.StateNew}, {http.StateNew}}, []int{1}},
		"all have requests":       {[][]http.ConnState{{http.StateNew, http.StateActive}, {http.StateNew, http.StateActive}, {http.StateNew, http.StateActive}}, nil},
		"one has closed":          {[][]http.ConnState{{http.StateNew}, {http.StateNew, http.StateClosed}, {http.StateNew}}, nil},
	} {
		t.Run(name, func(t *testing.T) {
			i := newIdleConns(most)
			var conns []net.Conn
			for _, states := range append(test.states, []http.ConnState{http.StateNew}) {
				near, far := net.Pipe()
				defer func() { require.NoError(t, far.Close()) }()
				for _, s := range states {
					i.note(near, s)
				}
				conns = append(conns, near)
			}
			var closed []int
			for n, c := range conns {
				if c.SetDeadline(time.Now()) != nil {
					closed = append(closed, n)
				}
			}
			require.Equal(t, test.closed, closed)
		})
	}
}

func TestUptimeGoesForward(t *testing.T) {
	first := uptime()
	require.Positive(t, first)
	require.GreaterOrEqual(t, uptime(), first)
}
