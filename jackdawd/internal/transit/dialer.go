package transit

import (
	"context"
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"time"
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
	// maxProbes bounds these connections at a time: a host may have lost hundreds of paths.
	maxProbes = 16
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
	r := &race{dialer: d, address: address, direct: make(chan dialResult, 1), through: make(chan dialResult, 1)}
	r.startDirect(ctx, network)
	return r.run(ctx)
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

// recordRestored records that the direct path to an upstream is back.
func (d *Dialer) recordRestored(address string) {
	d.options.Paths.recordDirect(time.Now(), address, nil)
	d.options.OnPathChange(address)
}

// probeLostPaths connects directly to some of the upstreams whose path is lost, and to more of them as
// long as any is back: paths are often lost and restored together.
func (d *Dialer) probeLostPaths(ctx context.Context) {
	lost := d.options.Paths.lost()
	for len(lost) > 0 {
		n := min(len(lost), maxProbes)
		if !d.probeAll(ctx, lost[:n]) {
			return
		}
		lost = lost[n:]
	}
}

// probeAll connects directly to upstreams, all at once, and reports whether any was reached.
func (d *Dialer) probeAll(ctx context.Context, addresses []string) bool {
	var probes sync.WaitGroup
	var restored atomic.Bool
	for _, address := range addresses {
		probes.Go(func() {
			ctx, cancel := context.WithTimeout(ctx, probeTimeout)
			defer cancel()
			conn, err := d.options.Dial(ctx, "tcp", address)
			if err != nil {
				return
			}
			_ = conn.Close()
			d.recordRestored(address)
			restored.Store(true)
		})
	}
	probes.Wait()
	return restored.Load()
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
