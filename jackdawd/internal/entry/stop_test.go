package entry

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"jackdawhinge/platform/standin"
)

// startCall sends a request on a connection of its own, whose response the test reads.
func (f *testFleet) startCall(h *testHost, route, id string) net.Conn {
	caller := standin.Caller{Address: h.callerAddress, Host: "a.example", Key: "key-1", Timeout: time.Minute}
	req, err := caller.Request(f.t.Context(), http.MethodPost, "/"+route+"/"+id, id, "body")
	require.NoError(f.t, err)
	conn, err := f.net.Dial(f.t.Context(), "tcp", h.callerAddress)
	require.NoError(f.t, err)
	require.NoError(f.t, req.Write(conn))
	return conn
}

// stopHost stops a host and removes it from the fleet; the channel brings the error.
func (f *testFleet) stopHost(i int) <-chan error {
	h, stopped := f.hosts[i], make(chan error, 1)
	f.hosts = slices.Delete(f.hosts, i, i+1)
	go func() {
		stopped <- h.Stop()
		h.client.CloseIdleConnections()
	}()
	return stopped
}

// readResponse reads a whole response and returns its status.
func readResponse(t *testing.T, conn net.Conn) int {
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	require.NoError(t, err)
	_, err = io.Copy(io.Discard, resp.Body)
	require.NoError(t, err)
	require.NoError(t, conn.Close())
	return resp.StatusCode
}

// Guards against a host that stops before a caller that reads slowly has its whole response: the last bytes are
// written after the handler has returned.
func TestStopWaitsForResponsesToBeWritten(t *testing.T) {
	runFleet(t, 2, func(t *testing.T, f *testFleet) {
		conn := f.startCall(f.hosts[0], "notice", "notice-1")
		stopped := f.stopHost(0)
		time.Sleep(balancerDrainDelay + time.Second)
		require.Equal(t, http.StatusOK, readResponse(t, conn))
		require.NoError(t, <-stopped)
	})
}

// Guards against a request that gets no response since its host stops: one that still waits at the end of the grace
// period is refused.
func TestStopRefusesWaitingRequests(t *testing.T) {
	runFleet(t, 2, func(t *testing.T, f *testFleet) {
		for _, r := range f.runners {
			r.SetBehavior(func(_ http.ResponseWriter, r *http.Request, _ []byte) bool {
				<-r.Context().Done()
				return true
			})
		}
		conn := f.startCall(f.hosts[0], "slow", "slow-1")
		start, gracePeriod := time.Now(), f.hosts[0].bounds.Load().GracePeriod
		stopped := f.stopHost(0)
		require.Equal(t, http.StatusBadGateway, readResponse(t, conn))
		require.NoError(t, <-stopped)
		require.Less(t, time.Since(start), gracePeriod)
	})
}

// Guards against a host that outlives its grace period, and is killed, as the store is slow at its end: with a request
// that waits until then, and without one.
func TestStopEndsInTimeWithSlowStore(t *testing.T) {
	const storeDelay = 5 * time.Second
	for name, isWaiting := range map[string]bool{"a request waits": true, "no request waits": false} {
		t.Run(name, func(t *testing.T) {
			runFleet(t, 2, func(t *testing.T, f *testFleet) {
				for _, r := range f.runners {
					r.SetBehavior(func(_ http.ResponseWriter, r *http.Request, _ []byte) bool {
						<-r.Context().Done()
						return true
					})
				}
				f.hosts[0].store.putDelay.Store(int64(storeDelay))
				start, latest := time.Now(), balancerDrainDelay+storeDelay
				var conn net.Conn
				if isWaiting {
					latest = f.hosts[0].bounds.Load().GracePeriod - exitMargin
					conn = f.startCall(f.hosts[0], "slow", "slow-1")
				}
				stopped := f.stopHost(0)
				if isWaiting {
					require.Equal(t, http.StatusBadGateway, readResponse(t, conn))
				}
				require.NoError(t, <-stopped)
				require.LessOrEqual(t, time.Since(start), latest+100*time.Millisecond)
				time.Sleep(storeDelay)
			})
		})
	}
}
