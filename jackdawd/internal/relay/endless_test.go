package relay

import (
	"bufio"
	"fmt"
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

// sendEndlessly responds to the first requests with a part again and again, until the connection is closed or the part
// has been sent too often. It counts the bytes.
func sendEndlessly(f *fixture, requests int, first, endless string, pause time.Duration) (sent *atomic.Int64) {
	const maxBytes = 32 << 20
	var begun atomic.Int32
	sent = &atomic.Int64{}
	f.setBehaviors(func(u *standin.Runner) standin.Behavior {
		return func(w http.ResponseWriter, r *http.Request, body []byte) bool {
			if begun.Add(1) > int32(requests) {
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
					sent := sendEndlessly(f, 1, "HTTP/1.1 200 OK\r\n", line, pause)
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

// chunk returns a part of a body as a chunk.
func chunk(part string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(part), part) }

const chunkedStreamHead = "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"

// Guards against a stream whose caller leaves as its upstream sends an event in small parts without end, or one that is
// too large to hold, although another upstream could go on.
func TestEndlessEventIsGivenUp(t *testing.T) {
	part := strings.Repeat("x", 1000)
	for name, pause := range map[string]time.Duration{"fast": 0, "slow": 200 * time.Millisecond} {
		for mode, enable := range map[string]func(f *fixture){"": func(*fixture) {}, ", read ahead": func(f *fixture) { f.enableReadAhead(16 << 20) }} {
			t.Run(name+mode, func(t *testing.T) {
				runFixture(t, []string{"reader-1", "reader-2"}, func(t *testing.T, f *fixture) {
					enable(f)
					sendEndlessly(f, 1, signedHead+chunkedStreamHead+chunk(eventRange(1, 2)), chunk(part), pause)
					start := time.Now()
					got := f.do(f.streamRequest("/digest/x", "r1", 5))
					require.NoError(t, got.err)
					require.Equal(t, eventRange(1, 5), got.body)
					require.Less(t, time.Since(start), 3200*time.Millisecond, "callers leave")
					require.Zero(t, f.handler.bodyBytes.Load())
				})
			})
		}
	}
}

// Guards against events without end that exhaust the host's memory together: streams that hold a part of one at the same
// time must not hold more than the host may.
func TestEndlessEventsShareTheirMemory(t *testing.T) {
	const streams, part = 8, 250_000
	runFixture(t, []string{"reader-1"}, func(t *testing.T, f *fixture) {
		sendEndlessly(f, streams, signedHead+chunkedStreamHead+chunk(strings.Repeat("x", part)), chunk("x"), time.Minute)
		var ended atomic.Int64
		for n := range streams {
			go func() {
				f.do(f.streamRequest("/sort/x", fmt.Sprint("r", n), 5))
				ended.Add(1)
			}()
		}
		time.Sleep(time.Second)
		held := (streams - ended.Load()) * part
		require.Positive(t, held)
		require.LessOrEqual(t, held, f.handler.MaxTotalBodyBytes+streams*unreservedBytes)
		time.Sleep(time.Minute)
		require.Equal(t, int64(streams), ended.Load())
		require.Zero(t, f.handler.bodyBytes.Load())
	})
}

// Guards against bodies without end that are held, or read on after their callers have left.
func TestEndlessBodyIsPassedOn(t *testing.T) {
	const read, held = 1 << 20, maxBufferedBytes + 4*readBufferBytes
	part := strings.Repeat("x", 1000)
	for name, test := range map[string]struct{ head, part string }{
		"without a length":    {signedHead + "Connection: close\r\n\r\n", part},
		"in chunks":           {signedHead + "Transfer-Encoding: chunked\r\n\r\n", chunk(part)},
		"of a failure status": {standin.ResponseHead(http.StatusNotFound, "ID", "s") + "Transfer-Encoding: chunked\r\n\r\n", chunk(part)},
	} {
		t.Run(name, func(t *testing.T) {
			runFixture(t, []string{"mailbox-1"}, func(t *testing.T, f *fixture) {
				sent := sendEndlessly(f, 1, test.head, test.part, 0)
				resp, err := f.client.Do(f.request(http.MethodGet, "/scan/x", "r1", ""))
				require.NoError(t, err)
				_, err = io.CopyN(io.Discard, resp.Body, read)
				require.NoError(t, err)
				_ = resp.Body.Close()
				time.Sleep(time.Second)
				require.Less(t, sent.Load(), int64(read+read/50+held))
				require.Zero(t, f.handler.bodyBytes.Load())
			})
		})
	}
}
