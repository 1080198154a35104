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

// dropped runs a request and closes the connection without an answer.
func dropped(u *standin.Runner) standin.Behavior {
	return func(w http.ResponseWriter, r *http.Request, body []byte) bool {
		u.Note(r, body)
		raw(w, func(c net.Conn, _ *bufio.ReadWriter) { _ = c.Close() })
		return true
	}
}

// A connection that was used before is closed by the upstream as the next request
// arrives on it, after the request was taken. HTTP libraries send such a request
// again by themselves, a GET in any case: a notice would go out twice.
func TestNothingIsSentAgainByItself(t *testing.T) {
	tests := map[string]struct{ method, body string }{
		"post":              {http.MethodPost, "body"},
		"post without body": {http.MethodPost, ""},
		"get":               {http.MethodGet, ""},
		"head":              {http.MethodHead, ""},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			run(t, []string{"mailbox-1", "mailbox-2"}, func(t *testing.T, f *fixture) {
				for range 4 {
					require.Equal(t, http.StatusOK, f.do(f.request(test.method, "/notice/x", "warm", test.body)).status)
				}
				f.all(dropped)
				req := f.request(test.method, "/notice/x", "r1", test.body)
				req.Header.Set("Idempotency-Key", "tempting")
				req.GetBody = nil
				got := f.do(req)
				if got.err == nil {
					require.Equal(t, http.StatusBadGateway, got.status, "502 does not say that it was not run")
				}
				require.Equal(t, 1, f.runs("r1"))
			})
		})
	}
}

// The same with a request that may be repeated: it goes to the other upstream.
func TestIdempotentRequestGoesToAnotherUpstream(t *testing.T) {
	run(t, []string{"mailbox-1", "mailbox-2"}, func(t *testing.T, f *fixture) {
		bad := f.runners["mailbox-1"]
		bad.SetBehavior(dropped(bad))
		for _, id := range []string{"r1", "r2"} {
			got := f.do(f.request(http.MethodGet, "/scan/x", id, ""))
			require.Equal(t, http.StatusOK, got.status)
			require.Equal(t, "answer of mailbox-2 to "+id, got.body)
		}
	})
}

// Every upstream fails. Only as many are tried as the route allows, and the
// retries of a crowd stay within the budget.
func TestRetriesAreBounded(t *testing.T) {
	run(t, []string{"mailbox-1", "mailbox-2", "mailbox-3"}, func(t *testing.T, f *fixture) {
		f.all(dropped)
		require.Equal(t, http.StatusBadGateway, f.do(f.request(http.MethodGet, "/scan/x", "r1", "")).status)
		require.Equal(t, 2, f.runs("r1"))
		for n := range 100 {
			// Each asks for something else: copies of one request would be kept away for crashing upstreams.
			f.do(f.request(http.MethodGet, fmt.Sprintf("/scan/%d", n), "crowd", ""))
		}
		extra := f.runs("crowd") - 100
		require.LessOrEqual(t, extra, int(0.2*100)+burst)
		require.Positive(t, extra)
	})
}

// An upstream says that it did not run a request. One that is not idempotent and
// may be sent to one upstream only is refused, truly as not run.
func TestRejectedRequestIsRefusedAsNotRun(t *testing.T) {
	run(t, []string{"mailbox-1", "mailbox-2"}, func(t *testing.T, f *fixture) {
		f.all(func(*standin.Runner) standin.Behavior {
			return func(w http.ResponseWriter, _ *http.Request, _ []byte) bool {
				standin.Shed(w)
				return true
			}
		})
		got := f.do(f.request(http.MethodPost, "/notice/x", "r1", "body"))
		require.Equal(t, http.StatusServiceUnavailable, got.status)
		require.NotEmpty(t, got.header.Get("Retry-After"))
		require.Zero(t, f.runs("r1"))
	})
}

// spoiled is an answer that is none, in one way or another.
func spoiled(text string, closing bool) func(u *standin.Runner) standin.Behavior {
	return func(u *standin.Runner) standin.Behavior {
		return func(w http.ResponseWriter, r *http.Request, body []byte) bool {
			id := u.Note(r, body).ID
			raw(w, func(c net.Conn, _ *bufio.ReadWriter) {
				_, _ = io.WriteString(c, strings.ReplaceAll(text, "ID", id))
				if closing {
					_ = c.Close()
				}
			})
			return true
		}
	}
}

