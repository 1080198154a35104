package wire

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
)

// A Counter counts the bytes sent and received on connections. It is safe for concurrent use.
type Counter struct {
	bytes atomic.Int64
}

// Bytes returns the number of bytes counted.
func (c *Counter) Bytes() int64 {
	return c.bytes.Load()
}

// WrapConn wraps a connection to count its bytes.
func (c *Counter) WrapConn(conn net.Conn) net.Conn {
	return &countingConn{Conn: conn, counter: c}
}

// NewHTTPClient returns an HTTP client whose connections are counted, HTTP headers included.
func (c *Counter) NewHTTPClient() *http.Client {
	var dialer net.Dialer
	return &http.Client{Transport: &http.Transport{MaxResponseHeaderBytes: MaxHeaderBytes, DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dialer.DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return c.WrapConn(conn), nil
	}}}
}

type countingConn struct {
	net.Conn
	counter *Counter
}

// Read reads from the connection and counts the bytes.
func (c *countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.counter.bytes.Add(int64(n))
	return n, err
}

// Write writes to the connection and counts the bytes.
func (c *countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.counter.bytes.Add(int64(n))
	return n, err
}
