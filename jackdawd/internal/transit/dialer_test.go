package transit

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"jackdawhinge/common/peers"
	"jackdawhinge/standin/network"
)

const (
	origin          = "10.0.0.1:7341"
	upstreamAddress = "10.1.0.1:80"
)

// fixture is a host that opens connections, other hosts that open tunnels for it, and an upstream.
type fixture struct {
	t       *testing.T
	net     *network.Network
	dialer  *Dialer
	paths   *Paths
	hosts   []Peer
	servers map[string]*Server
	// accepted brings the upstream's ends of connections.
	accepted chan net.Conn
	// changes are the addresses of changed paths, guarded by mu.
	mu      sync.Mutex
	changes []string
}

// takeChanges returns the addresses of the paths that changed since the last call.
func (f *fixture) takeChanges() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	changes := f.changes
	f.changes = nil
	return changes
}

// addChange records that a path has changed.
func (f *fixture) addChange(address string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.changes = append(f.changes, address)
}

// runFixture runs a test with other hosts; those whose name begins with "old" serve no tunnels.
func runFixture(t *testing.T, hosts []string, test func(t *testing.T, f *fixture)) {
	t.Helper()
	logrus.SetOutput(io.Discard)
	synctest.Test(t, func(t *testing.T) {
		f := &fixture{t: t, net: network.New(), paths: NewPaths(), servers: map[string]*Server{}, accepted: make(chan net.Conn, 100)}
		f.serveUpstream()
		for i, name := range hosts {
			f.addHost(name, fmt.Sprintf("10.0.0.%d:7341", i+2))
		}
		f.dialer = NewDialer(Options{
			Name: "origin", FailureDomain: "domain-1", Dial: f.dialFrom(origin), Paths: f.paths, Peers: func() []Peer { return f.hosts },
			OnPathChange: f.addChange,
		})
		defer func() {
			f.dialer.Close()
			for _, h := range f.hosts {
				f.net.Kill(h.Address)
			}
			f.net.Kill(upstreamAddress)
			time.Sleep(5 * time.Second)
		}()
		test(t, f)
	})
}

// dialFrom returns the dial function of a host.
func (f *fixture) dialFrom(address string) DialFunc {
	dial := f.net.DialFrom(address)
	return func(ctx context.Context, network, to string) (net.Conn, error) {
		ctx, cancel := context.WithTimeout(ctx, 3*time.Second)
		defer cancel()
		return dial(ctx, network, to)
	}
}

func (f *fixture) serveUpstream() {
	l := f.net.Listen(upstreamAddress)
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			f.accepted <- conn
		}
	}()
}

func (f *fixture) addHost(name, address string) {
	server, err := peers.NewServerWithListener(f.net.Listen(address), []string{"secret-of-" + name}, nil)
	require.NoError(f.t, err)
	if name[:3] != "old" {
		f.servers[name] = NewServer(ServerOptions{Dial: f.dialFrom(address), Paths: NewPaths(), IsUpstream: func(address string) bool { return address == upstreamAddress }, MaxTunnels: 2})
		server.HandleStreams(StreamName, f.servers[name].Serve)
	}
	go func() { _ = server.Start(f.t.Context()) }()
	f.hosts = append(f.hosts, Peer{Name: name, Address: address, Secret: "secret-of-" + name, FailureDomain: "domain-2"})
}

// dial opens a connection and returns both of its ends, and how long it took.
func (f *fixture) dial() (conn, upstream net.Conn, took time.Duration) {
	start := time.Now()
	conn, err := f.dialer.DialContext(f.t.Context(), "tcp", upstreamAddress)
	require.NoError(f.t, err)
	took = time.Since(start)
	select {
	case upstream = <-f.accepted:
	case <-time.After(time.Second):
		require.Fail(f.t, "the upstream got no connection")
	}
	return conn, upstream, took
}

