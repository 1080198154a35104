package relay

import (
	"bufio"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"jackdawhinge/platform/standin"
)

// Guards against logs that do not tell how the host knew that a caller had left, or why a response is truncated.
func TestCauseOfIncompleteResponse(t *testing.T) {
	type caller func(t *testing.T, f *fixture, conn net.Conn)
	reads := func(_ *testing.T, _ *fixture, conn net.Conn) {
		if resp, err := http.ReadResponse(bufio.NewReader(conn), nil); err == nil {
			_, _ = resp.Body.Read(make([]byte, 1))
		}
		time.Sleep(12 * time.Second)
	}
	for name, test := range map[string]struct {
		path    string
		body    string
		silence time.Duration
		caller  caller
		outcome Outcome
		cause   EndCause
	}{
		"upstream breaks off": {"/sort/x", eventRange(1, 2), 0, reads, Truncated, UpstreamEnded},
		"deadline":            {"/sort/x", eventRange(1, 2), time.Minute, reads, Truncated, DeadlinePassed},
		"deadline, no stream": {"/scan/x", strings.Repeat("x", maxBufferedBytes), time.Minute, func(_ *testing.T, _ *fixture, conn net.Conn) {
			go func() { _, _ = bufio.NewReader(conn).WriteTo(&strings.Builder{}) }()
			time.Sleep(12 * time.Second)
		}, Truncated, DeadlinePassed},
		"host stops": {"/sort/x", eventRange(1, 2), time.Minute, func(t *testing.T, f *fixture, conn net.Conn) {
			time.AfterFunc(time.Second, f.handler.Abort)
			reads(t, f, conn)
		}, Truncated, HostStopped},
		"caller closes": {"/sort/x", "", time.Minute, func(_ *testing.T, _ *fixture, conn net.Conn) {
			time.Sleep(time.Second)
			_ = conn.Close()
		}, CallerLeft, ConnectionEnded},
		"caller does not read": {"/sort/x", eventRange(1, 2), time.Minute, func(*testing.T, *fixture, net.Conn) {
			time.Sleep(writeTimeout + time.Second)
		}, CallerLeft, WriteTimedOut},
		"caller does not read, no stream": {"/scan/x", strings.Repeat("x", maxBufferedBytes), time.Minute, func(*testing.T, *fixture, net.Conn) {
			time.Sleep(4 * time.Second)
		}, CallerLeft, WriteTimedOut},
	} {
		t.Run(name, func(t *testing.T) {
			runFixture(t, []string{"reader-1", "mailbox-1"}, func(t *testing.T, f *fixture) {
				f.setBehaviors(func(u *standin.Runner) standin.Behavior {
					return func(w http.ResponseWriter, r *http.Request, body []byte) bool {
						u.SetResponseHeaders(w.Header(), u.RecordRun(r, body).ID)
						if strings.HasPrefix(test.path, "/sort") {
							w.Header().Set("Content-Type", "text/event-stream")
						}
						if test.body != "" {
							_, _ = w.Write([]byte(test.body))
							_ = http.NewResponseController(w).Flush()
						}
						select {
						case <-r.Context().Done():
						case <-time.After(test.silence):
						}
						panic(http.ErrAbortHandler)
					}
				})
				conn, err := f.net.Dial(t.Context(), "tcp", listenAddress)
				require.NoError(t, err)
				require.NoError(t, f.streamRequest(test.path, "r1", 9).Write(conn))
				test.caller(t, f, conn)
				_ = conn.Close()
				time.Sleep(time.Second)
				record := f.recorder.lastRecord()
				require.Equal(t, test.outcome, record.Outcome)
				require.Equal(t, test.cause, record.Cause)
			})
		})
	}
}
