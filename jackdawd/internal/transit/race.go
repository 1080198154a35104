package transit

import (
	"context"
	"fmt"
	"net"
	"time"
)

// A race connects to an upstream over the direct path and through other hosts, and takes the first
// connection.
type race struct {
	dialer  *Dialer
	address string
	// direct and through bring the results; both have room for theirs, so that a path that loses
	// does not block.
	direct, through chan dialResult
	// asked is set once other hosts are asked.
	asked bool
	// directErr and throughErr are why a path has failed; nil while it has not.
	directErr, throughErr error
}

// startDirect starts to connect directly. This goes on when another path is faster, as its result is
// that of the path.
func (r *race) startDirect(ctx context.Context, network string) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), maxDialTime)
	go func() {
		defer cancel()
		conn, err := r.dialer.options.Dial(ctx, network, r.address)
		r.direct <- dialResult{conn: conn, err: err}
	}()
}

// startThrough starts to connect through other hosts, unless that has begun.
func (r *race) startThrough(ctx context.Context) {
	if r.asked {
		return
	}
	r.asked = true
	go func() {
		conn, err := r.dialer.dialThroughPeers(ctx, r.address)
		r.through <- dialResult{conn: conn, err: err, peer: peerOf(conn)}
	}()
}

// run returns the first connection, or an error if both paths fail or the context ends.
func (r *race) run(ctx context.Context) (net.Conn, error) {
	head := time.NewTimer(headStart)
	defer head.Stop()
	for r.directErr == nil || r.throughErr == nil {
		select {
		case result := <-r.direct:
			r.dialer.options.Paths.recordDirect(time.Now(), r.address, result.err)
			if result.err == nil {
				r.discardThrough()
				return result.conn, nil
			}
			r.directErr = result.err
			r.startThrough(ctx)
		case result := <-r.through:
			if result.err == nil {
				r.dialer.recordThrough(r.address, result.peer)
				r.finishDirect()
				return result.conn, nil
			}
			r.throughErr = result.err
		case <-head.C:
			r.startThrough(ctx)
		case <-ctx.Done():
			r.discardDirect()
			r.discardThrough()
			return nil, ctx.Err()
		}
	}
	return nil, fmt.Errorf("%w; %w", r.directErr, r.throughErr)
}

// finishDirect waits in the background for the direct connection, which was slower, and records that
// the path is not lost if it succeeds.
func (r *race) finishDirect() {
	if r.directErr != nil {
		return
	}
	go func() {
		result := <-r.direct
		if result.err != nil {
			return
		}
		_ = result.conn.Close()
		r.dialer.recordRestored(r.address)
	}()
}

// discardDirect closes the direct connection if it still comes.
func (r *race) discardDirect() {
	if r.directErr == nil {
		go func() { discard(r.direct) }()
	}
}

// discardThrough closes the connection through another host if it still comes.
func (r *race) discardThrough() {
	if r.asked && r.throughErr == nil {
		go func() { discard(r.through) }()
	}
}

// discard closes the connection that a channel brings.
func discard(results <-chan dialResult) {
	if result := <-results; result.err == nil {
		_ = result.conn.Close()
	}
}