// A host that cannot reach an upstream must get each byte of both directions through another one.
func TestBytesPassThroughOtherHost(t *testing.T) {
	for _, how := range []network.Cut{network.Hang, network.Reset, network.Refuse} {
		t.Run(string(how), func(t *testing.T) {
			runFixture(t, []string{"entry-2"}, func(t *testing.T, f *fixture) {
				f.net.CutRoute(origin, upstreamAddress, how)
				conn, upstream, took := f.dial()
				require.Equal(t, "entry-2", peerOf(conn))
				require.LessOrEqual(t, took, headStart)
				go func() { _, _ = io.WriteString(conn, "request") }()
				got := make([]byte, 7)
				_, err := io.ReadFull(upstream, got)
				require.NoError(t, err)
				require.Equal(t, "request", string(got))
				response := make([]byte, 3*maxFrameBytes+5)
				response[len(response)-1] = 'x'
				go func() {
					_, _ = upstream.Write(response)
					_ = upstream.Close()
				}()
				read, err := io.ReadAll(conn)
				require.NoError(t, err)
				require.Equal(t, response, read)
				_ = conn.Close()
			})
		})
	}
}

// A response whose end is that of its connection must not look complete when the host dies that it
// passes through.
func TestResponseThroughDyingHostIsTruncated(t *testing.T) {
	runFixture(t, []string{"entry-2"}, func(t *testing.T, f *fixture) {
		f.net.CutRoute(origin, upstreamAddress, network.Hang)
		conn, upstream, _ := f.dial()
		go func() { _, _ = io.WriteString(upstream, "part") }()
		part := make([]byte, 4)
		_, err := io.ReadFull(conn, part)
		require.NoError(t, err)
		f.net.Kill(f.hosts[0].Address)
		_, err = conn.Read(part)
		require.Error(t, err)
		require.NotErrorIs(t, err, io.EOF)
		_, err = upstream.Read(part)
		require.Error(t, err, "the upstream stops working")
	})
}

// An upstream must learn through the other host that the request was cancelled.
func TestCancellationPassesThroughOtherHost(t *testing.T) {
	runFixture(t, []string{"entry-2"}, func(t *testing.T, f *fixture) {
		f.net.CutRoute(origin, upstreamAddress, network.Hang)
		conn, upstream, _ := f.dial()
		require.NoError(t, upstream.SetReadDeadline(time.Now().Add(100*time.Millisecond)))
		require.NoError(t, conn.Close())
		_, err := upstream.Read(make([]byte, 1))
		require.ErrorIs(t, err, io.EOF)
		synctest.Wait()
		require.Zero(t, f.servers["entry-2"].Tunnels())
	})
}

// A read that times out within a frame must not lose its place.
func TestReadContinuesAfterTimeout(t *testing.T) {
	near, far := net.Pipe()
	conn := &Conn{Conn: near, reader: bufio.NewReader(near)}
	go func() {
		for _, part := range []string{"\x00", "\x03a", "bc\x00\x00"} {
			_, _ = io.WriteString(far, part)
			time.Sleep(5 * time.Millisecond)
		}
	}()
	var got []byte
	for {
		require.NoError(t, conn.SetReadDeadline(time.Now().Add(time.Millisecond)))
		var p [8]byte
		n, err := conn.Read(p[:])
		got = append(got, p[:n]...)
		var timeout net.Error
		if errors.As(err, &timeout) && timeout.Timeout() {
			continue
		}
		if err != nil {
			require.ErrorIs(t, err, io.EOF)
			break
		}
	}
	require.Equal(t, "abc", string(got))
}

// A connection that ends without a mark of the upstream's end was cut off.
func TestEndWithoutMarkIsUnexpected(t *testing.T) {
	for name, sent := range map[string]string{"nothing": "", "half a header": "\x00", "half a frame": "\x00\x03a", "a frame": "\x00\x01a"} {
		t.Run(name, func(t *testing.T) {
			near, far := net.Pipe()
			conn := &Conn{Conn: near, reader: bufio.NewReader(near)}
			go func() {
				_, _ = io.WriteString(far, sent)
				_ = far.Close()
			}()
			_, err := io.ReadAll(conn)
			require.ErrorIs(t, err, io.ErrUnexpectedEOF)
		})
	}
}

