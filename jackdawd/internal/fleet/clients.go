package fleet

import (
	"jackdawhinge/common/peers"
	"jackdawhinge/common/wire"
)

// Bytes returns the number of bytes sent and received in calls between this host and others.
func (s *Source) Bytes() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := s.closedClientBytes
	for _, c := range s.clients {
		n += c.Bytes()
	}
	if s.quarantineClient != nil {
		n += s.quarantineClient.Bytes()
	}
	n += s.sideCalls.bytes()
	if s.server != nil {
		n += s.server.Bytes()
	}
	return n
}

// clientFor returns the client for calls to another host.
func (s *Source) clientFor(peer Peer) *peers.Client {
	s.mu.Lock()
	defer s.mu.Unlock()
	c, ok := s.clients[peer]
	if !ok {
		c = s.newClient(peer.Secret)
		s.clients[peer] = c
	}
	return c
}

func (s *Source) newClient(secret string) *peers.Client {
	dial := s.options.Dial
	if dial == nil {
		dial = wire.NewDialer(connectTimeout, maxSilence).DialContext
	}
	return peers.NewClientWithDialer(secret, dial)
}

// closeClient closes a client that was created for a single call.
func (s *Source) closeClient(c *peers.Client) {
	c.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closedClientBytes += c.Bytes()
}

// dropClient discards the client of a host, which may never come back with the same secret.
func (s *Source) dropClient(peer Peer) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if c, ok := s.clients[peer]; ok {
		c.Close()
		s.closedClientBytes += c.Bytes()
		delete(s.clients, peer)
	}
}
