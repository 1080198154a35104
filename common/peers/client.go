package peers

import (
	"context"
	"crypto/sha256"
	"errors"
	"fmt"
	"net"
	"net/rpc"
	"sync"
	"time"

	"jackdawhinge/common/wire"
)

const dialTimeout = time.Second

// A Client calls other processes of the fleet and keeps one connection to each.
type Client struct {
	proof [sha256.Size]byte
	dial  Dial
	wire  wire.Counter
	mu    sync.Mutex
	conns map[string]*rpc.Client
}

// A Dial makes a connection to an address.
type Dial func(ctx context.Context, network, address string) (net.Conn, error)

// NewClient returns a client that proves that it knows the fleet's secret.
func NewClient(secret string) *Client {
	return NewClientOf(secret, (&net.Dialer{Timeout: dialTimeout}).DialContext)
}

// NewClientOf returns such a client that makes its connections by a function.
func NewClientOf(secret string, dial Dial) *Client {
	return &Client{proof: sha256.Sum256([]byte(secret)), dial: dial, conns: map[string]*rpc.Client{}}
}

// Bytes returns how many bytes the client's connections have carried both ways.
func (c *Client) Bytes() int64 {
	return c.wire.Bytes()
}

// Call makes one call and gives up when ctx ends; it may then have taken effect.
func (c *Client) Call(ctx context.Context, address, method string, args, reply any) error {
	conn, err := c.connect(ctx, address)
	if err != nil {
		return fmt.Errorf("call %s at %s: %w", method, address, err)
	}
	// A write does not return while the other side reads nothing; closing the connection ends it.
	stop := context.AfterFunc(ctx, func() { c.drop(address, conn) })
	defer stop()
	call := conn.Go(method, args, reply, make(chan *rpc.Call, 1))
	select {
	case <-call.Done:
		err = call.Error
	case <-ctx.Done():
		err = ctx.Err()
	}
	if err == nil {
		return nil
	}
	if ctx.Err() != nil {
		err = ctx.Err()
	}
	var answered rpc.ServerError
	if !errors.As(err, &answered) {
		// The connection may be dead; a paused host would hold every later call too.
		c.drop(address, conn)
	}
	return fmt.Errorf("call %s at %s: %w", method, address, err)
}

// Close closes every connection.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for address, conn := range c.conns {
		// A connection that is already dead is as good as closed.
		_ = conn.Close()
		delete(c.conns, address)
	}
}

func (c *Client) connect(ctx context.Context, address string) (*rpc.Client, error) {
	c.mu.Lock()
	conn, ok := c.conns[address]
	c.mu.Unlock()
	if ok {
		return conn, nil
	}
	raw, err := c.dial(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	if err := c.prove(ctx, raw); err != nil {
		_ = raw.Close()
		return nil, err
	}
	conn = rpc.NewClient(c.wire.Conn(raw))
	c.mu.Lock()
	defer c.mu.Unlock()
	if other, ok := c.conns[address]; ok {
		_ = conn.Close()
		return other, nil
	}
	c.conns[address] = conn
	return conn, nil
}

// prove tells the other side that this one knows the fleet's secret.
func (c *Client) prove(ctx context.Context, raw net.Conn) error {
	stop := context.AfterFunc(ctx, func() { _ = raw.Close() })
	defer stop()
	if _, err := raw.Write(c.proof[:]); err != nil {
		return errors.Join(ctx.Err(), err)
	}
	return nil
}

func (c *Client) drop(address string, conn *rpc.Client) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.conns[address] == conn {
		delete(c.conns, address)
	}
	_ = conn.Close()
}
