package transit

import (
	"bufio"
	"context"
	"errors"
	"net"
	"time"

	"jackdawhinge/common/peers"
)

// dialThroughPeers connects to an upstream through the first host that manages to. The next host is
// asked when one fails, or does not answer for peerInterval.
func (d *Dialer) dialThroughPeers(ctx context.Context, address string) (net.Conn, error) {
	order := d.record.order(time.Now(), d.options.Peers(), d.options.Name, d.options.FailureDomain, address)
	order = order[:min(len(order), maxPeersAsked)]
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	results, ticker := make(chan dialResult, len(order)), time.NewTicker(peerInterval)
	defer ticker.Stop()
	asked, pending, err := 0, 0, errNoPeer
	askNext := func() {
		if asked < len(order) {
			d.ask(ctx, order[asked], address, results)
			asked, pending = asked+1, pending+1
		}
	}
	for askNext(); pending > 0; {
		select {
		case r := <-results:
			pending--
			if r.err == nil {
				go func() { discardAll(results, pending) }()
				return r.conn, nil
			}
			err = r.err
			askNext()
		case <-ticker.C:
			askNext()
		case <-ctx.Done():
			go func() { discardAll(results, pending) }()
			return nil, ctx.Err()
		}
	}
	return nil, err
}

// discardAll closes the connections that n results bring.
func discardAll(results <-chan dialResult, n int) {
	for range n {
		discard(results)
	}
}

// ask asks a host for a connection to an upstream; the result goes to a channel.
func (d *Dialer) ask(ctx context.Context, peer Peer, address string, results chan<- dialResult) {
	go func() {
		start := time.Now()
		conn, err := d.openTunnel(ctx, peer, address)
		switch {
		case err == nil:
			d.record.recordSuccess(peer.Name, address)
		case ctx.Err() == nil || time.Since(start) >= peerInterval:
			// A host that was overtaken by one that was asked later does not answer.
			d.record.recordFailure(time.Now(), peer.Name, address)
		}
		results <- dialResult{conn: conn, err: err, peer: peer.Name}
	}()
}

// openTunnel opens a connection to an upstream through a host.
func (d *Dialer) openTunnel(ctx context.Context, peer Peer, address string) (net.Conn, error) {
	raw, err := peers.DialStream(ctx, peers.DialFunc(d.options.Dial), peer.Address, peer.Secret, StreamName)
	if err != nil {
		return nil, err
	}
	stop := context.AfterFunc(ctx, func() { _ = raw.Close() })
	conn := &Conn{
		Conn: raw, peer: peer.Name, reader: bufio.NewReaderSize(raw, frameBufferBytes),
		isNeeded:  func() bool { return d.options.Paths.IsLost(address) },
		onTimeout: func() { d.record.recordFailure(time.Now(), peer.Name, address) },
	}
	var reply openReply
	err = writeMessage(raw, openRequest{Address: address})
	if err == nil {
		err = readMessage(conn.reader, &reply)
	}
	if err == nil && reply.Problem != "" {
		err = &ProblemError{Peer: peer.Name, Problem: string(reply.Problem)}
	}
	if !stop() || err != nil {
		return nil, errors.Join(ctx.Err(), err, raw.Close())
	}
	return conn, nil
}
