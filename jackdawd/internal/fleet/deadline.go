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
	// ownShare is the part of an operators' bound after which a host that has heard nothing from others reads
	// the store itself; the rest is for that read.
	ownShare = 0.8
	// crowdedRetry is the least time between two such reads that fail where hosts wait for each other: the store is
	// probably away for all of them.
	crowdedRetry = 10 * time.Second
)

// ownRead is a read of the store that could not wait for other hosts.
type ownRead struct {
	at     time.Time
	failed bool
}

// A BoundError says that hosts cannot keep a bound of the operators by telling each other.
type BoundError struct {
	// Bound names it.
	Bound string
	Is    time.Duration
	// Tells is how old what hosts tell each other may be.
	Tells time.Duration
}

// Error returns the bound and what it is compared with.
func (e *BoundError) Error() string {
	return fmt.Sprintf("bound %s of %s is short: what hosts tell each other may be %s old", e.Bound, e.Is, e.Tells)
}

// checkBounds returns an error if hosts must ask the store themselves to keep a bound.
func (s *Source) checkBounds() error {
	if s.oldestConfiguration() > time.Duration(ownShare*float64(s.inForce())) {
		return &BoundError{Bound: "in-force", Is: s.inForce(), Tells: s.oldestConfiguration()}
	}
	if s.oldestList() > time.Duration(ownShare*float64(s.drain())) {
		return &BoundError{Bound: "drain", Is: s.drain(), Tells: s.oldestList()}
	}
	return nil
}

// timeLeft returns for how long the host may go on asking others before it must read the store itself.
// It is negative once that moment has passed.
func (s *Source) timeLeft() time.Duration {
	left := time.Duration(math.MaxInt64)
	if age := s.beliefs.Age(); age < neverListed {
		left = time.Duration(ownShare*float64(s.inForce())) - age
	}
	if age := s.ListAge(); age < neverListed {
		left = min(left, time.Duration(ownShare*float64(s.drain()))-age)
	}
	return left
}

// callTime returns how long a call to another host may take: the store must be read in time if it is not answered.
func (s *Source) callTime() time.Duration {
	if left := s.timeLeft(); left > 0 {
		return min(longestCall, left)
	}
	return longestCall
}

// mustRead reports whether the store is to be read now, whatever other hosts say.
func (c configurations) mustRead() bool {
	if c.timeLeft() > 0 {
		return false
	}
	pause := c.readerWait()
	switch {
	case c.ownRead.failed && c.directory.Crowded():
		pause = crowdedRetry
	case c.ownRead.failed:
		pause = lostPause
	}
	return time.Since(c.ownRead.at) >= pause
}

// readInTime reads the configuration from the store as nothing was heard of it in time. The upstreams are read there too
// if the list of them is too old.
func (c configurations) readInTime(ctx context.Context) (*traffic.Configuration, error) {
	logrus.WithFields(logrus.Fields{
		"peer": c.Following(), "configuration-age": c.beliefs.Age().String(), "list-age": c.ListAge().String(),
	}).Info("fleet: Nothing was heard in time. The store is asked.")
	next, err := c.readConfiguration(ctx, 0)
	c.ownRead = ownRead{at: time.Now(), failed: err != nil}
	if err != nil {
		return nil, err
	}
	if c.ListAge() > c.oldestList() {
		c.setFollowing(nil)
	}
	return next, nil
}
