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

func TestEventsAreForwardedAsTheyArrive(t *testing.T) {
	runFixture(t, []string{"reader-1"}, func(t *testing.T, f *fixture) {
		resp, err := f.client.Do(f.streamRequest("/sort/x", "r1", 10))
		require.NoError(t, err)
		reader := bufio.NewReader(resp.Body)
		var arrivals []time.Time
		for {
			line, err := reader.ReadString('\n')
			if err == io.EOF {
				break
			}
			require.NoError(t, err)
			if strings.HasPrefix(line, "id:") {
				arrivals = append(arrivals, time.Now())
			}
		}
		require.Len(t, arrivals, 10)
		for i := 1; i < len(arrivals); i++ {
			require.Equal(t, 20*time.Millisecond, arrivals[i].Sub(arrivals[i-1]))
		}
	})
}

// truncatedStream returns a behavior that sends the events up to a number and part of the next, and
// then closes the connection.
func truncatedStream(u *standin.Runner, lastEvent int) standin.Behavior {
	return func(w http.ResponseWriter, r *http.Request, body []byte) bool {
		id := u.RecordRun(r, body).ID
		hijack(w, func(c net.Conn, _ *bufio.ReadWriter) {
			text := eventRange(1, lastEvent) + standin.Event(lastEvent + 1)[:12]
			_, _ = fmt.Fprintf(c, "%sContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n",
				strings.ReplaceAll(signedHead, "ID", id), len(text), text)
			_ = c.Close()
		})
		return true
	}
}

// An engine crashes within an event of a resumable stream. Another engine resumes after the last
// complete event, and the caller sees one stream with the header and signature of the first.
func TestResumableStreamResumesAfterCrash(t *testing.T) {
	runFixture(t, []string{"reader-1", "reader-2"}, func(t *testing.T, f *fixture) {
		crashed := false
		f.setBehaviors(func(u *standin.Runner) standin.Behavior {
			return func(w http.ResponseWriter, r *http.Request, body []byte) bool {
				if crashed {
					return false
				}
				crashed = true
				return truncatedStream(u, 4)(w, r, body)
			}
		})
		got := f.do(f.streamRequest("/digest/x", "r1", 9))
		require.NoError(t, got.err)
		require.Equal(t, eventRange(1, 9), got.body)
		require.Equal(t, "s", got.header.Get(standin.SealHeader))
		require.Equal(t, 2, f.runCount("r1"))
	})
}

// If the route does not allow resuming, the response is truncated so that the caller can tell, and
// no other engine runs the request.
func TestNonResumableStreamIsNotRetried(t *testing.T) {
	runFixture(t, []string{"reader-1", "reader-2"}, func(t *testing.T, f *fixture) {
		f.setBehaviors(func(u *standin.Runner) standin.Behavior { return truncatedStream(u, 4) })
		got := f.do(f.streamRequest("/sort/x", "r1", 9))
		require.Error(t, got.err)
		require.Equal(t, eventRange(1, 4), got.body)
		require.Equal(t, 1, f.runCount("r1"))
	})
}

// A stream that is terminated properly, but within an event, is truncated.
func TestStreamEndingInsideEventIsTruncated(t *testing.T) {
	runFixture(t, []string{"reader-1"}, func(t *testing.T, f *fixture) {
		text := eventRange(1, 3) + "id: 4\nda"
		f.setBehaviors(rawResponse(signedHead+"Content-Type: text/event-stream\r\nConnection: close\r\n\r\n"+text, true))
		got := f.do(f.streamRequest("/sort/x", "r1", 9))
		require.Error(t, got.err)
		require.Equal(t, eventRange(1, 3), got.body)
	})
}

