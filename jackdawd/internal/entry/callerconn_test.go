package entry

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"jackdawhinge/standin/network"
)

const (
	testCallerAddress = "10.0.0.1:80"
	// testIdleTimeout is so short that a new connection exceeds it before headerTimeout.
	testIdleTimeout = 5 * time.Second
)

// callerServerFixture is a callers' server over connections in memory, without housekeeping.
type callerServerFixture struct {
	t           *testing.T
	net         *network.Network
	conns       *callerConns
	idleTimeout atomic.Int64
	// handled counts the requests that reached the handler.
	handled atomic.Int64
	// onRead runs once, after bytes were received and before the server has them; onDeadline runs once, the
	// next time that a read deadline is set after that; onClose runs once, before a connection is closed.
	onRead, onDeadline, onClose func()
}

// runCallerServer runs a test with a callers' server that has a maximum number of connections.
func runCallerServer(t *testing.T, maxOpen int, test func(t *testing.T, f *callerServerFixture)) {
	synctest.Test(t, func(t *testing.T) {
		f := &callerServerFixture{t: t, net: network.New()}
		f.idleTimeout.Store(int64(testIdleTimeout))
		f.conns = newCallerConns(maxOpen, func() time.Duration { return time.Duration(f.idleTimeout.Load()) }, nil)
		server := newCallerServer(testCallerAddress, http.HandlerFunc(func(http.ResponseWriter, *http.Request) { f.handled.Add(1) }), f.conns)
		listener := f.net.Listen(testCallerAddress)
		go func() { _ = server.Serve(f.conns.listen(hookedListener{listener, f})) }()
		defer func() {
			f.net.Kill(testCallerAddress)
			require.NoError(t, server.Close())
		}()
		test(t, f)
	})
}

type hookedListener struct {
	net.Listener
	f *callerServerFixture
}

// Accept returns a connection that runs the hooks of a test.
func (l hookedListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	return &hookedConn{Conn: conn, f: l.f}, err
}

type hookedConn struct {
	net.Conn
	f *callerServerFixture
	// hasRead is set once onRead has run.
	hasRead bool
}

// Read runs onRead if it received bytes.
func (c *hookedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if hook := c.f.onRead; hook != nil && n > 0 {
		c.f.onRead, c.hasRead = nil, true
		hook()
	}
	return n, err
}

// SetReadDeadline runs onDeadline if onRead has run.
func (c *hookedConn) SetReadDeadline(deadline time.Time) error {
	if hook := c.f.onDeadline; hook != nil && c.hasRead {
		c.f.onDeadline = nil
		hook()
	}
	return c.Conn.SetReadDeadline(deadline)
}

// Close runs onClose.
func (c *hookedConn) Close() error {
	if hook := c.f.onClose; hook != nil {
		c.f.onClose = nil
		hook()
	}
	return c.Conn.Close()
}

func (f *callerServerFixture) dial() net.Conn {
	conn, err := f.net.Dial(f.t.Context(), "tcp", testCallerAddress)
	require.NoError(f.t, err)
	synctest.Wait()
	return conn
}

// isAnswered sends a request or the rest of one and reports whether its caller gets a response.
func (f *callerServerFixture) isAnswered(conn net.Conn, request string) bool {
	if _, err := io.WriteString(conn, request); err != nil {
		return false
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return false
	}
	require.Equal(f.t, http.StatusOK, resp.StatusCode)
	synctest.Wait()
	return true
}

const testRequest = "GET / HTTP/1.1\r\nHost: a.example\r\n\r\n"

// closeIdle are the events by which the host closes an idle connection, at a limit of one connection.
var closeIdle = map[string]func(f *callerServerFixture){
	"idle timeout": func(f *callerServerFixture) { f.conns.closeExpired(time.Now()) },
	"limit": func(f *callerServerFixture) {
		conn, _ := net.Pipe()
		f.conns.setState(f.conns.newConn(conn), http.StateNew)
	},
}

