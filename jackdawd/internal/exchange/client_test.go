package exchange

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"jackdawhinge/common/traffic"
	"jackdawhinge/platform"
	"jackdawhinge/platform/standin"
)

// listen accepts connections on loopback and passes them to the test.
func listen(t *testing.T) (address string, conns <-chan net.Conn) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	out := make(chan net.Conn, 8)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				close(out)
				return
			}
			out <- c
		}
	}()
	return l.Addr().String(), out
}

// respond reads a request, responds to it and returns its identifier.
func respond(t *testing.T, c net.Conn, reader *bufio.Reader) string {
	t.Helper()
	req, err := http.ReadRequest(reader)
	require.NoError(t, err)
	_, err = io.Copy(io.Discard, req.Body)
	require.NoError(t, err)
	id := req.Header.Get(standin.RequestIDHeader)
	_, err = io.WriteString(c, standin.ResponseHead(http.StatusOK, id, "s")+"Content-Length: 2\r\n\r\nok")
	require.NoError(t, err)
	return id
}

// newRequest returns a POST request with a short body.
func newRequest(address, id string) Request {
	return Request{Address: address, ID: id, Method: http.MethodPost, Target: "/x", Host: "a.example",
		Header: http.Header{standin.RequestIDHeader: {id}}, Body: []byte("body")}
}

// finish reads a response to its end and returns its connection to the pool.
func finish(t *testing.T, resp *Response, err error) {
	t.Helper()
	require.NoError(t, err)
	body, err := io.ReadAll(resp)
	require.NoError(t, err)
	require.Equal(t, "ok", string(body))
	resp.Close()
}

// roundTrip sends a request and responds to it on connection c, or on a new one if c is nil.
func roundTrip(t *testing.T, client *Client, address, id string, conns <-chan net.Conn, c net.Conn, reader *bufio.Reader) (net.Conn, *bufio.Reader) {
	t.Helper()
	type result struct {
		resp *Response
		err  error
	}
	done := make(chan result, 1)
	go func() {
		resp, err := client.Do(context.Background(), newRequest(address, id))
		done <- result{resp, err}
	}()
	if c == nil {
		c = <-conns
		reader = bufio.NewReader(c)
	}
	require.Equal(t, id, respond(t, c, reader))
	res := <-done
	finish(t, res.resp, res.err)
	return c, reader
}

func TestConnectionIsReused(t *testing.T) {
	address, conns := listen(t)
	client := NewClient(platform.Protocol{}, nil)
	defer client.Close()
	c, reader := roundTrip(t, client, address, "r1", conns, nil, nil)
	roundTrip(t, client, address, "r2", conns, c, reader)
	require.Equal(t, int64(1), client.DialCount())
}

// The upstream closes an idle connection or sends unsolicited bytes on it. A request sent on it
// would be lost or get the wrong response.
func TestIdleConnectionIsCheckedBeforeUse(t *testing.T) {
	tests := map[string]func(c net.Conn){
		"closed": func(c net.Conn) { _ = c.Close() },
		"unsolicited response": func(c net.Conn) {
			_, _ = io.WriteString(c, standin.ResponseHead(http.StatusOK, "r1", "")+"Content-Length: 2\r\n\r\nno")
		},
	}
	for name, disturb := range tests {
		t.Run(name, func(t *testing.T) {
			address, conns := listen(t)
			client := NewClient(platform.Protocol{}, nil)
			defer client.Close()
			c, _ := roundTrip(t, client, address, "r1", conns, nil, nil)
			disturb(c)
			idle := client.idle[address][0]
			for idle.reusable() {
				// Wait until the kernel has delivered what the upstream did.
			}
			roundTrip(t, client, address, "r2", conns, nil, nil)
			require.Equal(t, int64(2), client.DialCount())
		})
	}
}

func TestMaxConnections(t *testing.T) {
	address, _ := listen(t)
	client := NewClient(platform.Protocol{}, nil)
	defer client.Close()
	limited := newRequest(address, "r1")
	limited.MaxConnections = 1
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error, 1)
	cn, err := client.acquire(ctx, limited)
	require.NoError(t, err)
	_, err = client.Do(ctx, limited)
	require.ErrorIs(t, err, ErrTooManyConnections)
	var notSent *NotSentError
	require.ErrorAs(t, err, &notSent)
	client.discard(cn)
	go func() {
		_, err := client.Do(ctx, limited)
		done <- err
	}()
	cancel()
	require.Error(t, <-done)
	require.Empty(t, client.open, "closed connections are not counted")
}

func TestRefusedConnectionIsNotSent(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	address := l.Addr().String()
	require.NoError(t, l.Close())
	client := NewClient(platform.Protocol{}, nil)
	defer client.Close()
	_, err = client.Do(t.Context(), newRequest(address, "r1"))
	var notSent *NotSentError
	require.ErrorAs(t, err, &notSent)
	require.Empty(t, client.open)
}

