package relay

import (
	"bufio"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"jackdawhinge/common/traffic"
	"jackdawhinge/platform"
	"jackdawhinge/platform/standin"
)

// changeConfiguration puts another configuration in force, and waits until the host knows it.
func (f *fixture) changeConfiguration(input traffic.ConfigurationInput) {
	input.Version = 8
	c, err := platform.DecodeConfiguration(standin.EncodeConfiguration(input))
	require.NoError(f.t, err)
	f.store.mu.Lock()
	f.store.next = c
	f.store.mu.Unlock()
	for f.handler.Membership.Snapshot().Configuration().Version() != 8 {
		time.Sleep(10 * time.Millisecond)
	}
}

// Guards against a request that ends without its response because the configuration changes while it is read, waits,
// is retried or streams: it goes on with the configuration that it arrived under.
func TestRequestsOutliveChangesOfConfiguration(t *testing.T) {
	short := traffic.Route{
		Name: "digest", Host: "a.example", Prefix: "/", Kind: traffic.NonIdempotent, Timeout: time.Millisecond, FirstByteTarget: time.Millisecond, MaxUpstreams: 1,
		Destinations: []traffic.Destination{{Pool: "mailbox", Weight: 1}},
	}
	changes := map[string]traffic.ConfigurationInput{
		"all removed": {},
		"shortened": {Routes: []traffic.Route{short}, Pools: []traffic.Pool{{Name: "mailbox", MaxConnections: 1}},
			Limits: traffic.Limits{HeaderBytes: 1, BodyBytes: 1, HeaderTimeout: time.Millisecond, IdleTimeout: time.Millisecond}},
	}
	for change, input := range changes {
		for _, phase := range []string{"read", "waits", "is retried", "streams"} {
			t.Run(change+"/"+phase, func(t *testing.T) {
				runFixture(t, []string{"reader-1", "reader-2"}, func(t *testing.T, f *fixture) {
					change := func() {
						f.changeConfiguration(input)
						time.Sleep(time.Second)
					}
					f.setBehaviors(func(u *standin.Runner) standin.Behavior {
						return func(w http.ResponseWriter, r *http.Request, body []byte) bool {
							if phase == "is retried" && f.runCount("r1") == 0 {
								u.RecordRun(r, body)
								change()
								panic(http.ErrAbortHandler)
							}
							if phase == "waits" {
								change()
							}
							u.SetResponseHeaders(w.Header(), u.RecordRun(r, body).ID)
							w.Header().Set("Content-Type", "text/event-stream")
							_, _ = io.WriteString(w, eventRange(1, 2))
							_ = http.NewResponseController(w).Flush()
							if phase == "streams" {
								change()
							}
							_, _ = io.WriteString(w, eventRange(3, 4))
							return true
						}
					})
					path := "/sort/x"
					if phase == "is retried" {
						path = "/digest/x"
					}
					conn, err := f.net.Dial(t.Context(), "tcp", listenAddress)
					require.NoError(t, err)
					defer func() { _ = conn.Close() }()
					var encoded strings.Builder
					require.NoError(t, f.streamRequest(path, "r1", 4).Write(&encoded))
					whole := encoded.String()
					_, err = io.WriteString(conn, whole[:len(whole)-1])
					require.NoError(t, err)
					if phase == "read" {
						change()
					}
					_, err = io.WriteString(conn, whole[len(whole)-1:])
					require.NoError(t, err)
					resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
					require.NoError(t, err)
					body, err := io.ReadAll(resp.Body)
					require.NoError(t, err)
					require.Equal(t, http.StatusOK, resp.StatusCode, string(body))
					require.Equal(t, eventRange(1, 4), string(body))
				})
			})
		}
	}
}
