package relay

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"jackdawhinge/platform/standin"
)

func TestEventsAreForwardedAsTheyArrive(t *testing.T) {
	run(t, []string{"reader-1"}, func(t *testing.T, f *fixture) {
		resp, err := f.client.Do(f.stream("/sort/x", "r1", 10))
		require.NoError(t, err)
		reader := bufio.NewReader(resp.Body)
		var at []time.Time
		for {
			line, err := reader.ReadString('\n')
			if err == io.EOF {
				break
			}
			require.NoError(t, err)
			if strings.HasPrefix(line, "id:") {
				at = append(at, time.Now())
			}
		}
		require.Len(t, at, 10)
		for i := 1; i < len(at); i++ {
			require.Equal(t, 20*time.Millisecond, at[i].Sub(at[i-1]))
		}
	})
}

// cut lets an engine send events and half of another, and then breaks off.
func cut(u *standin.Runner, upTo int) standin.Behavior {
	return func(w http.ResponseWriter, r *http.Request, body []byte) bool {
		id := u.Note(r, body).ID
		raw(w, func(c net.Conn, _ *bufio.ReadWriter) {
			text := pieces(1, upTo) + standin.Event(upTo + 1)[:12]
			_, _ = fmt.Fprintf(c, "%sContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n",
				strings.ReplaceAll(sealed, "ID", id), len(text), text)
			_ = c.Close()
		})
		return true
	}
}

// An engine crashes in the middle of an event. The caller of a resumable stream
// notices nothing: the other engine goes on after the last whole event, under
// the head and signature of the first.
func TestBrokenStreamGoesOnAtAnotherEngine(t *testing.T) {
	run(t, []string{"reader-1", "reader-2"}, func(t *testing.T, f *fixture) {
		crashed := false
		f.all(func(u *standin.Runner) standin.Behavior {
			return func(w http.ResponseWriter, r *http.Request, body []byte) bool {
				if crashed {
					return false
				}
				crashed = true
				return cut(u, 4)(w, r, body)
			}
		})
		got := f.do(f.stream("/digest/x", "r1", 9))
		require.NoError(t, got.err)
		require.Equal(t, pieces(1, 9), got.body)
		require.Equal(t, "s", got.header.Get(standin.SealHeader))
		require.Equal(t, 2, f.runs("r1"))
	})
}

// The same on a route whose streams cannot be resumed: the answer ends without
// its end, so that the caller does not take it for whole, and no engine runs it again.
func TestBrokenStreamIsNotCompleted(t *testing.T) {
	run(t, []string{"reader-1", "reader-2"}, func(t *testing.T, f *fixture) {
		f.all(func(u *standin.Runner) standin.Behavior { return cut(u, 4) })
		got := f.do(f.stream("/sort/x", "r1", 9))
		require.Error(t, got.err)
		require.Equal(t, pieces(1, 4), got.body)
		require.Equal(t, 1, f.runs("r1"))
	})
}

// An engine ends its stream properly, but in the middle of an event.
func TestStreamThatEndsInsideAnEventIsBroken(t *testing.T) {
	run(t, []string{"reader-1"}, func(t *testing.T, f *fixture) {
		text := pieces(1, 3) + "id: 4\nda"
		f.all(spoiled(sealed+"Content-Type: text/event-stream\r\nConnection: close\r\n\r\n"+text, true))
		got := f.do(f.stream("/sort/x", "r1", 9))
		require.Error(t, got.err)
		require.Equal(t, pieces(1, 3), got.body)
	})
}

// An engine hangs before its first event. The connection to it is closed, so that
// it stops, and only then does another engine begin.
func TestSilentEngineIsLeftForAnother(t *testing.T) {
	run(t, []string{"reader-1", "reader-2"}, func(t *testing.T, f *fixture) {
		var left, again time.Time
		hung := false
		f.all(func(u *standin.Runner) standin.Behavior {
			return func(_ http.ResponseWriter, r *http.Request, body []byte) bool {
				if hung {
					again = time.Now()
					return false
				}
				hung = true
				u.Note(r, body)
				<-r.Context().Done()
				left = time.Now()
				return true
			}
		})
		begin := time.Now()
		got := f.do(f.stream("/digest/x", "r1", 5))
		require.NoError(t, got.err)
		require.Equal(t, pieces(1, 5), got.body)
		require.False(t, again.Before(left))
		require.Less(t, time.Since(begin), 3200*time.Millisecond, "a caller abandons a silent stream then")
	})
}