func BenchmarkExchange(b *testing.B) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(b, err)
	defer func() { _ = l.Close() }()
	go func() {
		_ = http.Serve(l, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set(standin.RequestIDHeader, r.Header.Get(standin.RequestIDHeader))
			w.Header().Set(standin.SealHeader, "s")
			_, _ = io.WriteString(w, "ok")
		}))
	}()
	client := NewClient(platform.Protocol{}, nil)
	defer client.Close()
	for b.Loop() {
		resp, err := client.Do(b.Context(), newRequest(l.Addr().String(), "r1"))
		require.NoError(b, err)
		_, _ = io.Copy(io.Discard, resp)
		resp.Close()
	}
}

// An upstream restarts with the same address and identifier. The idle connection belongs to its
// earlier instance, so the next request must use a new one.
func TestConnectionToEarlierInstanceIsNotReused(t *testing.T) {
	address, conns := listen(t)
	client := NewClient(platform.Protocol{}, nil)
	defer client.Close()
	requestIDs := make(chan string, 2)
	go func() {
		for range 2 {
			c := <-conns
			requestIDs <- respond(t, c, bufio.NewReader(c))
		}
	}()
	for i, id := range []string{"1", "2"} {
		req := newRequest(address, id)
		req.Upstream = traffic.UpstreamInstance{ID: "i-1", Incarnation: traffic.Incarnation(1000 + i)}
		resp, err := client.Do(t.Context(), req)
		finish(t, resp, err)
		require.Equal(t, id, <-requestIDs)
	}
	require.EqualValues(t, 2, client.DialCount())
}

// Guards against a response with neither a length nor chunks that is taken for whole although its connection
// was reset, and against a request that is sent on the connection of a whole one.
func TestUnframedResponseEndsWithConnection(t *testing.T) {
	for name, reset := range map[string]bool{"closed": false, "reset": true} {
		t.Run(name, func(t *testing.T) {
			address, conns := listen(t)
			client := NewClient(platform.Protocol{}, nil)
			defer client.Close()
			served := make(chan error, 1)
			go func() {
				c := <-conns
				req, err := http.ReadRequest(bufio.NewReader(c))
				if err == nil {
					_, err = io.Copy(io.Discard, req.Body)
				}
				if err == nil {
					_, err = io.WriteString(c, standin.ResponseHead(http.StatusOK, "1", "s")+"\r\nbody")
				}
				if reset && err == nil {
					err = c.(*net.TCPConn).SetLinger(0)
				}
				served <- errors.Join(err, c.Close())
			}()
			resp, err := client.Do(t.Context(), newRequest(address, "1"))
			if err != nil {
				require.True(t, reset)
				require.True(t, ClosedByPeer(err))
				return
			}
			require.False(t, resp.Framed())
			body, err := io.ReadAll(resp)
			resp.Close()
			require.NoError(t, <-served)
			require.Equal(t, reset, err != nil)
			if reset {
				require.True(t, ClosedByPeer(err))
				return
			}
			require.Equal(t, "body", string(body))
			require.Empty(t, client.idle[address])
		})
	}
}

// Guards against a rejection without an ID that is taken for one of this request. The upstream sends two late
// responses to the request before it, and may run this one.
func TestRejectionAfterStaleResponseIsUncertain(t *testing.T) {
	const rejection = "HTTP/1.1 503 Service Unavailable\r\n" + standin.NotExecutedHeader + ": 1\r\nContent-Length: 0\r\n\r\n"
	address, conns := listen(t)
	client := NewClient(platform.Protocol{}, nil)
	defer client.Close()
	c, reader := roundTrip(t, client, address, "r1", conns, nil, nil)
	go func() {
		if _, err := http.ReadRequest(reader); err == nil {
			_, _ = io.WriteString(c, standin.ResponseHead(http.StatusOK, "r1", "s")+"Content-Length: 2\r\n\r\nok"+rejection)
		}
	}()
	_, err := client.Do(t.Context(), newRequest(address, "r2"))
	var mismatch *MismatchError
	require.ErrorAs(t, err, &mismatch)
}

// Guards against a response without a length that is taken for whole although its connection was reset: the write of a
// long request may take the error of the reset from the read of the response.
func TestUnframedResponseDuringRequestIsUncertain(t *testing.T) {
	const attempts = 20
	address, conns := listen(t)
	client := NewClient(platform.Protocol{}, nil)
	defer client.Close()
	served := make(chan error, 1)
	for range attempts {
		read := make(chan struct{})
		go func() {
			c := <-conns
			_, err := http.ReadRequest(bufio.NewReader(c))
			if err == nil {
				_, err = io.WriteString(c, standin.ResponseHead(http.StatusOK, "1", "s")+"\r\nbody")
			}
			<-read
			served <- errors.Join(err, c.(*net.TCPConn).SetLinger(0), c.Close())
		}()
		req := newRequest(address, "1")
		req.Body = make([]byte, 32<<20)
		resp, err := client.Do(t.Context(), req)
		require.NoError(t, err)
		_, err = io.ReadFull(resp, make([]byte, len("body")))
		require.NoError(t, err)
		close(read)
		_, err = io.ReadAll(resp)
		resp.Close()
		require.NoError(t, <-served)
		require.Error(t, err)
		require.True(t, ClosedByPeer(err))
	}
}
