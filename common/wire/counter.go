package wire

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
)

// A Counter counts the bytes of connections, both ways.
type Counter struct {
	bytes atomic.Int64
}

// Bytes returns the bytes counted so far.
func (c *Counter) Bytes() int64 {
	return c.bytes.Load()
}

// Conn returns a connection whose bytes are counted.
func (c *Counter) Conn(conn net.Conn) net.Conn {
	return &counted{Conn: conn, counter: c}
}

// Client returns an HTTP client whose connections are counted, headers included.
func (c *Counter) Client() *http.Client {
	var dialer net.Dialer
	return &http.Client{Transport: &http.Transport{DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dialer.DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return c.Conn(conn), nil
	}}}
}

type counted struct {
	net.Conn
	counter *Counter
}

// Read reads and counts.
func (c *counted) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.counter.bytes.Add(int64(n))
	return n, err
}

// Write writes and counts.
func (c *counted) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.counter.bytes.Add(int64(n))
	return n, err
}
