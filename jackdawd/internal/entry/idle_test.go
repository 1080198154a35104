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
			i := newIdleConns()
			for _, s := range test.states {
				i.note(near, s)
			}
			i.sweep(time.Now().Add(test.after), timeout)
			err := near.SetDeadline(time.Now())
			require.Equal(t, test.closed, err != nil)
			i.note(near, http.StateClosed)
			require.Empty(t, i.since)
		})
	}
}

func TestUptimeGoesForward(t *testing.T) {
	first := uptime()
	require.Positive(t, first)
	require.GreaterOrEqual(t, uptime(), first)
}
