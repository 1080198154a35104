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

// A Server serves RPC calls of other processes of the fleet.
type Server struct {
	secretHashes [][sha256.Size]byte
	rpc          *rpc.Server
	listener     net.Listener
	bytes        wire.Counter
	mu           sync.Mutex
	conns        map[net.Conn]bool
	closed       bool
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
	s := &Server{rpc: rpc.NewServer(), listener: listener, conns: map[net.Conn]bool{}}
	for _, secret := range secrets {
		s.secretHashes = append(s.secretHashes, sha256.Sum256([]byte(secret)))
	}
	for name, service := range services {
		if err := s.rpc.RegisterName(name, service); err != nil {
			return nil, errors.Join(fmt.Errorf("register control service %s: %w", name, err), listener.Close())
		}
	}
	return s, nil
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
	if !s.authenticate(conn) {
		return
	}
	s.rpc.ServeConn(s.bytes.WrapConn(conn))
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, conn)
}

// authenticate reads the hash of the client's secret and reports whether the connection may be
// served.
func (s *Server) authenticate(conn net.Conn) bool {
	var hash [sha256.Size]byte
	if err := conn.SetReadDeadline(time.Now().Add(authTimeout)); err != nil {
		return false
	}
	if _, err := io.ReadFull(conn, hash[:]); err != nil {
		return false
	}
	if !s.isKnownSecret(hash) {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.conns[conn] = true
	return !s.closed && conn.SetReadDeadline(time.Time{}) == nil
}

// isKnownSecret reports whether hash is that of one of the secrets, in constant time.
func (s *Server) isKnownSecret(hash [sha256.Size]byte) bool {
	match := 0
	for i := range s.secretHashes {
		match |= subtle.ConstantTimeCompare(hash[:], s.secretHashes[i][:])
	}
	return match == 1
}