// sealed is the head of a success; ID stands for the request's identifier.
var sealed = standin.Head(http.StatusOK, "ID", "s")

// An upstream's answer is cut, is no answer, bears no signature or belongs to
// another request. The caller of a notice gets an error that promises nothing;
// in no case does it get a success, nor is the notice sent again.
func TestSpoiledAnswerIsNoSuccess(t *testing.T) {
	tests := map[string]string{
		"cut":            sealed + "Content-Length: 100\r\n\r\nhalf",
		"cut chunk":      sealed + "Transfer-Encoding: chunked\r\n\r\n64\r\nhalf",
		"no answer":      "garbage garbage\r\n\r\n",
		"cut head":       sealed,
		"unsealed":       standin.Head(http.StatusOK, "ID", "") + "Content-Length: 2\r\n\r\nok",
		"other request":  strings.ReplaceAll(sealed, "ID", "another") + "Content-Length: 2\r\n\r\nok",
		"nameless":       standin.Head(http.StatusOK, "", "s") + "Content-Length: 2\r\n\r\nok",
		"cut interim":    "HTTP/1.1 102 Processing\r\n\r\n",
		"negative chunk": sealed + "Transfer-Encoding: chunked\r\n\r\n-1\r\nxx",
	}
	for name, text := range tests {
		t.Run(name, func(t *testing.T) {
			run(t, []string{"mailbox-1", "mailbox-2"}, func(t *testing.T, f *fixture) {
				f.all(spoiled(text, true))
				got := f.do(f.request(http.MethodPost, "/notice/x", "r1", "body"))
				require.NoError(t, got.err)
				require.Equal(t, http.StatusBadGateway, got.status)
				require.Equal(t, 1, f.runs("r1"))
			})
		})
	}
}

// After an interim answer comes the real one.
func TestInterimAnswersArePassedOver(t *testing.T) {
	run(t, []string{"mailbox-1"}, func(t *testing.T, f *fixture) {
		f.all(spoiled("HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n"+sealed+"Content-Length: 2\r\n\r\nok", false))
		got := f.do(f.request(http.MethodPost, "/notice/x", "r1", "body"))
		require.Equal(t, "ok", got.body)
	})
}

// An upstream sends a second answer to one request just as the next one's is due
// on the same connection. Taken for the next one's, a caller would read another's
// answer; the identifier shows whose it is, and the right one follows.
func TestLateSecondAnswerIsPassedOver(t *testing.T) {
	run(t, []string{"mailbox-1"}, func(t *testing.T, f *fixture) {
		first := true
		f.all(func(u *standin.Runner) standin.Behavior {
			return func(w http.ResponseWriter, r *http.Request, body []byte) bool {
				id := u.Note(r, body).ID
				raw(w, func(c net.Conn, buf *bufio.ReadWriter) {
					write := func(id, text string) {
						_, _ = io.WriteString(c, strings.ReplaceAll(sealed, "ID", id)+"Content-Length: 2\r\n\r\n"+text)
					}
					write(id, "1.")
					next, err := http.ReadRequest(buf.Reader)
					if err != nil || !first {
						return
					}
					first = false
					_, _ = io.Copy(io.Discard, next.Body)
					u.Note(next, nil)
					write(id, "1.")
					write(next.Header.Get(standin.RequestIDHeader), "2.")
				})
				return true
			}
		})
		require.Equal(t, "1.", f.do(f.request(http.MethodPost, "/notice/x", "r1", "body")).body)
		require.Equal(t, "2.", f.do(f.request(http.MethodPost, "/notice/x", "r2", "body")).body)
		require.Equal(t, 1, f.runs("r2"))
	})
}

