package relay

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"jackdawhinge/platform/standin"
)

// sendEndlessly responds to the first request with a part again and again, until the connection is closed or the part
// has been sent too often. It counts the bytes.
func sendEndlessly(f *fixture, first, endless string, pause time.Duration) (sent *atomic.Int64) {
	const maxBytes = 8 << 20
	var begun atomic.Bool
	sent = &atomic.Int64{}
	f.setBehaviors(func(u *standin.Runner) standin.Behavior {
		return func(w http.ResponseWriter, r *http.Request, body []byte) bool {
			if begun.Swap(true) {
				return false
			}
			id := u.RecordRun(r, body).ID
			hijack(w, func(c net.Conn, _ *bufio.ReadWriter) {
				defer func() { _ = c.Close() }()
				for part := strings.ReplaceAll(first, "ID", id); sent.Load() < maxBytes; part = endless {
					n, err := io.WriteString(c, part)
					if sent.Add(int64(n)); err != nil {
						return
					}
					time.Sleep(pause)
				}
			})
			return true
		}
	})
	return sent
}

// Guards against a host whose memory grows with a header without end, and against requests that fail although they may
// be repeated, or are repeated although they may not.
func TestEndlessHeaderIsGivenUp(t *testing.T) {
	const maxSent = 1 << 20
	line := "X-Line: " + strings.Repeat("x", 1000) + "\r\n"
	for name, pause := range map[string]time.Duration{"fast": 0, "slow": 200 * time.Millisecond} {
		for path, status := range map[string]int{"/scan/x": http.StatusOK, "/notice/x": http.StatusBadGateway} {
			t.Run(name+path, func(t *testing.T) {
				runFixture(t, []string{"mailbox-1", "mailbox-2"}, func(t *testing.T, f *fixture) {
					sent := sendEndlessly(f, "HTTP/1.1 200 OK\r\n", line, pause)
					got := f.do(f.request(http.MethodPost, path, "r1", "hello"))
					require.NoError(t, got.err)
					if pause == 0 || status == http.StatusOK {
						require.Equal(t, status, got.status, got.body)
					} else {
						require.Equal(t, timeoutStatus, got.status)
					}
					require.Less(t, sent.Load(), int64(maxSent))
				})
			})
		}
	}
}