// An engine hangs before the first event. The connection to it is closed, so that it stops, as soon as another engine
// responds.
func TestSilentEngineTriggersFailover(t *testing.T) {
	runFixture(t, []string{"reader-1", "reader-2"}, func(t *testing.T, f *fixture) {
		var canceledAt, respondedAt time.Time
		var hung atomic.Bool
		f.setBehaviors(func(u *standin.Runner) standin.Behavior {
			return func(_ http.ResponseWriter, r *http.Request, body []byte) bool {
				if hung.Swap(true) {
					time.Sleep(100 * time.Millisecond)
					respondedAt = time.Now()
					return false
				}
				u.RecordRun(r, body)
				<-r.Context().Done()
				canceledAt = time.Now()
				return true
			}
		})
		start := time.Now()
		got := f.do(f.streamRequest("/digest/x", "r1", 5))
		require.NoError(t, got.err)
		require.Equal(t, eventRange(1, 5), got.body)
		const untilFirstEvent = 10 * time.Millisecond
		require.LessOrEqual(t, canceledAt.Sub(respondedAt), untilFirstEvent)
		require.Less(t, time.Since(start), 3200*time.Millisecond, "callers give up on a silent stream after 3.2 s")
	})
}

// An engine stalls in the middle of a stream, which is resumed at another engine: not before a sound one may have gone
// on, and early enough for the caller.
func TestStalledStreamResumesAtAnotherEngine(t *testing.T) {
	runFixture(t, []string{"reader-1", "reader-2"}, func(t *testing.T, f *fixture) {
		var hungAt, resumedAt time.Time
		f.setBehaviors(func(u *standin.Runner) standin.Behavior {
			return func(w http.ResponseWriter, r *http.Request, body []byte) bool {
				if !hungAt.IsZero() {
					resumedAt = time.Now()
					return false
				}
				hungAt = time.Now()
				u.SetResponseHeaders(w.Header(), u.RecordRun(r, body).ID)
				w.Header().Set("Content-Type", "text/event-stream")
				_, _ = io.WriteString(w, eventRange(1, 2))
				_ = http.NewResponseController(w).Flush()
				<-r.Context().Done()
				return true
			}
		})
		const restOfStream = 10*time.Millisecond + 3*20*time.Millisecond // its prompt and events
		start := time.Now()
		got := f.do(f.streamRequest("/digest/x", "r1", 5))
		took := time.Since(start)
		require.NoError(t, got.err)
		require.Equal(t, eventRange(1, 5), got.body)
		require.GreaterOrEqual(t, resumedAt.Sub(hungAt), 1500*time.Millisecond, "a sound engine may have gone on before")
		require.LessOrEqual(t, took, 1600*time.Millisecond+restOfStream, "callers leave after 3.2 s, the stream is resumed after half of that")
	})
}

// The engine that should resume a stream responds with something else, which must not be appended
// to the stream.
func TestStreamIsNotResumedWithPlainResponse(t *testing.T) {
	runFixture(t, []string{"reader-1", "reader-2"}, func(t *testing.T, f *fixture) {
		crashed := false
		f.setBehaviors(func(u *standin.Runner) standin.Behavior {
			return func(w http.ResponseWriter, r *http.Request, body []byte) bool {
				if !crashed {
					crashed = true
					return truncatedStream(u, 2)(w, r, body)
				}
				return rawResponse(signedHead+"Content-Length: 2\r\n\r\nok", true)(u)(w, r, body)
			}
		})
		got := f.do(f.streamRequest("/digest/x", "r1", 9))
		require.Error(t, got.err)
		require.Equal(t, eventRange(1, 2), got.body)
	})
}

// A stream that ends without any event is not complete.
func TestEmptyStreamIsRefused(t *testing.T) {
	runFixture(t, []string{"reader-1"}, func(t *testing.T, f *fixture) {
		f.setBehaviors(rawResponse(signedHead+"Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", true))
		require.Equal(t, http.StatusBadGateway, f.do(f.streamRequest("/sort/x", "r1", 9)).status)
	})
}

// A caller resumes the stream of an earlier response after the last event that it got.
func TestCallerResumesStream(t *testing.T) {
	runFixture(t, []string{"reader-1"}, func(t *testing.T, f *fixture) {
		req := f.streamRequest("/digest/x", "r1", 9)
		req.Header.Set(standin.LastEventIDHeader, "4")
		require.Equal(t, eventRange(5, 9), f.do(req).body)
	})
}