// An upstream answers before it has read a long body and reads no further. The
// next request must not be written where the rest of the body is due.
func TestConnectionOfAnEarlyAnswerIsNotUsedAgain(t *testing.T) {
	run(t, []string{"mailbox-1"}, func(t *testing.T, f *fixture) {
		heads := 0
		early := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			heads++
			raw(w, func(c net.Conn, _ *bufio.ReadWriter) {
				_, _ = io.WriteString(c, strings.ReplaceAll(sealed, "ID", r.Header.Get(standin.RequestIDHeader))+"Content-Length: 2\r\n\r\nok")
			})
		})
		address := f.feed.upstreams[0].Address
		f.net.Kill(address)
		f.net.Serve(address, early)
		long := strings.Repeat("x", 90_000)
		require.Equal(t, "ok", f.do(f.request(http.MethodPost, "/notice/x", "r1", long)).body)
		require.Equal(t, "ok", f.do(f.request(http.MethodPost, "/notice/x", "r2", long)).body)
		require.Equal(t, 2, heads, "each request came on a connection of its own")
	})
}

// A large answer takes longer than an upstream may be silent for. It is no silence,
// and the answer must not be cut off by the limit for its head.
func TestLongAnswerIsNotCutOff(t *testing.T) {
	run(t, []string{"mailbox-1"}, func(t *testing.T, f *fixture) {
		piece := strings.Repeat("x", wholeBytes/4)
		f.all(func(u *standin.Runner) standin.Behavior {
			return func(w http.ResponseWriter, r *http.Request, body []byte) bool {
				u.Seal(w.Header(), u.Note(r, body).ID)
				for range 8 {
					_, _ = io.WriteString(w, piece)
					_ = http.NewResponseController(w).Flush()
					time.Sleep(200 * time.Millisecond)
				}
				return true
			}
		})
		got := f.do(f.request(http.MethodGet, "/scan/x", "r1", ""))
		require.NoError(t, got.err)
		require.Len(t, got.body, 8*len(piece))
	})
}

// A body without a length ends with its connection, and is whole then.
func TestUnframedAnswerEndsWithItsConnection(t *testing.T) {
	run(t, []string{"mailbox-1"}, func(t *testing.T, f *fixture) {
		f.all(spoiled(sealed+"Connection: close\r\n\r\nwhole", true))
		got := f.do(f.request(http.MethodPost, "/notice/x", "r1", "body"))
		require.NoError(t, got.err)
		require.Equal(t, http.StatusOK, got.status)
		require.Equal(t, "whole", got.body)
	})
}

// An upstream fails by its own word. The failure of a notice is passed on as it
// is; a scan is fetched from another upstream.
func TestUpstreamsOwnFailure(t *testing.T) {
	run(t, []string{"mailbox-1", "mailbox-2"}, func(t *testing.T, f *fixture) {
		bad := f.runners["mailbox-1"]
		bad.SetBehavior(spoiled(standin.Head(http.StatusInternalServerError, "ID", "s")+"Content-Length: 3\r\n\r\nbad", true)(bad))
		f.net.Kill(f.feed.upstreams[1].Address)
		got := f.do(f.request(http.MethodPost, "/notice/x", "r1", "body"))
		require.Equal(t, http.StatusInternalServerError, got.status)
		require.Equal(t, "bad", got.body)
		require.Equal(t, "s", got.header.Get(standin.SealHeader))
		f.net.Serve(f.feed.upstreams[1].Address, f.runners["mailbox-2"])
		require.Equal(t, http.StatusOK, f.do(f.request(http.MethodGet, "/scan/x", "r2", "")).status)
	})
}

// On-call engineers explain a retried request from what is told of it.
func TestStoryTellsEveryDecision(t *testing.T) {
	run(t, []string{"mailbox-1", "mailbox-2"}, func(t *testing.T, f *fixture) {
		f.all(dropped)
		require.Equal(t, http.StatusBadGateway, f.do(f.request(http.MethodGet, "/scan/x", "r1", "")).status)
		story := f.journal.last()
		require.Equal(t, "r1", story.Request)
		require.Equal(t, "mailroom", story.Workspace)
		require.Equal(t, int64(7), story.Version)
		require.Equal(t, Refused, story.Outcome)
		var decisions []Decision
		for _, s := range story.Steps {
			decisions = append(decisions, s.Decision)
		}
		require.Equal(t, []Decision{Placed, Tried, Retried, Placed, Tried, Stopped}, decisions)
		require.Equal(t, "upstreams-bounded", story.Steps[5].Reason)
		require.Equal(t, 1, story.Steps[3].Candidates)
	})
}