// Guards against connections closed under a request whose head arrives in two pieces.
func TestArrivingHeadIsAnswered(t *testing.T) {
	for name, closeIdle := range closeIdle {
		for use, isKept := range map[string]bool{"new connection": false, "kept connection": true} {
			t.Run(name+", "+use, func(t *testing.T) {
				runCallerServer(t, 1, func(t *testing.T, f *callerServerFixture) {
					conn := f.dial()
					if isKept {
						require.True(t, f.isAnswered(conn, testRequest))
					}
					time.Sleep(testIdleTimeout + 2*idleTimeoutMargin)
					_, err := io.WriteString(conn, testRequest[:1])
					require.NoError(t, err)
					synctest.Wait()
					closeIdle(f)
					require.True(t, f.isAnswered(conn, testRequest[1:]))
					require.Equal(t, int64(1), f.conns.keptCount())
				})
			})
		}
	}
}

// Guards against a request that is lost or runs for nobody as its connection is closed at the same time.
func TestRequestDuringCloseIsAnsweredOrNotHandled(t *testing.T) {
	for name, closeIdle := range closeIdle {
		t.Run(name+", before the server has the request", func(t *testing.T) {
			runCallerServer(t, 1, func(t *testing.T, f *callerServerFixture) {
				conn := f.dial()
				time.Sleep(testIdleTimeout + 2*idleTimeoutMargin)
				f.onRead = func() { closeIdle(f) }
				require.False(t, f.isAnswered(conn, testRequest))
				synctest.Wait()
				require.Zero(t, f.handled.Load())
				require.Equal(t, int64(1), f.conns.discarded.Load())
			})
		})
		t.Run(name+", while the server reads the request", func(t *testing.T) {
			runCallerServer(t, 1, func(t *testing.T, f *callerServerFixture) {
				conn := f.dial()
				time.Sleep(testIdleTimeout + 2*idleTimeoutMargin)
				f.onRead, f.onDeadline = func() {}, func() { closeIdle(f) }
				require.True(t, f.isAnswered(conn, testRequest))
				require.Nil(t, f.onDeadline, "the event must have come")
			})
		})
	}
}

// Guards against a sound request that gets a 400 as its bytes are discarded before its connection is closed.
func TestDiscardedRequestGetsNoResponse(t *testing.T) {
	for name, closeIdle := range closeIdle {
		t.Run(name, func(t *testing.T) {
			runCallerServer(t, 1, func(t *testing.T, f *callerServerFixture) {
				conn := f.dial()
				time.Sleep(testIdleTimeout + 2*idleTimeoutMargin)
				closing, goOn := make(chan struct{}), make(chan struct{})
				f.onClose = func() {
					close(closing)
					<-goOn
				}
				f.onRead = func() {
					go closeIdle(f)
					<-closing
				}
				_, err := io.WriteString(conn, testRequest)
				require.NoError(t, err)
				got, err := io.ReadAll(conn)
				close(goOn)
				require.NoError(t, err)
				require.Empty(t, string(got))
				require.Zero(t, f.handled.Load())
			})
		})
	}
}

// Guards against connections that stay open for ever as the head of a request never ends. net/http has no
// deadline for the first four bytes on a kept connection.
func TestUnfinishedHeadTimesOut(t *testing.T) {
	for use, isKept := range map[string]bool{"new connection": false, "kept connection": true} {
		for name, sent := range map[string]string{"first byte": testRequest[:1], "half the head": testRequest[:len(testRequest)/2]} {
			t.Run(use+", "+name, func(t *testing.T) {
				runCallerServer(t, 1, func(t *testing.T, f *callerServerFixture) {
					conn := f.dial()
					if isKept {
						require.True(t, f.isAnswered(conn, testRequest))
					}
					time.Sleep(time.Second)
					_, err := io.WriteString(conn, sent)
					require.NoError(t, err)
					start := time.Now()
					_, err = io.ReadAll(conn)
					require.NoError(t, err)
					require.LessOrEqual(t, time.Since(start), headerTimeout)
				})
			})
		}
	}
}

