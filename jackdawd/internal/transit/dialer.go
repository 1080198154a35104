package transit

import (
	"context"
	"errors"
	"net"
	"time"
)

// A DialFunc opens a connection to an address, as net.Dialer.DialContext does.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// A Dialer opens connections to upstreams. It is safe for concurrent use.
type Dialer struct {
	direct DialFunc
	paths  *Paths
}

// NewDialer returns a dialer that records in paths which upstreams it reaches.
func NewDialer(direct DialFunc, paths *Paths) *Dialer {
	return &Dialer{direct: direct, paths: paths}
}

// DialContext opens a connection to an upstream.
func (d *Dialer) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	conn, err := d.direct(ctx, network, address)
	if err != nil && errors.Is(ctx.Err(), context.Canceled) {
		// The caller left before the result was known.
		return nil, err
	}
	d.paths.recordDirect(time.Now(), address, err)
	return conn, err
}