// The engine that has a prompt cached fails. The host tells the next engine from where to fetch the
// cached prompt.
func TestColdEngineFetchesCachedPrompt(t *testing.T) {
	runFixture(t, []string{"reader-1", "reader-2"}, func(t *testing.T, f *fixture) {
		require.Equal(t, http.StatusOK, f.do(f.streamRequest("/digest/x", "r1", 1)).status)
		warm, cold := 0, 1
		if len(f.runners["reader-1"].Runs()) == 0 {
			warm, cold = 1, 0
		}
		f.net.Kill(f.store.upstreams[warm].Address)
		require.Equal(t, http.StatusOK, f.do(f.streamRequest("/digest/x", "r2", 1)).status)
		run := f.runners[f.store.upstreams[cold].ID].Runs()[0]
		require.Equal(t, f.store.upstreams[warm].Address, run.Header.Get(standin.CacheFetchHeader))
	})
}

// An engine crashes between two events, where only the missing end of the stream shows that it is
// incomplete. A resumable stream must be resumed at another engine, and any other must reach the
// caller as truncated.
func TestCrashBetweenEventsIsDetected(t *testing.T) {
	for name, test := range map[string]struct {
		path    string
		resumes bool
	}{
		"resumable":     {"/digest/x", true},
		"not resumable": {"/sort/x", false},
	} {
		t.Run(name, func(t *testing.T) {
			runFixture(t, []string{"reader-1", "reader-2"}, func(t *testing.T, f *fixture) {
				crashed := false
				f.setBehaviors(func(r *standin.Runner) standin.Behavior {
					return func(w http.ResponseWriter, req *http.Request, body []byte) bool {
						if crashed {
							return false
						}
						crashed = true
						id := r.RecordRun(req, body).ID
						hijack(w, func(c net.Conn, _ *bufio.ReadWriter) {
							text := eventRange(1, 2)
							_, _ = fmt.Fprintf(c, "%sContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n",
								strings.ReplaceAll(signedHead, "ID", id), len(text), text)
							time.Sleep(20 * time.Millisecond)
							_ = c.Close()
						})
						return true
					}
				})
				got := f.do(f.streamRequest(test.path, "r1", 4))
				if test.resumes {
					require.NoError(t, got.err)
					require.Equal(t, eventRange(1, 4), got.body)
					return
				}
				require.Error(t, got.err)
			})
		})
	}
}

// Guards against a stream whose end is not written because the upstream was silent before it for longer than a write
// to the caller may take.
func TestEndOfStreamIsWrittenAfterLongSilence(t *testing.T) {
	for name, readAhead := range map[string]int64{"read as callers read": 0, "read ahead": 16 << 20} {
		t.Run(name, func(t *testing.T) {
			runFixture(t, []string{"reader-1"}, func(t *testing.T, f *fixture) {
				if readAhead > 0 {
					f.enableReadAhead(readAhead)
				}
				f.setBehaviors(func(u *standin.Runner) standin.Behavior {
					return func(w http.ResponseWriter, r *http.Request, body []byte) bool {
						u.SetResponseHeaders(w.Header(), u.RecordRun(r, body).ID)
						w.Header().Set("Content-Type", "text/event-stream")
						_, _ = io.WriteString(w, eventRange(1, 3))
						_ = http.NewResponseController(w).Flush()
						time.Sleep(writeTimeout + time.Second)
						return true
					}
				})
				req, err := standin.Caller{Address: listenAddress, Host: "a.example", Key: "key-1", Timeout: time.Minute}.Stream(t.Context(), "/sort/x", "r1", "bb", 3)
				require.NoError(t, err)
				got := f.do(req)
				require.NoError(t, got.err)
				require.Equal(t, eventRange(1, 3), got.body)
			})
		})
	}
}
