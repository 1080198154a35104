package exchange

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"jackdawhinge/common/traffic"
)

const (
	// readBufferSize is enough for the header of a response and a usual event of its stream.
	readBufferSize = 4 << 10
	// defaultMaxIdle bounds how long an idle connection is pooled. It is less if the upstream
	// states a shorter idle timeout.
	defaultMaxIdle = 8 * time.Second
	// idleMargin is how much earlier than the upstream's idle timeout this host stops using a
	// connection, so that a request does not cross the upstream's close.
	idleMargin = 1 * time.Second
	// maxIdlePerUpstream bounds the idle connections to one upstream.
	maxIdlePerUpstream = 4
	// maxRelayedIdle bounds how long an idle connection through another host is pooled, as it takes
	// one of the few that the other host holds for all.
	maxRelayedIdle = 2 * time.Second
	// maxHeaderBytes bounds the header of a response and the interim responses before it.
	maxHeaderBytes = 64 << 10
	// maxStaleResponses bounds the responses to earlier requests that are skipped.
	maxStaleResponses = 3
	// maxStaleBodyBytes bounds the body of such a response.
	maxStaleBodyBytes = 1 << 20
	// concurrentWriteThreshold is the size in bytes above which a body is written while the
	// response is read: an upstream may respond before it has read all of the body, and then read
	// no further.
	concurrentWriteThreshold = 16 << 10
	// closeInterval is how often expired idle connections are closed.
	closeInterval = time.Second
)

// A ResponseParser parses the status and headers of responses.
type ResponseParser interface {
	ParseResponse(status int, h http.Header) traffic.Response
}

// A Request is one request to one upstream.
type Request struct {
	Address string
	// Upstream is the instance of the upstream that is to run the request. Connections to an earlier
	// instance at the same address are not used.
	Upstream traffic.UpstreamInstance
	// ID is the request identifier that the response must carry.
	ID     string
	Method string
	// Target is the path and query exactly as the caller sent them.
	Target string
	Host   string
	Header http.Header
	Body   []byte
	// HeaderTimeout is how long the upstream may take until the header of the response is complete, whatever it sends
	// before that; 0 means that only the context bounds it.
	HeaderTimeout time.Duration
	// AbortOnTimeout is called when the timeout for the header, or later the one for the body, has passed, and then
	// each quarter of it, and reports whether to stop waiting; nil means always. Until data comes, other goroutines may
	// call recheck for it to be called again at once.
	AbortOnTimeout func(recheck func()) bool
	// MaxIdleTime bounds how long the connection may have been idle; 0 means no bound. A request that
	// must not run twice avoids connections that the upstream may be about to close.
	MaxIdleTime time.Duration
	// OnConnected is called once the request has a connection, and again if that turns out to be
	// closed; nil for nothing to call. It is given the host that the connection leads through, empty
	// for none.
	OnConnected func(through string)
	// MaxConnections bounds this host's connections to the upstream; 0 means no bound.
	MaxConnections int
}

// A Client sends requests to upstreams and pools connections. It is safe for concurrent use.
type Client struct {
	parser ResponseParser
	dial   func(ctx context.Context, network, address string) (net.Conn, error)
	mu     sync.Mutex
	// idle holds the idle connections and open counts all connections, by address.
	idle   map[string][]*conn
	open   map[string]int
	dialed int64
	stop   chan struct{}
}

// NewClient returns a client that parses responses with parser and connects with dial, or over TCP
// if it is nil.
func NewClient(parser ResponseParser, dial func(ctx context.Context, network, address string) (net.Conn, error)) *Client {
	if dial == nil {
		dial = NewDialer().DialContext
	}
	c := &Client{parser: parser, dial: dial, idle: map[string][]*conn{}, open: map[string]int{}, stop: make(chan struct{})}
	go func() {
		ticker := time.NewTicker(closeInterval)
		defer ticker.Stop()
		for {
			select {
			case <-ticker.C:
				c.closeExpired(time.Now())
			case <-c.stop:
				return
			}
		}
	}()
	return c
}

// Close closes the idle connections.
func (c *Client) Close() {
	close(c.stop)
	c.mu.Lock()
	defer c.mu.Unlock()
	for address, idle := range c.idle {
		for _, cn := range idle {
			_ = cn.Close()
		}
		c.open[address] -= len(idle)
	}
	clear(c.idle)
}

// DialCount returns how many connections the client has dialed, including failed attempts.
func (c *Client) DialCount() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.dialed
}

// Do sends a request and reads the header of its response, which the caller must close. An error is
// a *NotSentError, an *InterruptedError or a *MismatchError.
func (c *Client) Do(ctx context.Context, req Request) (*Response, error) {
	for {
		cn, err := c.acquire(ctx, req)
		if err != nil {
			return nil, &NotSentError{Cause: err}
		}
		if req.OnConnected != nil {
			req.OnConnected(cn.peer())
		}
		resp, err := c.send(ctx, cn, req)
		var notSent *NotSentError
		if errors.As(err, &notSent) && cn.used && ctx.Err() == nil {
			// The pooled connection was closed before any byte was written.
			continue
		}
		return resp, err
	}
}

