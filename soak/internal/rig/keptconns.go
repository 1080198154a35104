package rig

import (
	"context"
	"math/rand/v2"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

// keptConns are the connections of a caller that sends one request at a time.
type keptConns struct {
	mu    sync.Mutex
	conns []*keptConn
	// splits reports whether some requests are written in two parts.
	splits func() bool
}

// A keptConn is a connection and when it was last read from, in nanoseconds.
type keptConn struct {
	net.Conn
	readAt atomic.Int64
	// endedAt is when the host was seen to have closed the connection, in nanoseconds.
	endedAt atomic.Int64
	closed  atomic.Bool
	splits  func() bool
	// beganAt is when the first part of a request was written, in nanoseconds; 0 if the last one was written at once.
	beganAt atomic.Int64
}

const (
	// splitPercent is the percentage of requests that are written in two parts, splitPause the time between these.
	splitPercent = 10
	splitPause   = 100 * time.Millisecond
)

// dial opens a connection.
func (k *keptConns) dial(ctx context.Context, network, address string) (net.Conn, error) {
	conn, err := (&net.Dialer{}).DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	c := &keptConn{Conn: conn, splits: k.splits}
	c.readAt.Store(time.Now().UnixNano())
	k.mu.Lock()
	defer k.mu.Unlock()
	k.conns = append(k.conns, c)
	return c, nil
}

// closeIdle closes the connections that have been idle for a time; no request may be in progress.
func (k *keptConns) closeIdle(d time.Duration) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.conns = slices.DeleteFunc(k.conns, func(c *keptConn) bool {
		if time.Since(time.Unix(0, c.readAt.Load())) > d {
			_ = c.Close()
		}
		return c.closed.Load()
	})
}

// Read reads from the connection.
func (c *keptConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 {
		c.readAt.Store(time.Now().UnixNano())
	}
	if err != nil {
		c.endedAt.Store(time.Now().UnixNano())
	}
	return n, err
}

// requestTimes returns when the last request was written in part, if it was, and when the connection had ended by then
// or later; zero for never.
func (c *keptConn) requestTimes() (began, ended time.Time) {
	if at := c.beganAt.Load(); at != 0 {
		began = time.Unix(0, at)
	}
	if at := c.endedAt.Load(); at != 0 {
		ended = time.Unix(0, at)
	}
	return began, ended
}

// Write writes to the connection, sometimes in two parts.
func (c *keptConn) Write(b []byte) (int, error) {
	c.beganAt.Store(0)
	if !c.splits() || rand.IntN(100) >= splitPercent {
		return c.Conn.Write(b)
	}
	first, err := c.Conn.Write(b[:len(b)/2])
	if err != nil {
		return first, err
	}
	c.beganAt.Store(time.Now().UnixNano())
	time.Sleep(splitPause)
	second, err := c.Conn.Write(b[first:])
	return first + second, err
}

// Close closes the connection.
func (c *keptConn) Close() error {
	c.closed.Store(true)
	return c.Conn.Close()
}
