package exchange

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"jackdawhinge/platform"
	"jackdawhinge/platform/standin"
)

// endlessParts are what upstreams send first, and then again and again, of responses that never begin or end.
var endlessParts = map[string]struct{ first, endless string }{
	"a status line":               {"HTTP/1.1 200 ", "x"},
	"a header line":               {"HTTP/1.1 200 OK\r\nX-Long: ", "x"},
	"header lines":                {"HTTP/1.1 200 OK\r\n", "X-Line: x\r\n"},
	"interim responses":           {"", "HTTP/1.1 103 Early Hints\r\n\r\n"},
	"long interim responses":      {"", "HTTP/1.1 103 Early Hints\r\nLink: " + strings.Repeat("x", 1000) + "\r\n\r\n"},
	"the extension of a chunk":    {chunkedHead + "2;", "x"},
	"trailers":                    {chunkedHead + "2\r\nok\r\n0\r\n", "X-Line: x\r\n"},
	"no response":                 {"", "x"},
	"responses to other requests": {"", standin.ResponseHead(http.StatusOK, "r0", "s") + "Content-Length: 2\r\n\r\nno"},
	"a body of another response":  {standin.ResponseHead(http.StatusOK, "r0", "s") + "\r\n", "x"},
}

// maxEndlessBytes ends the test of a client that reads on.
const maxEndlessBytes = 8 << 20

// withEndlessResponse sends a request to an upstream that sends parts again and again, with pauses between them, until
// its connection is closed. It returns how many bytes were read, and the error of the exchange.
func withEndlessResponse(t *testing.T, first, endless string, pause time.Duration, timeout time.Duration) (read int, err error) {
	synctest.Test(t, func(t *testing.T) {
		near, far := net.Pipe()
		served := make(chan struct{})
		go func() {
			defer close(served)
			reader := bufio.NewReader(far)
			if _, err := http.ReadRequest(reader); err != nil {
				return
			}
			for part := first; ; part = endless {
				n, err := io.WriteString(far, part)
				if read += n; err != nil || read > maxEndlessBytes {
					_ = far.Close()
					return
				}
				time.Sleep(pause)
			}
		}()
		client := NewClient(platform.Protocol{}, func(context.Context, string, string) (net.Conn, error) { return near, nil })
		defer func() {
			client.Close()
			_ = far.Close()
			<-served
		}()
		ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
		defer cancel()
		req := newRequest("10.1.0.1:80", "r1")
		req.Method, req.Body, req.HeaderTimeout = http.MethodGet, nil, timeout
		cn, acquireErr := client.acquire(ctx, req)
		require.NoError(t, acquireErr)
		cn.used = true // so that responses to other requests are skipped
		client.putIdle(cn, time.Minute)
		var resp *Response
		if resp, err = client.Do(ctx, req); err == nil {
			defer resp.Close()
			_, err = io.Copy(io.Discard, resp)
		}
	})
	return read, err
}

// Guards against memory that grows with a response that never begins or ends.
func TestEndlessResponseIsBounded(t *testing.T) {
	const chunkOverhead = 256 << 10
	for name, test := range endlessParts {
		t.Run(name, func(t *testing.T) {
			endless := strings.Repeat(test.endless, max(1, 1000/len(test.endless)))
			read, err := withEndlessResponse(t, test.first, endless, 0, 0)
			require.Error(t, err)
			bound := maxHeaderBytes + chunkOverhead
			if strings.Contains(name, "other") {
				bound = maxStaleBodyBytes + maxHeaderBytes
			}
			require.LessOrEqual(t, read, bound+len(endless))
		})
	}
}

// Guards against a request that waits for a header that comes in small parts without end although it may be tried
// elsewhere.
func TestEndlessHeaderTimesOut(t *testing.T) {
	const pause = testTimeout / 10
	for name, test := range endlessParts {
		if strings.HasPrefix(test.first, chunkedHead) {
			continue
		}
		t.Run(name, func(t *testing.T) {
			read, err := withEndlessResponse(t, test.first, test.endless, pause, testTimeout)
			require.Error(t, err)
			require.LessOrEqual(t, read, len(test.first)+int(testTimeout/pause+2)*len(test.endless))
		})
	}
}
