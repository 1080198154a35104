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
	// readBufferBytes holds an answer's head and the usual event.
	readBufferBytes = 4 << 10
	// maxIdle bounds how long an unused connection is kept where the upstream does not say.
	maxIdle = 8 * time.Second
	// idleMargin is how much sooner than the upstream this side gives a connection
	// up, so that a request does not cross the upstream's close.
	idleMargin = 1 * time.Second
	// maxIdlePerUpstream bounds the kept connections to one upstream.
	maxIdlePerUpstream = 4
	// maxLateAnswers is how many answers to earlier requests are passed over.
	maxLateAnswers = 3
	// maxLateBytes bounds the body of such an answer.
	maxLateBytes = 1 << 20
	// concurrentWriteBytes is the body size from which an answer is read while the
	// body is still being written: an upstream may answer before it has read it
	// all and then read no further.
	concurrentWriteBytes = 16 << 10
	// sweepEvery is how often connections that were idle for too long are closed.
	sweepEvery = time.Second
)

// Heads reads the heads of answers.
type Heads interface {
	Answer(status int, h http.Header) traffic.Answer
}

// A Call is one request to one upstream.
type Call struct {
	Address string
	// Upstream is the start of the upstream that is meant; connections to an earlier one are not used.
	Upstream traffic.Start
	// ID identifies the request in answers.
	ID     string
	Method string
	// Target is the path and query exactly as the caller sent them.
	Target string
	Host   string
	Header http.Header
	Body   []byte
	// HeadWithin is how long the head of the answer may take; 0 means as long as the context lasts.
	HeadWithin time.Duration
	// GiveUp is asked each time the upstream was silent for that long, or later for the
	// patience set, whether that is too long; if it is nil, it is.
	GiveUp func() bool
	// MaxIdle bounds how long ago the connection was last used. A request that must
	// not run twice is not risked on one that the upstream may just be closing.
	MaxIdle time.Duration
	// MaxConnections bounds this host's connections to the upstream; 0 means no bound.
	MaxConnections int
}

// A Client sends requests to upstreams.
type Client struct {
	heads  Heads
	dial   func(ctx context.Context, network, address string) (net.Conn, error)
	mu     sync.Mutex
	idle   map[string][]*conn
	open   map[string]int
	dialed int64
	stop   chan struct{}
}

// NewClient returns a client that reads heads as given and dials with the function, or over TCP if it is nil.
func NewClient(heads Heads, dial func(ctx context.Context, network, address string) (net.Conn, error)) *Client {
	if dial == nil {
		dial = newDialer().DialContext
	}
	c := &Client{heads: heads, dial: dial, idle: map[string][]*conn{}, open: map[string]int{}, stop: make(chan struct{})}
	go func() {
		ticker := time.NewTicker(sweepEvery)
		defer ticker.Stop()
		for {
			select {
			case <-ticker.C:
				c.sweep(time.Now())
			case <-c.stop:
				return
			}
		}
	}()
	return c
}

// Close closes the connections that are not in use.
func (c *Client) Close() {
	close(c.stop)
	c.mu.Lock()
	defer c.mu.Unlock()
	for address, idle := range c.idle {
		for _, k := range idle {
			_ = k.Close()
		}
		c.open[address] -= len(idle)
	}
	clear(c.idle)
}

// Dialed returns how many connections were opened since the start.
func (c *Client) Dialed() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.dialed
}

// Do sends a call and returns its answer's head; the answer must be closed. An
// error is a *NotSentError, a *BrokenError or a *CrossedError.
func (c *Client) Do(ctx context.Context, call Call) (*Answer, error) {
	for {
		k, err := c.take(ctx, call)
		if err != nil {
			return nil, &NotSentError{Cause: err}
		}
		answer, err := c.send(ctx, k, call)
		var notSent *NotSentError
		if errors.As(err, &notSent) && k.used && ctx.Err() == nil {
			// The kept connection was closed before a byte was taken.
			continue
		}
		return answer, err
	}
}

