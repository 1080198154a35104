package exchange

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"jackdawhinge/common/traffic"
	"jackdawhinge/platform"
	"jackdawhinge/platform/standin"
)

// upstream accepts connections on loopback and hands them to the test.
func upstream(t *testing.T) (address string, conns <-chan net.Conn) {
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

// answerTo reads a request and answers it.
func answerTo(t *testing.T, c net.Conn, reader *bufio.Reader) string {
	t.Helper()
	req, err := http.ReadRequest(reader)
	require.NoError(t, err)
	_, err = io.Copy(io.Discard, req.Body)
	require.NoError(t, err)
	id := req.Header.Get(standin.RequestIDHeader)
	_, err = io.WriteString(c, standin.Head(http.StatusOK, id, "s")+"Content-Length: 2\r\n\r\nok")
	require.NoError(t, err)
	return id
}

func call(address, id string) Call {
	return Call{Address: address, ID: id, Method: http.MethodPost, Target: "/x", Host: "a.example",
		Header: http.Header{standin.RequestIDHeader: {id}}, Body: []byte("body")}
}

// finish reads an answer to its end and gives its connection back.
func finish(t *testing.T, a *Answer, err error) {
	t.Helper()
	require.NoError(t, err)
	body, err := io.ReadAll(a)
	require.NoError(t, err)
	require.Equal(t, "ok", string(body))
	a.Close()
}

// exchangeOnce sends a call and answers it on the connection, a new one if it is nil.
func exchangeOnce(t *testing.T, client *Client, address, id string, conns <-chan net.Conn, c net.Conn, reader *bufio.Reader) (net.Conn, *bufio.Reader) {
	t.Helper()
	type outcome struct {
		a   *Answer
		err error
	}
	done := make(chan outcome, 1)
	go func() {
		a, err := client.Do(context.Background(), call(address, id))
		done <- outcome{a, err}
	}()
	if c == nil {
		c = <-conns
		reader = bufio.NewReader(c)
	}
	require.Equal(t, id, answerTo(t, c, reader))
	o := <-done
	finish(t, o.a, o.err)
	return c, reader
}

func TestConnectionIsUsedAgain(t *testing.T) {
	address, conns := upstream(t)
	client := NewClient(platform.Protocol{}, nil)
	defer client.Close()
	c, reader := exchangeOnce(t, client, address, "r1", conns, nil, nil)
	exchangeOnce(t, client, address, "r2", conns, c, reader)
	require.Equal(t, int64(1), client.Dialed())
}

// An idle connection was closed by the upstream, or bytes came on it unasked. A
// request sent on it would be lost, or read another answer.
func TestIdleConnectionIsCheckedBeforeUse(t *testing.T) {
	tests := map[string]func(c net.Conn){
		"closed": func(c net.Conn) { _ = c.Close() },
		"extra answer": func(c net.Conn) {
			_, _ = io.WriteString(c, standin.Head(http.StatusOK, "r1", "")+"Content-Length: 2\r\n\r\nno")
		},
	}
	for name, spoil := range tests {
		t.Run(name, func(t *testing.T) {
			address, conns := upstream(t)
			client := NewClient(platform.Protocol{}, nil)
			defer client.Close()
			c, _ := exchangeOnce(t, client, address, "r1", conns, nil, nil)
			spoil(c)
			kept := client.idle[address][0]
			for kept.quiet() {
				// What the upstream did is on its way through the kernel.
			}
			exchangeOnce(t, client, address, "r2", conns, nil, nil)
			require.Equal(t, int64(2), client.Dialed())
		})
	}
}

func TestConnectionsAreBounded(t *testing.T) {
	address, _ := upstream(t)
	client := NewClient(platform.Protocol{}, nil)
	defer client.Close()
	one := call(address, "r1")
	one.MaxConnections = 1
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	k, err := client.take(ctx, one)
	require.NoError(t, err)
	_, err = client.Do(ctx, one)
	require.ErrorIs(t, err, ErrBusy)
	var notSent *NotSentError
	require.ErrorAs(t, err, &notSent)
	client.discard(k)
	go func() {
		_, err := client.Do(ctx, one)
		ended <- err
	}()
	cancel()
	require.Error(t, <-ended)
	require.Empty(t, client.open, "no connection is counted that is gone")
}

func TestRefusedConnectionSendsNothing(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	address := l.Addr().String()
	require.NoError(t, l.Close())
	client := NewClient(platform.Protocol{}, nil)
	defer client.Close()
	_, err = client.Do(t.Context(), call(address, "r1"))
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
		a, err := client.Do(b.Context(), call(l.Addr().String(), "r1"))
		require.NoError(b, err)
		_, _ = io.Copy(io.Discard, a)
		a.Close()
	}
}

// An upstream starts again at its address under its identifier. The connection that was
// kept belongs to its earlier start: the request goes over a new one.
func TestConnectionToAnEarlierStartIsNotUsed(t *testing.T) {
	address, conns := upstream(t)
	client := NewClient(platform.Protocol{}, nil)
	defer client.Close()
	answered := make(chan string, 2)
	go func() {
		for range 2 {
			c := <-conns
			answered <- answerTo(t, c, bufio.NewReader(c))
		}
	}()
	for i, id := range []string{"1", "2"} {
		c := call(address, id)
		c.Upstream = traffic.Start{ID: "i-1", Incarnation: traffic.Incarnation(1000 + i)}
		a, err := client.Do(t.Context(), c)
		finish(t, a, err)
		require.Equal(t, id, <-answered)
	}
	require.EqualValues(t, 2, client.Dialed())
}
