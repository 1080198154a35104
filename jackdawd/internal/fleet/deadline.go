package fleet

import (
	"context"
	"fmt"
	"math"
	"time"

	"github.com/sirupsen/logrus"

	"jackdawhinge/common/traffic"
)

const (
	// directReadRatio is the fraction of an operator's bound after which a host that has received
	// nothing from other hosts reads the store itself. The rest of the bound is left for that read.
	directReadRatio = 0.8
	// directReadRetryInterval is the minimum interval between failed direct reads in fleets of at
	// least smallFleetThreshold hosts, where the store is probably down for all of them.
	directReadRetryInterval = 10 * time.Second
)

// directRead is a read of the store made without waiting for other hosts any longer.
type directRead struct {
	at     time.Time
	failed bool
}

// A BoundError says that an operator's bound is too short to be kept by relying on other hosts.
type BoundError struct {
	// Bound is the name of the bound, Limit its value.
	Bound string
	Limit time.Duration
	// MaxPeerAge is how old information from other hosts may be.
	MaxPeerAge time.Duration
}

// Error returns the bound and the age it is compared with.
func (e *BoundError) Error() string {
	return fmt.Sprintf("bound %s of %s is too short: data from other hosts may be %s old", e.Bound, e.Limit, e.MaxPeerAge)
}

// checkBounds returns a BoundError if hosts must read the store themselves to keep a bound.
func (s *Source) checkBounds() error {
	if s.maxPeerConfigurationAge() > time.Duration(directReadRatio*float64(s.maxConfigurationAge())) {
		return &BoundError{Bound: "in-force", Limit: s.maxConfigurationAge(), MaxPeerAge: s.maxPeerConfigurationAge()}
	}
	if s.maxPeerListAge() > time.Duration(directReadRatio*float64(s.maxDrainDelay())) {
		return &BoundError{Bound: "drain", Limit: s.maxDrainDelay(), MaxPeerAge: s.maxPeerListAge()}
	}
	return nil
}

// timeUntilDirectRead returns how long the host may still rely on other hosts before it must read
// the store itself. It is negative once that time has passed.
func (s *Source) timeUntilDirectRead() time.Duration {
	remaining := time.Duration(math.MaxInt64)
	if age := s.state.Age(); age < unknownAge {
		remaining = time.Duration(directReadRatio*float64(s.maxConfigurationAge())) - age
	}
	if age := s.ListAge(); age < unknownAge {
		remaining = min(remaining, time.Duration(directReadRatio*float64(s.maxDrainDelay()))-age)
	}
	return remaining
}

// callTimeout returns the timeout of a call to another host. It leaves enough time to read the
// store if the call is not answered.
func (s *Source) callTimeout() time.Duration {
	if remaining := s.timeUntilDirectRead(); remaining > 0 {
		return min(maxCallTimeout, remaining)
	}
	return maxCallTimeout
}

// mustReadStore reports whether the host must read the store now, whatever other hosts say.
func (c configurations) mustReadStore() bool {
	if c.timeUntilDirectRead() > 0 {
		return false
	}
	interval := c.readerWait()
	switch {
	case c.lastDirectRead.failed && c.directory.IsMediumOrLarge():
		interval = directReadRetryInterval
	case c.lastDirectRead.failed:
		interval = staleRetryInterval
	}
	return time.Since(c.lastDirectRead.at) >= interval
}

// readStoreDirectly reads the configuration from the store because no other host sent it in time.
// If the list of upstreams is too old as well, it is read from the store too.
func (c configurations) readStoreDirectly(ctx context.Context) (*traffic.Configuration, error) {
	logrus.WithFields(logrus.Fields{
		"peer": c.Following(), "configuration-age": c.state.Age().String(), "list-age": c.ListAge().String(),
	}).Info("fleet: No update from other hosts in time. Asking the store.")
	next, err := c.readConfiguration(ctx, 0)
	c.lastDirectRead = directRead{at: time.Now(), failed: err != nil}
	if err != nil {
		return nil, err
	}
	if c.ListAge() > c.maxPeerListAge() {
		c.setFollowing(nil)
	}
	return next, nil
}
