package peers

import (
	"context"
	"crypto/sha256"
	"errors"
	"fmt"
	"net"
	"net/rpc"
	"reflect"
	"sync"
	"time"

	"jackdawhinge/common/wire"
)

const dialTimeout = time.Second

// A Client makes RPC calls to other processes of the fleet over one persistent connection per
// address.
type Client struct {
	secretHash [sha256.Size]byte
	dial       DialFunc
	bytes      wire.Counter
	mu         sync.Mutex
	conns      map[string]*rpc.Client
}

// A DialFunc opens a connection to an address, as net.Dialer.DialContext does.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// NewClient returns a client that authenticates with the fleet's shared secret.
func NewClient(secret string) *Client {
	return NewClientWithDialer(secret, (&net.Dialer{Timeout: dialTimeout}).DialContext)
}

// NewClientWithDialer returns a client that opens its connections with the dial function given.
func NewClientWithDialer(secret string, dial DialFunc) *Client {
	return &Client{secretHash: sha256.Sum256([]byte(secret)), dial: dial, conns: map[string]*rpc.Client{}}
}

// Bytes returns the number of bytes sent and received on the client's connections.
func (c *Client) Bytes() int64 {
	return c.bytes.Bytes()
}

// Call makes one RPC call and returns an error when ctx ends; the call may have taken effect then. The reply, a pointer,
// is only changed by a call that succeeds.
func (c *Client) Call(ctx context.Context, address, method string, args, reply any) error {
	conn, err := c.connect(ctx, address)
	if err != nil {
		return fmt.Errorf("call %s at %s: %w", method, address, err)
	}
	// A write blocks while the server reads nothing; closing the connection unblocks it.
	stop := context.AfterFunc(ctx, func() { c.drop(address, conn) })
	defer stop()
	// A reply that arrives after ctx has ended may be decoded while this function returns.
	decoded := reflect.New(reflect.TypeOf(reply).Elem())
	call := conn.Go(method, args, decoded.Interface(), make(chan *rpc.Call, 1))
	select {
	case <-call.Done:
		err = call.Error
	case <-ctx.Done():
		err = ctx.Err()
	}
	if err == nil {
		reflect.ValueOf(reply).Elem().Set(decoded.Elem())
		return nil
	}
	if ctx.Err() != nil {
		err = ctx.Err()
	}
	var serverErr rpc.ServerError
	if !errors.As(err, &serverErr) {
		// The connection may be dead; if the host is paused, every later call on it would block
		// too.
		c.drop(address, conn)
	}
	return fmt.Errorf("call %s at %s: %w", method, address, err)
}

// Close closes every connection.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for address, conn := range c.conns {
		// An error means that the connection is closed already.
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
	netConn, err := c.dial(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	if err := c.authenticate(ctx, netConn); err != nil {
		_ = netConn.Close()
		return nil, err
	}
	conn = rpc.NewClient(c.bytes.WrapConn(netConn))
	c.mu.Lock()
	defer c.mu.Unlock()
	if other, ok := c.conns[address]; ok {
		_ = conn.Close()
		return other, nil
	}
	c.conns[address] = conn
	return conn, nil
}

// authenticate sends the hash of the fleet's secret, with which every connection begins.
func (c *Client) authenticate(ctx context.Context, netConn net.Conn) error {
	stop := context.AfterFunc(ctx, func() { _ = netConn.Close() })
	defer stop()
	if _, err := netConn.Write(c.secretHash[:]); err != nil {
		return errors.Join(ctx.Err(), err)
	}
	return nil
}

// drop closes a connection, so that the next call to the address opens another.
func (c *Client) drop(address string, conn *rpc.Client) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.conns[address] == conn {
		delete(c.conns, address)
	}
	_ = conn.Close()
}
