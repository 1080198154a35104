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

// dropConnection returns a behavior that executes a request and closes the connection without a
// response.
func dropConnection(u *standin.Runner) standin.Behavior {
	return func(w http.ResponseWriter, r *http.Request, body []byte) bool {
		u.RecordRun(r, body)
		hijack(w, func(c net.Conn, _ *bufio.ReadWriter) { _ = c.Close() })
		return true
	}
}

// An upstream closes a reused connection after it has taken the next request on it. HTTP clients
// retry such a request by themselves, at least a GET, and a notice would go out twice.
func TestNonIdempotentRequestIsNotRetried(t *testing.T) {
	tests := map[string]struct{ method, body string }{
		"post":              {http.MethodPost, "body"},
		"post without body": {http.MethodPost, ""},
		"get":               {http.MethodGet, ""},
		"head":              {http.MethodHead, ""},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			runFixture(t, []string{"mailbox-1", "mailbox-2"}, func(t *testing.T, f *fixture) {
				for range 4 {
					require.Equal(t, http.StatusOK, f.do(f.request(test.method, "/notice/x", "warm", test.body)).status)
				}
				f.setBehaviors(dropConnection)
				req := f.request(test.method, "/notice/x", "r1", test.body)
				req.Header.Set("Idempotency-Key", "idempotency-key-1")
				req.GetBody = nil
				got := f.do(req)
				if got.err == nil {
					require.Equal(t, http.StatusBadGateway, got.status, "502 does not claim that the request was not executed")
				}
				require.Equal(t, 1, f.runCount("r1"))
			})
		})
	}
}

// An idempotent request whose connection is dropped is retried at another upstream.
func TestIdempotentRequestIsRetried(t *testing.T) {
	runFixture(t, []string{"mailbox-1", "mailbox-2"}, func(t *testing.T, f *fixture) {
		failing := f.runners["mailbox-1"]
		failing.SetBehavior(dropConnection(failing))
		for _, id := range []string{"r1", "r2"} {
			got := f.do(f.request(http.MethodGet, "/scan/x", id, ""))
			require.Equal(t, http.StatusOK, got.status)
			require.Equal(t, "answer of mailbox-2 to "+id, got.body)
		}
	})
}

// If every upstream fails, a request is sent to no more upstreams than its route allows, and the
// retries of many requests stay within the budget.
func TestRetryLimits(t *testing.T) {
	runFixture(t, []string{"mailbox-1", "mailbox-2", "mailbox-3"}, func(t *testing.T, f *fixture) {
		f.setBehaviors(dropConnection)
		require.Equal(t, http.StatusBadGateway, f.do(f.request(http.MethodGet, "/scan/x", "r1", "")).status)
		require.Equal(t, 2, f.runCount("r1"))
		for n := range 100 {
			// Targets differ, because copies of one request would be quarantined for crashing
			// upstreams.
			f.do(f.request(http.MethodGet, fmt.Sprintf("/scan/%d", n), "crowd", ""))
		}
		retries := f.runCount("crowd") - 100
		require.LessOrEqual(t, retries, int(0.2*100)+minRetries)
		require.Positive(t, retries)
	})
}

// A non-idempotent request that an upstream rejects, on a route that allows one upstream only, is
// refused as not executed.
func TestRejectedRequestIsRefusedAsNotExecuted(t *testing.T) {
	runFixture(t, []string{"mailbox-1", "mailbox-2"}, func(t *testing.T, f *fixture) {
		f.setBehaviors(func(*standin.Runner) standin.Behavior {
			return func(w http.ResponseWriter, _ *http.Request, _ []byte) bool {
				standin.RejectNotExecuted(w)
				return true
			}
		})
		got := f.do(f.request(http.MethodPost, "/notice/x", "r1", "body"))
		require.Equal(t, http.StatusServiceUnavailable, got.status)
		require.NotEmpty(t, got.header.Get("Retry-After"))
		require.Zero(t, f.runCount("r1"))
	})
}

// rawResponse returns a behavior that executes a request and writes text to the connection, with ID
// replaced by the request's ID, and may close it.
func rawResponse(text string, closeConn bool) func(u *standin.Runner) standin.Behavior {
	return func(u *standin.Runner) standin.Behavior {
		return func(w http.ResponseWriter, r *http.Request, body []byte) bool {
			id := u.RecordRun(r, body).ID
			hijack(w, func(c net.Conn, _ *bufio.ReadWriter) {
				_, _ = io.WriteString(c, strings.ReplaceAll(text, "ID", id))
				if closeConn {
					_ = c.Close()
				}
			})
			return true
		}
	}
}