// take returns a kept connection that may be used for the call, or a new one.
func (c *Client) take(ctx context.Context, call Call) (*conn, error) {
	for {
		k := c.pop(call)
		if k == nil {
			break
		}
		// What an earlier start had not yet sent would be taken for this one's answer, and a
		// request written to a connection that it left behind may or may not have arrived.
		if k.upstream == call.Upstream && k.quiet() {
			return k, nil
		}
		c.discard(k)
	}
	if err := c.reserve(call); err != nil {
		return nil, err
	}
	raw, err := c.dial(ctx, "tcp", call.Address)
	if err != nil {
		c.mu.Lock()
		c.forget(call.Address)
		c.mu.Unlock()
		return nil, err
	}
	return &conn{Conn: raw, reader: bufio.NewReaderSize(raw, readBufferBytes), address: call.Address, upstream: call.Upstream}, nil
}

func (c *Client) reserve(call Call) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if call.MaxConnections > 0 && c.open[call.Address] >= call.MaxConnections {
		return ErrBusy
	}
	c.open[call.Address]++
	c.dialed++
	return nil
}

// pop takes the connection that was used last, if it was used recently enough.
func (c *Client) pop(call Call) *conn {
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	idle := c.idle[call.Address]
	if len(idle) == 0 {
		return nil
	}
	k := idle[len(idle)-1]
	unused := now.Sub(k.idleSince)
	if unused > k.idleFor || (call.MaxIdle > 0 && unused > call.MaxIdle) {
		return nil
	}
	c.idle[call.Address] = idle[:len(idle)-1]
	return k
}

// discard closes a connection.
func (c *Client) discard(k *conn) {
	// The other side notices, or is gone.
	_ = k.Close()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.forget(k.address)
}

// forget counts one connection less; the lock must be held.
func (c *Client) forget(address string) {
	c.open[address]--
	if c.open[address] <= 0 {
		delete(c.open, address)
	}
}

// keep puts a connection back for the next call.
func (c *Client) keep(k *conn, idleFor time.Duration) {
	if err := k.SetDeadline(time.Time{}); err != nil {
		c.discard(k)
		return
	}
	k.used, k.idleSince, k.idleFor = true, time.Now(), idleFor
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.idle[k.address]) < maxIdlePerUpstream {
		c.idle[k.address] = append(c.idle[k.address], k)
		return
	}
	_ = k.Close()
	c.forget(k.address)
}

// sweep closes connections that have been idle for too long.
func (c *Client) sweep(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for address, idle := range c.idle {
		fresh := idle[:0]
		for _, k := range idle {
			if now.Sub(k.idleSince) <= k.idleFor {
				fresh = append(fresh, k)
				continue
			}
			_ = k.Close()
			c.forget(address)
		}
		c.idle[address] = fresh
		if len(fresh) == 0 {
			delete(c.idle, address)
		}
	}
}

// send writes the call and reads the head of its answer.
func (c *Client) send(ctx context.Context, k *conn, call Call) (*Answer, error) {
	// The caller's leaving must end the upstream's work at once, and closing the
	// connection is what tells it.
	unwatch := context.AfterFunc(ctx, func() { _ = k.Close() })
	a := &Answer{client: c, conn: k, call: call, unwatch: unwatch}
	head := encodeHead(call)
	if err := a.write(head); err != nil {
		a.Close()
		return nil, err
	}
	if err := a.readHead(); err != nil {
		a.Close()
		return nil, err
	}
	return a, nil
}

func encodeHead(call Call) []byte {
	var b bytes.Buffer
	b.Grow(1 << 10)
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\n", call.Method, call.Target, call.Host)
	if len(call.Body) > 0 || (call.Method != http.MethodGet && call.Method != http.MethodHead) {
		b.WriteString("Content-Length: " + strconv.Itoa(len(call.Body)) + "\r\n")
	}
	// Writing to a buffer cannot fail.
	_ = call.Header.Write(&b)
	b.WriteString("\r\n")
	if len(call.Body) <= concurrentWriteBytes {
		b.Write(call.Body)
	}
	return b.Bytes()
}