// acquire returns a pooled connection that the request may use, or a new one.
func (c *Client) acquire(ctx context.Context, req Request) (*conn, error) {
	for {
		cn := c.popIdle(req)
		if cn == nil {
			break
		}
		// On a connection to an earlier instance, unsent data of that instance could be taken for
		// the response, and a request written to it may or may not arrive.
		if cn.upstream == req.Upstream && cn.reusable() {
			return cn, nil
		}
		c.discard(cn)
	}
	if err := c.reserve(req); err != nil {
		return nil, err
	}
	raw, err := c.dial(ctx, "tcp", req.Address)
	if err != nil {
		c.mu.Lock()
		c.release(req.Address)
		c.mu.Unlock()
		return nil, err
	}
	in := newInput(raw)
	return &conn{Conn: raw, input: in, reader: bufio.NewReaderSize(in, readBufferSize), address: req.Address, upstream: req.Upstream}, nil
}

// reserve counts one connection more, or returns an error if the request's limit is reached.
func (c *Client) reserve(req Request) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if req.MaxConnections > 0 && c.open[req.Address] >= req.MaxConnections {
		return ErrTooManyConnections
	}
	c.open[req.Address]++
	c.dialed++
	return nil
}

// HasRoom reports whether a request with a maximum number of connections to an address may get one.
func (c *Client) HasRoom(address string, maxConnections int) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return maxConnections <= 0 || len(c.idle[address]) > 0 || c.open[address] < maxConnections
}

// popIdle takes the most recently used connection from the pool; nil if it has been idle for too
// long.
func (c *Client) popIdle(req Request) *conn {
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	idle := c.idle[req.Address]
	if len(idle) == 0 {
		return nil
	}
	cn := idle[len(idle)-1]
	idleTime := now.Sub(cn.idleSince)
	if idleTime > cn.maxIdle || (req.MaxIdleTime > 0 && idleTime > req.MaxIdleTime) {
		return nil
	}
	c.idle[req.Address] = idle[:len(idle)-1]
	return cn
}

func (c *Client) discard(cn *conn) {
	// An error needs no handling: the connection is no longer used.
	_ = cn.Close()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.release(cn.address)
}

// release counts one connection less; the lock must be held.
func (c *Client) release(address string) {
	c.open[address]--
	if c.open[address] <= 0 {
		delete(c.open, address)
	}
}

// putIdle returns a connection to the pool, or closes it if the pool is full.
func (c *Client) putIdle(cn *conn, maxIdle time.Duration) {
	if err := cn.SetDeadline(time.Time{}); err != nil {
		c.discard(cn)
		return
	}
	cn.input.reset()
	cn.used, cn.idleSince, cn.maxIdle = true, time.Now(), maxIdle
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.idle[cn.address]) < maxIdlePerUpstream {
		c.idle[cn.address] = append(c.idle[cn.address], cn)
		return
	}
	_ = cn.Close()
	c.release(cn.address)
}

// DiscardIdle closes the idle connections to an upstream, or to all if the address is empty.
func (c *Client) DiscardIdle(address string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for to, idle := range c.idle {
		if address != "" && to != address {
			continue
		}
		for _, cn := range idle {
			_ = cn.Close()
			c.release(to)
		}
		delete(c.idle, to)
	}
}

// closeExpired closes connections that have been idle for too long.
func (c *Client) closeExpired(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for address, idle := range c.idle {
		fresh := idle[:0]
		for _, cn := range idle {
			if now.Sub(cn.idleSince) <= cn.maxIdle && (cn.peer() == "" || cn.reusable()) {
				fresh = append(fresh, cn)
				continue
			}
			_ = cn.Close()
			c.release(address)
		}
		c.idle[address] = fresh
		if len(fresh) == 0 {
			delete(c.idle, address)
		}
	}
}

// send writes the request and reads the header of its response.
func (c *Client) send(ctx context.Context, cn *conn, req Request) (*Response, error) {
	// When the caller cancels, the upstream must stop working at once; closing the connection is
	// what tells it.
	stopCancel := context.AfterFunc(ctx, func() { _ = cn.Close() })
	r := &Response{client: c, conn: cn, request: req, stopCancel: stopCancel}
	cn.input.abort = req.AbortOnTimeout
	encoded := encodeRequest(req)
	if err := r.writeRequest(encoded); err != nil {
		r.Close()
		return nil, err
	}
	if err := r.readHead(); err != nil {
		r.Close()
		return nil, err
	}
	return r, nil
}

// encodeRequest returns the header of the request, and the body if it is short.
func encodeRequest(req Request) []byte {
	var b bytes.Buffer
	b.Grow(1 << 10)
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\n", req.Method, req.Target, req.Host)
	if len(req.Body) > 0 || (req.Method != http.MethodGet && req.Method != http.MethodHead) {
		b.WriteString("Content-Length: " + strconv.Itoa(len(req.Body)) + "\r\n")
	}
	// Writing to a buffer cannot fail.
	_ = req.Header.Write(&b)
	b.WriteString("\r\n")
	if len(req.Body) <= concurrentWriteThreshold {
		b.Write(req.Body)
	}
	return b.Bytes()
}