// An engine goes silent in the middle of a stream.
func TestSilentStreamGoesOnAtAnotherEngine(t *testing.T) {
	run(t, []string{"reader-1", "reader-2"}, func(t *testing.T, f *fixture) {
		hung := false
		f.all(func(u *standin.Runner) standin.Behavior {
			return func(w http.ResponseWriter, r *http.Request, body []byte) bool {
				if hung {
					return false
				}
				hung = true
				u.Seal(w.Header(), u.Note(r, body).ID)
				w.Header().Set("Content-Type", "text/event-stream")
				_, _ = io.WriteString(w, pieces(1, 2))
				_ = http.NewResponseController(w).Flush()
				<-r.Context().Done()
				return true
			}
		})
		begin := time.Now()
		got := f.do(f.stream("/digest/x", "r1", 5))
		require.NoError(t, got.err)
		require.Equal(t, pieces(1, 5), got.body)
		require.Less(t, time.Since(begin), 1500*time.Millisecond, "three times the longest pause, and the rest of the stream")
	})
}

// A stream goes on at another engine, which answers with something else. The caller
// must not read that as the rest of its stream.
func TestOtherAnswerIsNoRestOfAStream(t *testing.T) {
	run(t, []string{"reader-1", "reader-2"}, func(t *testing.T, f *fixture) {
		crashed := false
		f.all(func(u *standin.Runner) standin.Behavior {
			return func(w http.ResponseWriter, r *http.Request, body []byte) bool {
				if !crashed {
					crashed = true
					return cut(u, 2)(w, r, body)
				}
				return spoiled(sealed+"Content-Length: 2\r\n\r\nok", true)(u)(w, r, body)
			}
		})
		got := f.do(f.stream("/digest/x", "r1", 9))
		require.Error(t, got.err)
		require.Equal(t, pieces(1, 2), got.body)
	})
}

// An engine ends a stream without a single event, as if it were whole.
func TestStreamWithoutEventsIsBroken(t *testing.T) {
	run(t, []string{"reader-1"}, func(t *testing.T, f *fixture) {
		f.all(spoiled(sealed+"Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", true))
		require.Equal(t, http.StatusBadGateway, f.do(f.stream("/sort/x", "r1", 9)).status)
	})
}

// A caller resumes a stream of an earlier answer; the engine goes on after that event.
func TestCallerResumes(t *testing.T) {
	run(t, []string{"reader-1"}, func(t *testing.T, f *fixture) {
		req := f.stream("/digest/x", "r1", 9)
		req.Header.Set(standin.ResumeHeader, "4")
		require.Equal(t, pieces(5, 9), f.do(req).body)
	})
}

// The engine that has a prompt cached leaves. The engine that gets it next is told
// where to fetch the cache.
func TestColdEngineFetchesThePrompt(t *testing.T) {
	run(t, []string{"reader-1", "reader-2"}, func(t *testing.T, f *fixture) {
		require.Equal(t, http.StatusOK, f.do(f.stream("/digest/x", "r1", 1)).status)
		warm, cold := 0, 1
		if len(f.runners["reader-1"].Runs()) == 0 {
			warm, cold = 1, 0
		}
		f.net.Kill(f.feed.upstreams[warm].Address)
		require.Equal(t, http.StatusOK, f.do(f.stream("/digest/x", "r2", 1)).status)
		run := f.runners[f.feed.upstreams[cold].ID].Runs()[0]
		require.Equal(t, f.feed.upstreams[warm].Address, run.Header.Get(standin.FetchHeader))
	})
}

// An engine crashes right between two events, where all that has come looks whole but
// for the end of the stream. It must not be taken for the end: the caller of a resumable
// stream gets the rest from another engine, that of any other sees that it broke off.
func TestCrashBetweenEventsIsNoEnd(t *testing.T) {
	for name, test := range map[string]struct {
		path  string
		whole bool
	}{
		"resumable":     {"/digest/x", true},
		"not resumable": {"/sort/x", false},
	} {
		t.Run(name, func(t *testing.T) {
			run(t, []string{"reader-1", "reader-2"}, func(t *testing.T, f *fixture) {
				crashed := false
				f.all(func(r *standin.Runner) standin.Behavior {
					return func(w http.ResponseWriter, req *http.Request, body []byte) bool {
						if crashed {
							return false
						}
						crashed = true
						id := r.Note(req, body).ID
						raw(w, func(c net.Conn, _ *bufio.ReadWriter) {
							text := pieces(1, 2)
							_, _ = fmt.Fprintf(c, "%sContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n",
								strings.ReplaceAll(sealed, "ID", id), len(text), text)
							time.Sleep(20 * time.Millisecond)
							_ = c.Close()
						})
						return true
					}
				})
				a := f.do(f.stream(test.path, "r1", 4))
				if test.whole {
					require.NoError(t, a.err)
					require.Equal(t, pieces(1, 4), a.body)
					return
				}
				require.Error(t, a.err)
			})
		})
	}
}