// signedHead is the signed response head of a success; ID stands for the request's ID.
var signedHead = standin.ResponseHead(http.StatusOK, "ID", "s")

// A response that is truncated, malformed, unsigned or belongs to another request must not become a
// success, nor may the notice be sent again. The caller gets an error that does not say whether it
// was executed.
func TestMalformedResponseIsRefused(t *testing.T) {
	tests := map[string]string{
		"truncated body":           signedHead + "Content-Length: 100\r\n\r\nhalf",
		"truncated chunk":          signedHead + "Transfer-Encoding: chunked\r\n\r\n64\r\nhalf",
		"not HTTP":                 "garbage garbage\r\n\r\n",
		"truncated head":           signedHead,
		"unsigned":                 standin.ResponseHead(http.StatusOK, "ID", "") + "Content-Length: 2\r\n\r\nok",
		"other request ID":         strings.ReplaceAll(signedHead, "ID", "another") + "Content-Length: 2\r\n\r\nok",
		"no request ID":            standin.ResponseHead(http.StatusOK, "", "s") + "Content-Length: 2\r\n\r\nok",
		"only an interim response": "HTTP/1.1 102 Processing\r\n\r\n",
		"negative chunk size":      signedHead + "Transfer-Encoding: chunked\r\n\r\n-1\r\nxx",
	}
	for name, text := range tests {
		t.Run(name, func(t *testing.T) {
			runFixture(t, []string{"mailbox-1", "mailbox-2"}, func(t *testing.T, f *fixture) {
				f.setBehaviors(rawResponse(text, true))
				got := f.do(f.request(http.MethodPost, "/notice/x", "r1", "body"))
				require.NoError(t, got.err)
				require.Equal(t, http.StatusBadGateway, got.status)
				require.Equal(t, 1, f.runCount("r1"))
			})
		})
	}
}

// An interim (1xx) response is followed by the final one.
func TestInterimResponseIsSkipped(t *testing.T) {
	runFixture(t, []string{"mailbox-1"}, func(t *testing.T, f *fixture) {
		f.setBehaviors(rawResponse("HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n"+signedHead+"Content-Length: 2\r\n\r\nok", false))
		got := f.do(f.request(http.MethodPost, "/notice/x", "r1", "body"))
		require.Equal(t, "ok", got.body)
	})
}

// An upstream sends a second response to one request just when that of the next request on the
// connection is due. Only the request ID keeps the next caller from reading another caller's
// response.
func TestDuplicateResponseIsSkipped(t *testing.T) {
	runFixture(t, []string{"mailbox-1"}, func(t *testing.T, f *fixture) {
		first := true
		f.setBehaviors(func(u *standin.Runner) standin.Behavior {
			return func(w http.ResponseWriter, r *http.Request, body []byte) bool {
				id := u.RecordRun(r, body).ID
				hijack(w, func(c net.Conn, buf *bufio.ReadWriter) {
					write := func(id, text string) {
						_, _ = io.WriteString(c, strings.ReplaceAll(signedHead, "ID", id)+"Content-Length: 2\r\n\r\n"+text)
					}
					write(id, "1.")
					next, err := http.ReadRequest(buf.Reader)
					if err != nil || !first {
						return
					}
					first = false
					_, _ = io.Copy(io.Discard, next.Body)
					u.RecordRun(next, nil)
					write(id, "1.")
					write(next.Header.Get(standin.RequestIDHeader), "2.")
				})
				return true
			}
		})
		require.Equal(t, "1.", f.do(f.request(http.MethodPost, "/notice/x", "r1", "body")).body)
		require.Equal(t, "2.", f.do(f.request(http.MethodPost, "/notice/x", "r2", "body")).body)
		require.Equal(t, 1, f.runCount("r2"))
	})
}

