package fleet

import (
	"net"

	"jackdawhinge/common/peers"
)

// Bytes returns how many bytes the exchanges with other hosts have carried both ways.
func (s *Source) Bytes() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := s.bytes
	for _, c := range s.clients {
		n += c.Bytes()
	}
	if s.cases != nil {
		n += s.cases.Bytes()
	}
	if s.server != nil {
		n += s.server.Bytes()
	}
	return n
}

// client returns the client for calls to another host.
func (s *Source) client(p Peer) *peers.Client {
	s.mu.Lock()
	defer s.mu.Unlock()
	c, ok := s.clients[p]
	if !ok {
		c = s.newClient(p.Secret)
		s.clients[p] = c
	}
	return c
}

func (s *Source) newClient(secret string) *peers.Client {
	dial := s.options.Dial
	if dial == nil {
		dial = (&net.Dialer{Timeout: connectTimeout}).DialContext
	}
	return peers.NewClientOf(secret, dial)
}

// closeClient closes a client that was made for one call.
func (s *Source) closeClient(c *peers.Client) {
	c.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.bytes += c.Bytes()
}

// dropClient forgets the client of a reader, which may never come back under its secret.
func (s *Source) dropClient(p Peer) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if c, ok := s.clients[p]; ok {
		c.Close()
		s.bytes += c.Bytes()
		delete(s.clients, p)
	}
}
