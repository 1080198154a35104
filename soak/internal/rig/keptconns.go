package rig

import (
	"context"
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
}

// A keptConn is a connection and when it was last read from, in nanoseconds.
type keptConn struct {
	net.Conn
	readAt atomic.Int64
	closed atomic.Bool
}

// dial opens a connection.
func (k *keptConns) dial(ctx context.Context, network, address string) (net.Conn, error) {
	conn, err := (&net.Dialer{}).DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	c := &keptConn{Conn: conn}
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
	return n, err
}

// Close closes the connection.
func (c *keptConn) Close() error {
	c.closed.Store(true)
	return c.Conn.Close()
}