// An upstream responds before it has read a long body and stops reading. The next request must not
// be written where the rest of the body is due.
func TestConnectionIsNotReusedAfterEarlyResponse(t *testing.T) {
	runFixture(t, []string{"mailbox-1"}, func(t *testing.T, f *fixture) {
		requests := 0
		earlyResponder := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			requests++
			hijack(w, func(c net.Conn, _ *bufio.ReadWriter) {
				_, _ = io.WriteString(c, strings.ReplaceAll(signedHead, "ID", r.Header.Get(standin.RequestIDHeader))+"Content-Length: 2\r\n\r\nok")
			})
		})
		address := f.store.upstreams[0].Address
		f.net.Kill(address)
		f.net.Serve(address, earlyResponder)
		longBody := strings.Repeat("x", 90_000)
		require.Equal(t, "ok", f.do(f.request(http.MethodPost, "/notice/x", "r1", longBody)).body)
		require.Equal(t, "ok", f.do(f.request(http.MethodPost, "/notice/x", "r2", longBody)).body)
		require.Equal(t, 2, requests, "each request used a new connection")
	})
}

// A large response that takes longer than the first byte timeout must not be truncated by it, as
// the upstream is not silent.
func TestSlowLargeResponseIsNotTruncated(t *testing.T) {
	runFixture(t, []string{"mailbox-1"}, func(t *testing.T, f *fixture) {
		chunk := strings.Repeat("x", maxBufferedBytes/4)
		f.setBehaviors(func(u *standin.Runner) standin.Behavior {
			return func(w http.ResponseWriter, r *http.Request, body []byte) bool {
				u.SetResponseHeaders(w.Header(), u.RecordRun(r, body).ID)
				for range 8 {
					_, _ = io.WriteString(w, chunk)
					_ = http.NewResponseController(w).Flush()
					time.Sleep(200 * time.Millisecond)
				}
				return true
			}
		})
		got := f.do(f.request(http.MethodGet, "/scan/x", "r1", ""))
		require.NoError(t, got.err)
		require.Len(t, got.body, 8*len(chunk))
	})
}

// A response without a length is complete when its connection is closed.
func TestResponseDelimitedByConnectionClose(t *testing.T) {
	runFixture(t, []string{"mailbox-1"}, func(t *testing.T, f *fixture) {
		f.setBehaviors(rawResponse(signedHead+"Connection: close\r\n\r\nwhole", true))
		got := f.do(f.request(http.MethodPost, "/notice/x", "r1", "body"))
		require.NoError(t, got.err)
		require.Equal(t, http.StatusOK, got.status)
		require.Equal(t, "whole", got.body)
	})
}

// The error response of an upstream to a non-idempotent request is returned as it is; an idempotent
// request is retried at another upstream.
func TestUpstreamErrorResponse(t *testing.T) {
	runFixture(t, []string{"mailbox-1", "mailbox-2"}, func(t *testing.T, f *fixture) {
		failing := f.runners["mailbox-1"]
		failing.SetBehavior(rawResponse(standin.ResponseHead(http.StatusInternalServerError, "ID", "s")+"Content-Length: 3\r\n\r\nbad", true)(failing))
		f.net.Kill(f.store.upstreams[1].Address)
		got := f.do(f.request(http.MethodPost, "/notice/x", "r1", "body"))
		require.Equal(t, http.StatusInternalServerError, got.status)
		require.Equal(t, "bad", got.body)
		require.Equal(t, "s", got.header.Get(standin.SealHeader))
		f.net.Serve(f.store.upstreams[1].Address, f.runners["mailbox-2"])
		require.Equal(t, http.StatusOK, f.do(f.request(http.MethodGet, "/scan/x", "r2", "")).status)
	})
}

// The record of a retried request must let an on-call engineer explain each decision.
func TestRecordHoldsAllDecisions(t *testing.T) {
	runFixture(t, []string{"mailbox-1", "mailbox-2"}, func(t *testing.T, f *fixture) {
		f.setBehaviors(dropConnection)
		require.Equal(t, http.StatusBadGateway, f.do(f.request(http.MethodGet, "/scan/x", "r1", "")).status)
		record := f.recorder.lastRecord()
		require.Equal(t, "r1", record.RequestID)
		require.Equal(t, "mailroom", record.Workspace)
		require.Equal(t, int64(7), record.ConfigurationVersion)
		require.Equal(t, Refused, record.Outcome)
		var decisions []Decision
		for _, s := range record.Steps {
			decisions = append(decisions, s.Decision)
		}
		require.Equal(t, []Decision{Placed, Tried, Retried, Placed, Tried, Stopped}, decisions)
		require.Equal(t, "upstreams-bounded", record.Steps[5].Reason)
		require.Equal(t, 1, record.Steps[3].Candidates)
	})
}
