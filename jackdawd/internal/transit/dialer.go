package transit

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"time"

	"jackdawhinge/common/peers"
)

const (
	// headStart is how long a direct connection may take until other hosts are asked too. Hosts are
	// a few milliseconds apart.
	headStart = 100 * time.Millisecond
	// peerInterval is the time between asking two hosts, if the first one does not answer.
	peerInterval = 60 * time.Millisecond
	// maxPeersAsked bounds the hosts that are asked for one connection.
	maxPeersAsked = 8
	// maxDialTime bounds the time to connect, whatever the path.
	maxDialTime = 700 * time.Millisecond
	// probeInterval is the time between direct connections to an upstream whose path is lost, and
	// the resolution of the times at which unreached ones are probed.
	probeInterval = 250 * time.Millisecond
	// probeTimeout bounds such a connection.
	probeTimeout = 300 * time.Millisecond
	// frameBufferBytes is the size of the buffer that frames are read into.
	frameBufferBytes = 4 << 10
)

var (
	// errUnreached is the error while an upstream was reached over no path a moment ago.
	errUnreached = errors.New("no host reached the upstream a moment ago")
	errNoPeer    = errors.New("no other host is known")
)

// A DialFunc opens a connection to an address, as net.Dialer.DialContext does.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// Options are the dependencies of a Dialer.
type Options struct {
	// Name and FailureDomain are those of this host.
	Name, FailureDomain string
	// Dial connects directly to upstreams and to other hosts.
	Dial  DialFunc
	Paths *Paths
	// Peers returns the other hosts.
	Peers func() []Peer
	// OnPathChange is called when the direct path to an upstream is lost or is back, as connections
	// that were opened before should not be used then; an empty address stands for all upstreams.
	OnPathChange func(address string)
}

// A Dialer opens connections to upstreams, through other hosts where the direct path is lost. It is
// safe for concurrent use.
type Dialer struct {
	options Options
	record  *peerRecord
	stop    context.CancelFunc
	done    sync.WaitGroup
}

// NewDialer returns a dialer that probes lost paths until it is closed.
func NewDialer(o Options) *Dialer {
	ctx, cancel := context.WithCancel(context.Background())
	d := &Dialer{options: o, record: newPeerRecord(), stop: cancel}
	d.done.Go(func() {
		ticker := time.NewTicker(probeInterval)
		defer ticker.Stop()
		for {
			select {
			case <-ctx.Done():
				return
			case <-ticker.C:
				d.probeUnreached(ctx)
				d.probeLostPaths(ctx)
			}
		}
	})
	return d
}

// Close stops probing.
func (d *Dialer) Close() {
	d.stop()
	d.done.Wait()
}

// dialResult is the result of connecting over one path; peer is empty for the direct one.
type dialResult struct {
	conn net.Conn
	err  error
	peer string
}

// DialContext opens a connection to an upstream: directly, and through another host if that fails,
// takes longer than usual, or failed before.
func (d *Dialer) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	now := time.Now()
	if d.options.Paths.IsUnreached(now, address) {
		return nil, errUnreached
	}
	ctx, cancel := context.WithTimeout(ctx, maxDialTime)
	defer cancel()
	if d.options.Paths.IsLost(address) {
		if conn, err := d.dialThroughPeers(ctx, address); err == nil {
			return conn, nil
		}
	}
	conn, err := d.dialAnyPath(ctx, network, address)
	if err != nil && (ctx.Err() == nil || time.Since(now) >= maxDialTime) {
		d.options.Paths.recordUnreached(time.Now(), address)
	}
	return conn, err
}

// dialAnyPath connects directly and, after a head start or a failure, through other hosts. The first
// connection is returned.
func (d *Dialer) dialAnyPath(ctx context.Context, network, address string) (net.Conn, error) {
	direct, through := make(chan dialResult, 1), make(chan dialResult, 1)
	// The direct connection goes on when another one was faster: its result is that of the path.
	directCtx, cancelDirect := context.WithTimeout(context.WithoutCancel(ctx), maxDialTime)
	go func() {
		defer cancelDirect()
		conn, err := d.options.Dial(directCtx, network, address)
		direct <- dialResult{conn: conn, err: err}
	}()
	head := time.NewTimer(headStart)
	defer head.Stop()
	asked := false
	ask := func() {
		asked = true
		go func() {
			conn, err := d.dialThroughPeers(ctx, address)
			through <- dialResult{conn: conn, err: err, peer: peerOf(conn)}
		}()
	}
	var directErr, throughErr error
	for directErr == nil || throughErr == nil {
		select {
		case r := <-direct:
			d.options.Paths.recordDirect(time.Now(), address, r.err)
			if r.err == nil {
				go func() { d.discard(through, asked && throughErr == nil) }()
				return r.conn, nil
			}
			directErr = r.err
			if !asked {
				ask()
			}
		case r := <-through:
			if r.err == nil {
				d.recordThrough(address, r.peer)
				go func() { d.finishDirect(direct, directErr == nil, address) }()
				return r.conn, nil
			}
			throughErr = r.err
		case <-head.C:
			if !asked {
				ask()
			}
		case <-ctx.Done():
			go func() { d.discard(direct, directErr == nil) }()
			go func() { d.discard(through, asked && throughErr == nil) }()
			return nil, ctx.Err()
		}
	}
	return nil, fmt.Errorf("%w; %w", directErr, throughErr)
}

