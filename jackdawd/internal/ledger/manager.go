package ledger

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"jackdawhinge/common/peers"
)

const (
	// PartitionCount is the number of streams that claims are partitioned into.
	PartitionCount = 128
	// partitionIdleTimeout is how long a partition that this host does not own is followed after
	// its last use.
	partitionIdleTimeout = 10 * time.Minute
)

// PartitionOf returns the partition of a key's claims.
func PartitionOf(key string) uint64 {
	return xxhash.Sum64String(key) % PartitionCount
}

// A PartitionManager opens and closes the partitions that this host serves. Any host may serve any
// partition: only the log decides which claim is granted, ownership just makes it faster.
type PartitionManager struct {
	log        Log
	mu         sync.Mutex
	partitions map[uint64]*Partition
	owned      map[uint64]bool
	closed     bool
}

// ErrClosed is returned when a claim's end arrives after the ledger was closed.
var ErrClosed = errors.New("ledger is closed")

// NewPartitionManager returns a manager without open partitions.
func NewPartitionManager(log Log) *PartitionManager {
	return &PartitionManager{log: log, partitions: map[uint64]*Partition{}, owned: map[uint64]bool{}}
}

// Claim claims a key in its partition. The reply's state is peers.Unavailable if the ledger is closed.
func (m *PartitionManager) Claim(ctx context.Context, args peers.ClaimArgs) (peers.ClaimReply, error) {
	p, ok := m.open(PartitionOf(args.Key))
	if !ok {
		return peers.ClaimReply{State: peers.Unavailable}, nil
	}
	return p.Claim(ctx, args)
}

// End records the end of a claim in its key's partition.
func (m *PartitionManager) End(args peers.CloseArgs) error {
	p, ok := m.open(PartitionOf(args.Key))
	if !ok {
		return fmt.Errorf("end claim %s: %w", args.Claim, ErrClosed)
	}
	return p.End(args)
}

// FollowOwned opens the partitions that this host owns before their first claim, and keeps them open
// while idle: opening one again reads the whole stream that the log retains.
func (m *PartitionManager) FollowOwned(owned func(partition uint64) bool) {
	for n := range uint64(PartitionCount) {
		m.setOwned(n, owned(n))
		if owned(n) {
			m.open(n)
		}
	}
}

func (m *PartitionManager) setOwned(n uint64, owned bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.owned[n] = owned
}

// Close stops every partition.
func (m *PartitionManager) Close() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.closed = true
	for n, p := range m.partitions {
		p.Close()
		delete(m.partitions, n)
	}
}

// open returns partition n, which it opens if needed, or false if the ledger is closed.
func (m *PartitionManager) open(n uint64) (*Partition, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.closed {
		return nil, false
	}
	m.closeIdle(n)
	p, ok := m.partitions[n]
	if !ok {
		p = NewPartition(m.log, fmt.Sprintf("claims-%03d", n))
		m.partitions[n] = p
	}
	return p, true
}

// closeIdle closes partitions other than except that this host does not own and that were not
// used for partitionIdleTimeout; the lock must be held.
func (m *PartitionManager) closeIdle(except uint64) {
	for n, p := range m.partitions {
		if n != except && !m.owned[n] && time.Since(p.LastUsed()) > partitionIdleTimeout {
			p.Close()
			delete(m.partitions, n)
		}
	}
}
