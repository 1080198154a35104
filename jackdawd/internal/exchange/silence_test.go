package exchange

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"jackdawhinge/platform"
	"jackdawhinge/platform/standin"
)

const (
	testTimeout = 600 * time.Millisecond
	// testSilence is how long the upstreams of these tests are silent; sound ones are at times.
	testSilence = 1500 * time.Millisecond
)

// chunkedHead is the header of a response in chunks.
var chunkedHead = standin.ResponseHead(http.StatusOK, "r1", "s") + "Transfer-Encoding: chunked\r\n\r\n"

// silentParts are the parts of the responses of upstreams that are silent for testSilence after each
// but the last one. Each body is "ok".
var silentParts = map[string][]string{
	"before the response":        {"", chunkedHead + "2\r\nok\r\n0\r\n\r\n"},
	"after an interim response":  {"HTTP/1.1 103 Early Hints\r\n\r\n", chunkedHead + "2\r\nok\r\n0\r\n\r\n"},
	"within the header":          {chunkedHead[:20], chunkedHead[20:] + "2\r\nok\r\n0\r\n\r\n"},
	"before the body":            {chunkedHead, "2\r\nok\r\n0\r\n\r\n"},
	"within the size of a chunk": {chunkedHead + "1\r\no\r\n1", "\r\nk\r\n0\r\n\r\n"},
	"within the end of a chunk":  {chunkedHead + "1\r\no\r", "\n1\r\nk\r\n0\r\n\r\n"},
	"within a later chunk":       {chunkedHead, "1\r\no\r\n1", "\r\nk\r\n0\r\n\r\n"},
	"before the end":             {chunkedHead + "2\r\nok\r\n", "0\r\n\r\n"},
}

// withPartedResponse runs a test with the response of an upstream that sends parts with pauses between them.
// The response has testTimeout as its timeouts.
func withPartedResponse(t *testing.T, parts []string, pause time.Duration, abort bool, test func(t *testing.T, resp *Response, err error)) {
	synctest.Test(t, func(t *testing.T) {
		near, far := net.Pipe()
		served := make(chan struct{})
		go func() {
			defer close(served)
			if _, err := http.ReadRequest(bufio.NewReader(far)); err != nil {
				return
			}
			for i, part := range parts {
				if i > 0 {
					time.Sleep(pause)
				}
				_, _ = io.WriteString(far, part)
			}
		}()
		client := NewClient(platform.Protocol{}, func(context.Context, string, string) (net.Conn, error) { return near, nil })
		defer func() {
			client.Close()
			_ = far.Close()
			<-served
		}()
		req := newRequest("10.1.0.1:80", "r1")
		req.Method, req.Body, req.HeaderTimeout, req.AbortOnTimeout = http.MethodGet, nil, testTimeout, func(func()) bool { return abort }
		resp, err := client.Do(t.Context(), req)
		if err == nil {
			defer resp.Close()
			resp.SetReadTimeout(testTimeout)
		}
		test(t, resp, err)
	})
}

// Guards against a response that is given up for a silence within it although AbortOnTimeout says to go on
// waiting.
func TestSilenceWithinResponseIsWaitedFor(t *testing.T) {
	for name, parts := range silentParts {
		t.Run(name, func(t *testing.T) {
			withPartedResponse(t, parts, testSilence, false, func(t *testing.T, resp *Response, err error) {
				require.NoError(t, err)
				body, err := io.ReadAll(resp)
				require.NoError(t, err)
				require.Equal(t, "ok", string(body))
			})
		})
	}
}

// Guards against an upstream that is waited for although another one may be tried.
func TestSilenceWithinResponseTimesOut(t *testing.T) {
	for name, parts := range silentParts {
		t.Run(name, func(t *testing.T) {
			withPartedResponse(t, parts, testSilence, true, func(t *testing.T, resp *Response, err error) {
				start := time.Now()
				if err == nil {
					_, err = io.ReadAll(resp)
					require.Equal(t, testTimeout, time.Since(start))
				}
				require.ErrorIs(t, err, ErrReadTimeout)
			})
		})
	}
}

// Guards against a response that counts as late because its reader was busy with the part before: the timeout
// must not pass while nothing is read.
func TestTimeoutDoesNotPassBetweenReads(t *testing.T) {
	for name, timeout := range map[string]time.Duration{"timeout": testTimeout, "timeout removed": 0} {
		t.Run(name, func(t *testing.T) {
			parts := []string{chunkedHead, "1\r\no\r\n1", "\r\nk\r\n0\r\n\r\n"}
			withPartedResponse(t, parts, 0, true, func(t *testing.T, resp *Response, err error) {
				require.NoError(t, err)
				var first [1]byte
				_, err = io.ReadFull(resp, first[:])
				require.NoError(t, err)
				time.Sleep(testSilence)
				resp.SetReadTimeout(timeout)
				rest, err := io.ReadAll(resp)
				require.NoError(t, err)
				require.Equal(t, "k", string(rest))
			})
		})
	}
}

// Guards against a response that is given up late as its reader waits for the next timeout, and against one that is
// given up as a recheck came while nothing was read.
func TestRecheckAsksAtOnce(t *testing.T) {
	const recheckAfter = testTimeout + 10*time.Millisecond
	for name, abort := range map[string]bool{"to be given up": true, "to be waited for": false} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				near, far := net.Pipe()
				in, start := newInput(near), time.Now()
				var asked []time.Duration
				in.setTimeout(testTimeout)
				in.abort = func(recheck func()) bool {
					asked = append(asked, time.Since(start))
					if len(asked) == 1 {
						time.AfterFunc(recheckAfter-testTimeout, recheck)
					}
					return abort && len(asked) > 1
				}
				time.AfterFunc(testTimeout+50*time.Millisecond, func() { _, _ = far.Write([]byte("ok")) })
				buf := make([]byte, 2)
				n, err := in.Read(buf)
				require.Equal(t, []time.Duration{testTimeout, recheckAfter}, asked[:2])
				require.Equal(t, abort, err != nil)
				if abort {
					return
				}
				require.Equal(t, 2, n)
				in.recheck()
				time.AfterFunc(time.Millisecond, func() { _, _ = far.Write([]byte("on")) })
				_, err = in.Read(buf)
				require.NoError(t, err)
				require.Equal(t, "on", string(buf))
			})
		})
	}
}
