package transit

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"jackdawhinge/common/wire"
)

const (
	// serverDialTimeout bounds the time to reach an upstream for another host, which may ask
	// others.
	serverDialTimeout = 300 * time.Millisecond
	// maxSilence ends a tunnel whose host acknowledges nothing, so that the upstream stops working. It is that of
	// connections to upstreams.
	maxSilence = 4 * time.Second
	// endTimeout is how long the other host may take to close a connection that the upstream has
	// ended.
	endTimeout = time.Second
)

// ServerOptions are the dependencies and settings of a Server.
type ServerOptions struct {
	// Dial connects directly to an upstream.
	Dial  DialFunc
	Paths *Paths
	// IsUpstream reports whether an upstream with this address is listed.
	IsUpstream func(address string) bool
	// MaxTunnels is the maximum number of tunnels that are served at a time.
	MaxTunnels int
}

// A Server connects other hosts to upstreams that this host reaches directly. It never uses a
// further host, so that requests cannot go in circles. It is safe for concurrent use.
type Server struct {
	options  ServerOptions
	mu       sync.Mutex
	tunnels  map[*tunnel]struct{}
	stopping bool
}

// NewServer returns a server without tunnels.
func NewServer(o ServerOptions) *Server {
	return &Server{options: o, tunnels: map[*tunnel]struct{}{}}
}

// A tunnel is one connection of another host to an upstream.
type tunnel struct {
	peer, upstream net.Conn
	// writeMu guards writes to peer.
	writeMu sync.Mutex
	// isWriting is set while a write to the upstream is in progress, and stays set once one has failed.
	isWriting atomic.Bool
}

// Tunnels returns the number of open tunnels.
func (s *Server) Tunnels() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return int64(len(s.tunnels))
}

// Drain refuses new tunnels and tells the hosts that use one to send no further request on it.
func (s *Server) Drain() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stopping = true
	for t := range s.tunnels {
		go func() { t.announceLeaving() }()
	}
}

// Serve serves the tunnel that a host opens on a connection, until it ends.
func (s *Server) Serve(peer net.Conn) {
	if err := wire.LimitSilence(peer, maxSilence); err != nil {
		logrus.WithError(err).Warn("transit: A tunnel has no limit for silence.")
	}
	t, problem := s.open(peer)
	if problem != "" {
		// The other host logs the problem. An error means that it is gone.
		_ = writeMessage(peer, openReply{Problem: problem})
		return
	}
	if t == nil {
		return
	}
	defer s.remove(t)
	if err := writeMessage(peer, openReply{}); err != nil {
		return
	}
	var copying sync.WaitGroup
	copying.Go(t.copyRequests)
	t.copyResponses()
	copying.Wait()
}

// open reads a request for a tunnel and connects to its upstream. It returns nothing if there was no
// request.
func (s *Server) open(peer net.Conn) (*tunnel, problem) {
	if err := peer.SetReadDeadline(time.Now().Add(openTimeout)); err != nil {
		return nil, ""
	}
	var request openRequest
	if err := readMessage(bufio.NewReaderSize(peer, maxMessageBytes), &request); err != nil {
		logrus.WithError(err).Info("transit: No request for a tunnel came on a connection.")
		return nil, ""
	}
	if err := peer.SetReadDeadline(time.Time{}); err != nil {
		return nil, ""
	}
	t := &tunnel{peer: peer}
	if problem := s.add(t); problem != "" {
		return nil, problem
	}
	upstream, problem := s.connect(request.Address)
	if problem != "" {
		s.remove(t)
		return nil, problem
	}
	t.upstream = upstream
	return t, ""
}

// connect connects directly to an upstream.
func (s *Server) connect(address string) (net.Conn, problem) {
	switch {
	case !s.options.IsUpstream(address):
		return nil, unknownUpstream
	case s.options.Paths.IsLost(address), s.options.Paths.IsUnreached(time.Now(), address):
		return nil, notReached
	}
	ctx, cancel := context.WithTimeout(context.Background(), serverDialTimeout)
	defer cancel()
	conn, err := s.options.Dial(ctx, "tcp", address)
	s.options.Paths.recordDirect(time.Now(), address, err)
	if err != nil {
		return nil, notReached
	}
	return conn, ""
}

// add counts a tunnel, or returns why it may not be opened.
func (s *Server) add(t *tunnel) problem {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.stopping:
		return stopping
	case len(s.tunnels) >= s.options.MaxTunnels:
		return tooManyTunnels
	}
	s.tunnels[t] = struct{}{}
	return ""
}

func (s *Server) remove(t *tunnel) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.tunnels, t)
}

// copyRequests sends the other host's bytes to the upstream.
func (t *tunnel) copyRequests() {
	_, _ = io.Copy(requestWriter{t}, t.peer)
	if t.isWriting.Load() {
		// The upstream may have responded before it closed the connection. Its response must still pass.
		_, _ = io.Copy(io.Discard, t.peer)
	}
	// Any end of the other host's bytes ends its request; closing the connection tells the upstream.
	closeBoth(t.upstream, t.peer)
}

// copyResponses sends the upstream's bytes to the other host in frames.
func (t *tunnel) copyResponses() {
	buf := make([]byte, frameHeaderBytes+maxFrameBytes)
	for {
		n, err := t.upstream.Read(buf[frameHeaderBytes:])
		if n > 0 {
			copy(buf, frameHeader(n))
			if t.write(buf[:frameHeaderBytes+n]) != nil {
				break
			}
		}
		// A write that fails as the upstream has reset the connection takes the error from this read, which then
		// returns io.EOF, too.
		if errors.Is(err, io.EOF) && !t.isWriting.Load() {
			t.end()
			return
		}
		if err != nil {
			t.cutOff()
			return
		}
	}
	closeBoth(t.peer, t.upstream)
}

// cutOff tells the other host that the response has ended without a proper end. Like end, it does not close the
// connection at once, which would lose what is on its way.
func (t *tunnel) cutOff() {
	_ = t.upstream.Close()
	peer, ok := t.peer.(interface{ CloseWrite() error })
	if !ok || peer.CloseWrite() != nil || t.peer.SetReadDeadline(time.Now().Add(endTimeout)) != nil {
		closeBoth(t.peer, t.upstream)
	}
}

// end tells the other host that the upstream has ended the connection, and gives it time to read
// everything: closing a connection with unread bytes would reset it.
func (t *tunnel) end() {
	if t.write(frameHeader(endOfStream)) != nil || t.peer.SetReadDeadline(time.Now().Add(endTimeout)) != nil {
		closeBoth(t.peer, t.upstream)
	}
}

// announceLeaving tells the other host that this one is shutting down.
func (t *tunnel) announceLeaving() {
	// An error means that the other host is gone.
	_ = t.write(frameHeader(leavingNotice))
}

func (t *tunnel) write(p []byte) error {
	t.writeMu.Lock()
	defer t.writeMu.Unlock()
	_, err := t.peer.Write(p)
	return err
}

// A requestWriter writes to the upstream. It has no other methods, so that io.Copy copies through its own buffer.
type requestWriter struct{ tunnel *tunnel }

// Write writes to the upstream.
func (w requestWriter) Write(p []byte) (int, error) {
	w.tunnel.isWriting.Store(true)
	n, err := w.tunnel.upstream.Write(p)
	w.tunnel.isWriting.Store(err != nil)
	return n, err
}
