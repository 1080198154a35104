package relay

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"jackdawhinge/jackdawd/internal/quarantine"
	"jackdawhinge/platform/standin"
	"jackdawhinge/standin/network"
)

// An unframedResponse is a response with neither a length nor chunks, which ends with its connection.
type unframedResponse struct {
	contentType, body string
	// reset is set if the connection is reset in place of being closed.
	reset bool
}

// respondUnframed makes the first upstreams that get a request send unframed responses, and all others
// respond as usual.
func (f *fixture) respondUnframed(responses ...unframedResponse) {
	next := 0
	for _, u := range f.store.upstreams {
		runner := f.runners[u.ID]
		runner.SetBehavior(func(w http.ResponseWriter, r *http.Request, body []byte) bool {
			if next == len(responses) {
				return false
			}
			response := responses[next]
			next++
			id := runner.RecordRun(r, body).ID
			hijack(w, func(c net.Conn, _ *bufio.ReadWriter) {
				_, _ = fmt.Fprintf(c, "%sContent-Type: %s\r\n\r\n%s", strings.ReplaceAll(signedHead, "ID", id), response.contentType, response.body)
				time.Sleep(20 * time.Millisecond)
				if response.reset {
					f.net.CutRoute("", u.Address, network.Reset)
					f.net.CutRoute("", u.Address, "")
				}
				_ = c.Close()
			})
			return true
		})
	}
}

// Guards against a caller that gets a part of an unframed response as a whole one, and against a whole one
// that is not delivered because its length is not known.
func TestUnframedResponses(t *testing.T) {
	plain := func(body string, reset bool) unframedResponse { return unframedResponse{"text/plain", body, reset} }
	long := strings.Repeat("page ", maxBufferedBytes/4)
	tests := map[string]struct {
		path      string
		responses []unframedResponse
		// wantBody is the whole body that the caller gets; empty if it gets none.
		wantBody   string
		wantStatus int
	}{
		"whole":                   {"/notice/1", []unframedResponse{plain("a page", false)}, "a page", http.StatusOK},
		"whole, empty":            {"/notice/1", []unframedResponse{plain("", false)}, "", http.StatusOK},
		"whole, long":             {"/notice/1", []unframedResponse{plain(long, false)}, long, http.StatusOK},
		"reset, runs once":        {"/notice/1", []unframedResponse{plain("a pa", true)}, "", http.StatusBadGateway},
		"reset, long":             {"/notice/1", []unframedResponse{plain(long, true)}, "", 0},
		"reset, tried elsewhere":  {"/scan/1", []unframedResponse{plain("a pa", true), plain("a page", false)}, "a page", http.StatusOK},
		"reset, tried twice only": {"/scan/1", []unframedResponse{plain("a pa", true), plain("a", true)}, "", http.StatusBadGateway},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			runFixture(t, []string{"mailbox-1", "mailbox-2", "mailbox-3"}, func(t *testing.T, f *fixture) {
				f.respondUnframed(test.responses...)
				method := http.MethodPost
				if strings.HasPrefix(test.path, "/scan") {
					method = http.MethodGet
				}
				got := f.do(f.request(method, test.path, "1", ""))
				if test.wantStatus == 0 {
					require.Error(t, got.err, "the caller sees that it is not whole")
					return
				}
				require.NoError(t, got.err)
				require.Equal(t, test.wantStatus, got.status)
				if got.status == http.StatusOK {
					require.Equal(t, test.wantBody, got.body)
				}
				require.Equal(t, len(test.responses), f.runCount("1"))
				// The connection to the upstream must not serve another request.
				require.Equal(t, http.StatusOK, f.do(f.request(method, test.path, "2", "")).status)
			})
		})
	}
}

// Guards against an unframed stream whose beginning the caller takes for all of it, and against one that is
// whole and not taken for it.
func TestUnframedStreams(t *testing.T) {
	stream := func(body string, reset bool) unframedResponse {
		return unframedResponse{"text/event-stream", body, reset}
	}
	all, inside := eventRange(1, 4), eventRange(1, 2)+standin.Event(3)[:9]
	tests := map[string]struct {
		path      string
		responses []unframedResponse
		// wantBody is what the caller gets as a whole stream; empty if it gets none.
		wantBody string
	}{
		"whole":                        {"/sort/1", []unframedResponse{stream(all, false)}, all},
		"ends inside an event":         {"/sort/1", []unframedResponse{stream(inside, false)}, ""},
		"reset between events":         {"/sort/1", []unframedResponse{stream(eventRange(1, 2), true)}, ""},
		"reset inside an event":        {"/sort/1", []unframedResponse{stream(inside, true)}, ""},
		"resumed by a framed one":      {"/digest/1", []unframedResponse{stream(inside, false)}, all},
		"resumed by an unframed one":   {"/digest/1", []unframedResponse{stream(inside, false), stream(eventRange(3, 4), false)}, all},
		"resumed after a reset":        {"/digest/1", []unframedResponse{stream(eventRange(1, 2), true), stream(eventRange(3, 4), false)}, all},
		"resumed one breaks off":       {"/digest/1", []unframedResponse{stream(inside, false), stream(standin.Event(3)[:9], false)}, ""},
		"empty":                        {"/sort/1", []unframedResponse{stream("", false)}, ""},
		"ends before the first event":  {"/digest/1", []unframedResponse{stream("id: 1", false)}, all},
		"only line breaks at its end":  {"/sort/1", []unframedResponse{stream(all+"\n", false)}, all + "\n"},
		"line breaks of another style": {"/sort/1", []unframedResponse{stream(strings.ReplaceAll(all, "\n", "\r\n"), false)}, strings.ReplaceAll(all, "\n", "\r\n")},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			runFixture(t, []string{"reader-1", "reader-2", "reader-3"}, func(t *testing.T, f *fixture) {
				f.respondUnframed(test.responses...)
				got := f.do(f.streamRequest(test.path, "1", 4))
				if test.wantBody == "" {
					require.True(t, got.err != nil || got.status == http.StatusBadGateway, "status %d", got.status)
					return
				}
				require.NoError(t, got.err)
				require.Equal(t, http.StatusOK, got.status)
				require.Equal(t, test.wantBody, got.body)
			})
		})
	}
}

// Guards against a part that is cleared because an engine that it crashed seems to have ended its response:
// the connections of both just close.
func TestUnframedStreamClearsNothing(t *testing.T) {
	runFixture(t, []string{"reader-1", "reader-2", "reader-3", "reader-4", "reader-5"}, func(t *testing.T, f *fixture) {
		crash := unframedResponse{"text/event-stream", eventRange(1, 2), false}
		subjects := quarantine.PartSubjects("mailroom", []string{"aa", crashingPart})
		for n := range uint32(4) {
			f.handler.Quarantine.RecordCrash(time.Now(), subjects, quarantine.CrashRecord{Start: n, Ran: 100 * time.Millisecond})
			time.Sleep(300 * time.Millisecond)
			f.respondUnframed(crash)
			f.do(f.partRequest(fmt.Sprintf("crashing-%d", n), crashingPart, 4))
		}
		time.Sleep(time.Second)
		require.Equal(t, http.StatusServiceUnavailable, f.do(f.partRequest("refused", crashingPart, 4)).status)
	})
}