// Guards against pipelined requests that are not answered, and against connections that are never closed
// after them, as their heads are read while the connection still has another request.
func TestPipelinedRequests(t *testing.T) {
	runCallerServer(t, 1, func(t *testing.T, f *callerServerFixture) {
		conn := f.dial()
		_, err := io.WriteString(conn, testRequest+testRequest)
		require.NoError(t, err)
		for responses, reader := 0, bufio.NewReader(conn); responses < 2; responses++ {
			_, err := http.ReadResponse(reader, nil)
			require.NoError(t, err)
		}
		time.Sleep(testIdleTimeout + 2*idleTimeoutMargin)
		f.conns.closeExpired(time.Now())
		synctest.Wait()
		require.Zero(t, f.conns.count())
	})
}

// Guards against a reset in place of a refusal: net/http ends only its own side of the connection after it.
func TestCloseWriteLeavesReadingOpen(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	client, err := net.Dial("tcp", listener.Addr().String())
	require.NoError(t, err)
	conn, err := newCallerConns(1, nil, nil).listen(listener).Accept()
	require.NoError(t, err)
	require.NoError(t, conn.(interface{ CloseWrite() error }).CloseWrite())
	_, err = client.Read(make([]byte, 1))
	require.ErrorIs(t, err, io.EOF)
	_, err = io.WriteString(client, testRequest)
	require.NoError(t, err)
	_, err = io.ReadFull(conn, make([]byte, len(testRequest)))
	require.NoError(t, err)
	require.NoError(t, errors.Join(client.Close(), conn.Close(), listener.Close()))
}

// Guards against requests lost as a configuration lowers the idle timeout that callers relied on.
func TestChangedIdleTimeout(t *testing.T) {
	for name, test := range map[string]struct {
		before, after, idle time.Duration
		// isOpen and isLaterOpen are set if connections that are idle since before and after the change stay
		// open.
		isOpen, isLaterOpen bool
	}{
		"lowered":                  {15 * time.Second, 2 * time.Second, 12 * time.Second, true, false},
		"lowered, idle too long":   {15 * time.Second, 2 * time.Second, 18 * time.Second, false, false},
		"raised":                   {2 * time.Second, 15 * time.Second, 12 * time.Second, true, true},
		"unchanged":                {15 * time.Second, 15 * time.Second, 12 * time.Second, true, true},
		"unchanged, idle too long": {2 * time.Second, 2 * time.Second, 5 * time.Second, false, false},
	} {
		t.Run(name, func(t *testing.T) {
			runCallerServer(t, 10, func(t *testing.T, f *callerServerFixture) {
				conn, later := f.dial(), f.dial()
				f.idleTimeout.Store(int64(test.before))
				require.True(t, f.isAnswered(conn, testRequest))
				f.idleTimeout.Store(int64(test.after))
				require.True(t, f.isAnswered(later, testRequest))
				for range test.idle / housekeepingInterval {
					time.Sleep(housekeepingInterval)
					f.conns.closeExpired(time.Now())
				}
				require.Equal(t, test.isOpen, f.isAnswered(conn, testRequest))
				require.Equal(t, test.isLaterOpen, f.isAnswered(later, testRequest))
			})
		})
	}
}

// Guards against connections closed under a request that a busy host has not read yet.
func TestUnreadRequestKeepsConnectionOpen(t *testing.T) {
	for name, test := range map[string]struct {
		sent   string
		isOpen bool
	}{"nothing sent": {"", false}, "part of a request": {testRequest[:1], true}} {
		t.Run(name, func(t *testing.T) {
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			require.NoError(t, err)
			client, err := net.Dial("tcp", listener.Addr().String())
			require.NoError(t, err)
			_, err = io.WriteString(client, test.sent)
			require.NoError(t, err)
			conns := newCallerConns(1, func() time.Duration { return testIdleTimeout }, nil)
			conn, err := conns.listen(listener).Accept()
			require.NoError(t, err)
			conns.setState(conn, http.StateNew)
			conns.closeExpired(time.Now().Add(time.Hour))
			require.Equal(t, test.isOpen, conn.SetDeadline(time.Now()) == nil)
			require.NoError(t, client.Close())
			require.NoError(t, listener.Close())
		})
	}
}