// recordThrough records that an upstream was reached through another host only.
func (d *Dialer) recordThrough(address, peer string) {
	lost, othersInDoubt := d.options.Paths.recordThrough(time.Now(), address, peer)
	switch {
	case othersInDoubt:
		d.options.OnPathChange("")
	case lost:
		d.options.OnPathChange(address)
	}
}

// finishDirect waits for a direct connection that was slower than the one through another host, and
// records what it says of the path.
func (d *Dialer) finishDirect(direct <-chan dialResult, pending bool, address string) {
	if !pending {
		return
	}
	r := <-direct
	if r.err != nil {
		return
	}
	_ = r.conn.Close()
	d.recordRestored(address)
}

// recordRestored records that the direct path to an upstream is back.
func (d *Dialer) recordRestored(address string) {
	d.options.Paths.recordDirect(time.Now(), address, nil)
	d.options.OnPathChange(address)
}

// discard closes the connection that a channel brings, if one is pending.
func (d *Dialer) discard(results <-chan dialResult, pending bool) {
	if !pending {
		return
	}
	if r := <-results; r.err == nil {
		_ = r.conn.Close()
	}
}

// dialThroughPeers connects to an upstream through the first host that manages to.
func (d *Dialer) dialThroughPeers(ctx context.Context, address string) (net.Conn, error) {
	order := d.record.order(time.Now(), d.options.Peers(), d.options.Name, d.options.FailureDomain, address)
	if len(order) == 0 {
		return nil, errNoPeer
	}
	order = order[:min(len(order), maxPeersAsked)]
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	results := make(chan dialResult, len(order))
	ticker := time.NewTicker(peerInterval)
	defer ticker.Stop()
	asked, pending := 0, 0
	var err error
	for {
		if pending == 0 && asked == len(order) {
			return nil, err
		}
		if pending == 0 || asked == 0 {
			d.ask(ctx, order[asked], address, results)
			asked, pending = asked+1, pending+1
		}
		select {
		case r := <-results:
			pending--
			if r.err == nil {
				go func() { d.discardAll(results, pending) }()
				return r.conn, nil
			}
			err = r.err
		case <-ticker.C:
			if asked < len(order) {
				d.ask(ctx, order[asked], address, results)
				asked, pending = asked+1, pending+1
			}
		case <-ctx.Done():
			go func() { d.discardAll(results, pending) }()
			return nil, ctx.Err()
		}
	}
}

// discardAll closes the connections that n results bring.
func (d *Dialer) discardAll(results <-chan dialResult, n int) {
	for range n {
		d.discard(results, true)
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

// probeLostPaths connects directly to the upstreams whose path is lost.
func (d *Dialer) probeLostPaths(ctx context.Context) {
	var probes sync.WaitGroup
	for _, address := range d.options.Paths.lost() {
		probes.Go(func() {
			ctx, cancel := context.WithTimeout(ctx, probeTimeout)
			defer cancel()
			conn, err := d.options.Dial(ctx, "tcp", address)
			if err != nil {
				return
			}
			_ = conn.Close()
			d.recordRestored(address)
		})
	}
	probes.Wait()
}

// probeUnreached connects over any path to upstreams that were reached over none.
func (d *Dialer) probeUnreached(ctx context.Context) {
	for _, address := range d.options.Paths.takeProbes(time.Now()) {
		d.done.Go(func() {
			ctx, cancel := context.WithTimeout(ctx, maxDialTime)
			defer cancel()
			conn, err := d.dialAnyPath(ctx, "tcp", address)
			if err != nil {
				d.options.Paths.recordUnreached(time.Now(), address)
				return
			}
			_ = conn.Close()
		})
	}
}

// peerOf returns the name of the host that a connection leads through; empty for none.
func peerOf(conn net.Conn) string {
	if c, ok := conn.(*Conn); ok {
		return c.Peer()
	}
	return ""
}
