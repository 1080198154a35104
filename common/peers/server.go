package peers

import (
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"errors"
	"fmt"
	"io"
	"net"
	"net/rpc"
	"sync"
	"time"

	"jackdawhinge/common/wire"
)

// authTimeout limits how long a new connection may take to send the hash of the secret.
const authTimeout = 5 * time.Second

// A StreamHandler serves a connection that carries a stream of bytes instead of calls.
type StreamHandler func(conn net.Conn)

// A Server serves RPC calls, and streams, of other processes of the fleet.
type Server struct {
	secrets []string
	// handlers holds what serves a connection, by the hash that it begins with.
	handlers map[[sha256.Size]byte]func(net.Conn)
	rpc      *rpc.Server
	listener net.Listener
	bytes    wire.Counter
	mu       sync.Mutex
	conns    map[net.Conn]bool
	closed   bool
}

// NewServer returns a server that listens on address and serves the services, by name, to clients
// that know one of the secrets. During the rotation of the secret there are two.
func NewServer(address string, secrets []string, services map[string]any) (*Server, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, fmt.Errorf("listen for control connections: %w", err)
	}
	return NewServerWithListener(listener, secrets, services)
}

// NewServerWithListener returns a server on an existing listener, which Stop closes.
func NewServerWithListener(listener net.Listener, secrets []string, services map[string]any) (*Server, error) {
	s := &Server{secrets: secrets, handlers: map[[sha256.Size]byte]func(net.Conn){}, rpc: rpc.NewServer(), listener: listener, conns: map[net.Conn]bool{}}
	for _, secret := range secrets {
		s.handlers[sha256.Sum256([]byte(secret))] = func(conn net.Conn) { s.rpc.ServeConn(s.bytes.WrapConn(conn)) }
	}
	for name, service := range services {
		if err := s.rpc.RegisterName(name, service); err != nil {
			return nil, errors.Join(fmt.Errorf("register control service %s: %w", name, err), listener.Close())
		}
	}
	return s, nil
}

// HandleStreams makes a handler serve the streams of a name. It must be called before Start. Streams
// are not counted by Bytes.
func (s *Server) HandleStreams(name string, handler StreamHandler) {
	for _, secret := range s.secrets {
		s.handlers[streamHash(secret, name)] = handler
	}
}

// Address returns the listen address.
func (s *Server) Address() string {
	return s.listener.Addr().String()
}

// Bytes returns the number of bytes sent and received on authenticated connections.
func (s *Server) Bytes() int64 {
	return s.bytes.Bytes()
}

// Start accepts connections until Stop is called; it then returns nil.
func (s *Server) Start(context.Context) error {
	for {
		conn, err := s.listener.Accept()
		if err != nil {
			s.mu.Lock()
			defer s.mu.Unlock()
			if s.closed {
				return nil
			}
			return fmt.Errorf("accept control connection: %w", err)
		}
		go s.serve(conn)
	}
}

// Stop closes the listener and every authenticated connection.
func (s *Server) Stop(context.Context) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	for conn := range s.conns {
		_ = conn.Close()
	}
	return s.listener.Close()
}

func (s *Server) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	handle := s.authenticate(conn)
	if handle == nil {
		return
	}
	handle(conn)
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, conn)
}

// authenticate reads the hash that the connection begins with and returns what serves it, or nil if
// it may not be served.
func (s *Server) authenticate(conn net.Conn) func(net.Conn) {
	var hash [sha256.Size]byte
	if err := conn.SetReadDeadline(time.Now().Add(authTimeout)); err != nil {
		return nil
	}
	if _, err := io.ReadFull(conn, hash[:]); err != nil {
		return nil
	}
	handle := s.handler(hash)
	if handle == nil {
		return nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.conns[conn] = true
	if s.closed || conn.SetReadDeadline(time.Time{}) != nil {
		return nil
	}
	return handle
}

// handler returns what serves connections that begin with a hash, or nil. Its time does not depend
// on how much of the hash is right.
func (s *Server) handler(hash [sha256.Size]byte) func(net.Conn) {
	var found func(net.Conn)
	for known, handle := range s.handlers {
		if subtle.ConstantTimeCompare(hash[:], known[:]) == 1 {
			found = handle
		}
	}
	return found
}
