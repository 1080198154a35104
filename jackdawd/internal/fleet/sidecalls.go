package fleet

import (
	"context"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"jackdawhinge/common/peers"
)

const (
	// silentHostBackoff is how long a host that did not answer a call outside of the tree is skipped.
	silentHostBackoff = 2 * time.Second
	// streamTimeout is the timeout of a call about streams.
	streamTimeout = 200 * time.Millisecond
)

// silentHost is a host that did not answer a call.
type silentHost struct {
	name, call string
}

// sideCalls is the state with which a host calls others outside of the tree, for single requests. It
// is safe for concurrent use.
type sideCalls struct {
	mu      sync.Mutex
	clients map[Peer]*peers.Client
	// skippedUntil holds the hosts that did not answer, by call: a host of an earlier build answers
	// some calls only.
	skippedUntil map[silentHost]time.Time
}

// skip makes a host that did not answer a call be skipped for a while.
func (c *sideCalls) skip(name, call string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.skippedUntil[silentHost{name, call}] = time.Now().Add(silentHostBackoff)
}

// isSkipped reports whether a host is skipped for a call.
func (c *sideCalls) isSkipped(now time.Time, name, call string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return now.Before(c.skippedUntil[silentHost{name, call}])
}

// bytes returns the number of bytes sent and received in these calls.
func (c *sideCalls) bytes() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	var n int64
	for _, client := range c.clients {
		n += client.Bytes()
	}
	return n
}

// sideClientFor returns the client for calls to a host outside of the tree. It is a separate one, as a
// call that times out closes the connection of its client.
func (s *Source) sideClientFor(peer Peer) *peers.Client {
	s.sideCalls.mu.Lock()
	defer s.sideCalls.mu.Unlock()
	c, ok := s.sideCalls.clients[peer]
	if !ok {
		c = s.newClient(peer.Secret)
		s.sideCalls.clients[peer] = c
	}
	return c
}

// closeSideClients closes the clients for calls outside of the tree.
func (s *Source) closeSideClients() {
	s.sideCalls.mu.Lock()
	defer s.sideCalls.mu.Unlock()
	for _, c := range s.sideCalls.clients {
		c.Close()
	}
}

// sideCall calls another host about streams, and skips it for a while if it does not answer.
func (s *Source) sideCall(ctx context.Context, peer Peer, method string, args, reply any) error {
	ctx, cancel := context.WithTimeout(ctx, streamTimeout)
	defer cancel()
	err := s.sideClientFor(peer).Call(ctx, peer.Address, method, args, reply)
	if err != nil {
		s.sideCalls.skip(peer.Name, method)
		logrus.WithError(err).WithFields(logrus.Fields{"peer": peer.Name, "call": method}).Info("fleet: A host did not answer.")
	}
	return err
}