// A host that is cut off, frozen, stopping or of an older build must not keep the others from being used.
func TestUnusableHostsAreSkipped(t *testing.T) {
	tests := map[string]struct {
		hosts  []string
		before func(f *fixture)
	}{
		"cut off":     {hosts: []string{"entry-2", "entry-3"}, before: func(f *fixture) { f.net.CutRoute(f.hosts[0].Address, upstreamAddress, network.Hang) }},
		"frozen":      {hosts: []string{"entry-2", "entry-3"}, before: func(f *fixture) { f.net.SetFault(f.hosts[0].Address, network.Frozen) }},
		"partitioned": {hosts: []string{"entry-2", "entry-3"}, before: func(f *fixture) { f.net.SetFault(f.hosts[0].Address, network.Partitioned) }},
		"dead":        {hosts: []string{"entry-2", "entry-3"}, before: func(f *fixture) { f.net.Kill(f.hosts[0].Address) }},
		"stopping":    {hosts: []string{"entry-2", "entry-3"}, before: func(f *fixture) { f.servers["entry-2"].Drain() }},
		"older build": {hosts: []string{"old-2", "entry-3"}},
		"several":     {hosts: []string{"old-2", "entry-2", "entry-4", "entry-3"}, before: func(f *fixture) { f.servers["entry-2"].Drain(); f.net.SetFault(f.hosts[2].Address, network.Frozen) }},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			runFixture(t, test.hosts, func(t *testing.T, f *fixture) {
				if test.before != nil {
					test.before(f)
				}
				f.net.CutRoute(origin, upstreamAddress, network.Reset)
				for i := range 3 {
					conn, upstream, took := f.dial()
					require.Equal(t, "entry-3", peerOf(conn))
					require.LessOrEqual(t, took, 3*peerInterval)
					if i > 0 {
						require.Less(t, took, peerInterval, "a host that failed is asked last")
					}
					closeBoth(conn, upstream)
					synctest.Wait()
				}
			})
		})
	}
}

// Two hosts that both lack an upstream must not send a request to each other, or in circles.
func TestTunnelsUseOneOtherHost(t *testing.T) {
	runFixture(t, []string{"entry-2"}, func(t *testing.T, f *fixture) {
		f.net.CutRoute(origin, upstreamAddress, network.Hang)
		f.net.CutRoute(f.hosts[0].Address, upstreamAddress, network.Hang)
		start := time.Now()
		_, err := f.dialer.DialContext(t.Context(), "tcp", upstreamAddress)
		require.Error(t, err)
		require.LessOrEqual(t, time.Since(start), maxDialTime)
		start = time.Now()
		_, err = f.dialer.DialContext(t.Context(), "tcp", upstreamAddress)
		require.ErrorIs(t, err, errUnreached)
		require.Zero(t, time.Since(start), "the next one does not wait")
		require.Empty(t, f.accepted)
	})
}

// Other hosts must not be able to reach anything but upstreams through a host.
func TestTunnelsLeadToUpstreamsOnly(t *testing.T) {
	runFixture(t, []string{"entry-2"}, func(t *testing.T, f *fixture) {
		_, err := f.dialer.openTunnel(t.Context(), f.hosts[0], origin)
		var problem *ProblemError
		require.ErrorAs(t, err, &problem)
		require.Equal(t, string(unknownUpstream), problem.Problem)
	})
}

// A host that serves as many tunnels as it may must refuse more instead of running out of sockets.
func TestTunnelsAreBounded(t *testing.T) {
	runFixture(t, []string{"entry-2"}, func(t *testing.T, f *fixture) {
		for range 2 {
			_, err := f.dialer.openTunnel(t.Context(), f.hosts[0], upstreamAddress)
			require.NoError(t, err)
		}
		_, err := f.dialer.openTunnel(t.Context(), f.hosts[0], upstreamAddress)
		require.ErrorContains(t, err, string(tooManyTunnels))
	})
}

// A stopping host must not get further requests on open tunnels, nor cut off those in progress.
func TestStoppingHostAnnouncesThatItLeaves(t *testing.T) {
	runFixture(t, []string{"entry-2"}, func(t *testing.T, f *fixture) {
		f.net.CutRoute(origin, upstreamAddress, network.Hang)
		conn, upstream, _ := f.dial()
		relayed := conn.(*Conn)
		require.True(t, relayed.Reusable())
		f.servers["entry-2"].Drain()
		synctest.Wait()
		go func() { _, _ = io.WriteString(upstream, "rest") }()
		rest := make([]byte, 4)
		_, err := io.ReadFull(conn, rest)
		require.NoError(t, err)
		require.Equal(t, "rest", string(rest))
		require.False(t, relayed.Reusable())
	})
}

