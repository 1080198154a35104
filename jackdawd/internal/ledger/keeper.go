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
	// Partitions is how many streams the claims are spread over.
	Partitions = 128
	// partitionIdle is how long a partition that nobody asks for is kept: another host owns it now.
	partitionIdle = 10 * time.Minute
)

// PartitionOf returns the partition that a key's claims go to.
func PartitionOf(key string) uint64 {
	return xxhash.Sum64String(key) % Partitions
}

// A Keeper serves the partitions that this host is asked for. Any host may serve
// any partition: who does is a matter of speed, the log alone decides.
type Keeper struct {
	journal Journal
	mu      sync.Mutex
	parts   map[uint64]*Partition
	owned   map[uint64]bool
	closed  bool
}

// ErrClosed says that this host is stopping and takes in no more ends of claims.
var ErrClosed = errors.New("ledger is closed")

// NewKeeper returns a keeper without partitions.
func NewKeeper(j Journal) *Keeper {
	return &Keeper{journal: j, parts: map[uint64]*Partition{}, owned: map[uint64]bool{}}
}

// Claim claims a key in its partition.
func (k *Keeper) Claim(ctx context.Context, args peers.ClaimArgs) (peers.ClaimReply, error) {
	p, ok := k.open(PartitionOf(args.Key))
	if !ok {
		return peers.ClaimReply{State: peers.Unready}, nil
	}
	return p.Claim(ctx, args)
}

// End ends a claim in its key's partition.
func (k *Keeper) End(args peers.CloseArgs) error {
	p, ok := k.open(PartitionOf(args.Key))
	if !ok {
		return fmt.Errorf("end claim %s: %w", args.Claim, ErrClosed)
	}
	return p.End(args)
}

// Warm starts to read the partitions that this host owns, before the first claim
// asks for them, and keeps them however quiet they are: reading one again costs as
// much as the log has kept of it.
func (k *Keeper) Warm(owned func(partition uint64) bool) {
	for n := range uint64(Partitions) {
		k.setOwned(n, owned(n))
		if owned(n) {
			k.open(n)
		}
	}
}

func (k *Keeper) setOwned(n uint64, owned bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.owned[n] = owned
}

// Close stops every partition.
func (k *Keeper) Close() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.closed = true
	for n, p := range k.parts {
		p.Close()
		delete(k.parts, n)
	}
}

// open returns a partition, or false if the keeper is closed.
func (k *Keeper) open(n uint64) (*Partition, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.closed {
		return nil, false
	}
	k.closeIdle(n)
	p, ok := k.parts[n]
	if !ok {
		p = NewPartition(k.journal, fmt.Sprintf("claims-%03d", n))
		k.parts[n] = p
	}
	return p, true
}

// closeIdle stops the partitions that another host owns by now and nobody asks this one for.
func (k *Keeper) closeIdle(except uint64) {
	for n, p := range k.parts {
		if n != except && !k.owned[n] && time.Since(p.IdleSince()) > partitionIdle {
			p.Close()
			delete(k.parts, n)
		}
	}
}