// Requests must go directly again soon after a cut has ended, as often as cuts come and go.
func TestDirectPathIsUsedAgain(t *testing.T) {
	runFixture(t, []string{"entry-2"}, func(t *testing.T, f *fixture) {
		for range 10 {
			f.takeChanges()
			f.net.CutRoute(origin, upstreamAddress, network.Hang)
			conn, upstream, _ := f.dial()
			require.Equal(t, "entry-2", peerOf(conn))
			closeBoth(conn, upstream)
			f.net.CutRoute(origin, upstreamAddress, "")
			time.Sleep(2 * probeInterval)
			for len(f.accepted) > 0 {
				_ = (<-f.accepted).Close()
			}
			conn, upstream, took := f.dial()
			require.Empty(t, peerOf(conn))
			require.Zero(t, took)
			closeBoth(conn, upstream)
			require.Equal(t, []string{upstreamAddress, upstreamAddress}, f.takeChanges(), "lost and restored")
		}
	})
}

// A direct connection that takes longer than usual once must not send all that follow through others.
func TestSlowConnectionDoesNotLoseThePath(t *testing.T) {
	runFixture(t, []string{"entry-2"}, func(t *testing.T, f *fixture) {
		dial, slow := f.dialer.options.Dial, true
		f.dialer.options.Dial = func(ctx context.Context, network, to string) (net.Conn, error) {
			if to == upstreamAddress && slow {
				slow = false
				time.Sleep(2 * headStart)
			}
			return dial(ctx, network, to)
		}
		conn, upstream, _ := f.dial()
		require.Equal(t, "entry-2", peerOf(conn))
		closeBoth(conn, upstream)
		time.Sleep(2 * headStart)
		require.False(t, f.paths.IsLost(upstreamAddress))
	})
}

// A host that has lost hundreds of paths must not spend its processor on probes, and must find all of
// them when they are back.
func TestProbesOfLostPathsAreBounded(t *testing.T) {
	runFixture(t, []string{"entry-2"}, func(t *testing.T, f *fixture) {
		const paths = 200
		var mu sync.Mutex
		probes, isCut := 0, true
		dial := f.dialer.options.Dial
		f.dialer.options.Dial = func(ctx context.Context, network, to string) (net.Conn, error) {
			if to[:5] != "10.2." {
				return dial(ctx, network, to)
			}
			mu.Lock()
			defer mu.Unlock()
			probes++
			if isCut {
				return nil, errors.New("no route to host")
			}
			conn, _ := net.Pipe()
			return conn, nil
		}
		for i := range paths {
			f.paths.recordThrough(time.Now(), fmt.Sprintf("10.2.0.%d:80", i), "entry-2")
		}
		time.Sleep(10 * time.Second)
		mu.Lock()
		require.LessOrEqual(t, probes, maxProbes*int(10*time.Second/probeInterval))
		require.Positive(t, probes)
		isCut = false
		mu.Unlock()
		time.Sleep(probeInterval + time.Millisecond)
		require.Empty(t, f.paths.lost())
	})
}

// Guards against a response that is cut off because its upstream responds to a long request early and closes the
// connection: only the rest of the request is lost.
func TestEarlyResponsePassesThroughOtherHost(t *testing.T) {
	runFixture(t, []string{"entry-2"}, func(t *testing.T, f *fixture) {
		f.net.CutRoute(origin, upstreamAddress, network.Hang)
		conn, upstream, _ := f.dial()
		go func() { _, _ = conn.Write(make([]byte, 1<<20)) }()
		_, err := io.ReadFull(upstream, make([]byte, 100))
		require.NoError(t, err)
		_, err = io.WriteString(upstream, "response")
		require.NoError(t, err)
		require.NoError(t, upstream.Close())
		// The host reads the response only now.
		time.Sleep(100 * time.Millisecond)
		response := make([]byte, len("response"))
		_, err = io.ReadFull(conn, response)
		require.NoError(t, err)
		require.Equal(t, "response", string(response))
		require.NoError(t, conn.Close())
		synctest.Wait()
		require.Zero(t, f.servers["entry-2"].Tunnels())
	})
}
