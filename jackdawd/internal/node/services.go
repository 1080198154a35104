package node

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"github.com/cespare/xxhash/v2"

	"jackdawhinge/common/peers"
	"jackdawhinge/common/register"
	"jackdawhinge/jackdawd/internal/ledger"
	"jackdawhinge/jackdawd/internal/routing"
)

const (
	// maxRows bounds the rows of one exchange.
	maxRows      = 12
	claimTimeout = 3 * time.Second
	callTimeout  = time.Second
)

// controlService answers control messages of other entry hosts and operators.
type controlService struct {
	node *Node
}

// Exchange takes in another owner's rows on a pool and returns this host's.
func (c *controlService) Exchange(args *peers.ExchangeArgs, reply *peers.ExchangeReply) error {
	pool, ok := c.node.View().Pool(args.Pool)
	if !ok {
		return nil
	}
	now := time.Now()
	reply.Rows = toWire(c.node.board.Rows(now, pool, maxRows))
	c.node.board.Merge(now, fromWire(args.Rows))
	return nil
}

// Checkpoint returns the configuration that this host has folded.
func (c *controlService) Checkpoint(_ *peers.Nothing, reply *peers.CheckpointReply) error {
	cp, whole := c.node.control.Folded()
	if !whole {
		return nil
	}
	data, err := json.Marshal(cp)
	reply.Whole, reply.Checkpoint = true, data
	return err
}

// Revision returns the revision in force on this host.
func (c *controlService) Revision(_ *peers.Nothing, reply *peers.RevisionReply) error {
	reply.Host, reply.Revision = c.node.settings.Name, c.node.View().Revision()
	return nil
}

// ledgerService answers claims of other entry hosts.
type ledgerService struct {
	keeper *ledger.Keeper
}

// Claim claims a key for another host.
func (l *ledgerService) Claim(args *peers.ClaimArgs, reply *peers.ClaimReply) error {
	ctx, cancel := context.WithTimeout(context.Background(), claimTimeout)
	defer cancel()
	r, err := l.keeper.Claim(ctx, *args)
	*reply = r
	return err
}

// Close ends a claim of another host.
func (l *ledgerService) Close(args *peers.CloseArgs, _ *peers.Nothing) error {
	return l.keeper.End(*args)
}

// checkpoints asks other entry hosts for their configuration.
type checkpoints struct {
	peers *peers.Client
}

// Checkpoint returns a host's folded configuration, or false if it has none.
func (c checkpoints) Checkpoint(ctx context.Context, from routing.EntryHost) (register.Checkpoint, bool, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var reply peers.CheckpointReply
	if err := c.peers.Call(ctx, from.Control(), peers.CheckpointCall, &peers.Nothing{}, &reply); err != nil {
		return register.Checkpoint{}, false, err
	}
	if !reply.Whole {
		return register.Checkpoint{}, false, nil
	}
	var cp register.Checkpoint
	err := json.Unmarshal(reply.Checkpoint, &cp)
	return cp, err == nil, err
}

// fleetClaims takes claims to the host that owns their partition, so that few
// hosts read each partition and claims of one moment share an append.
type fleetClaims struct {
	views  func() *routing.View
	keeper *ledger.Keeper
	peers  *peers.Client
}

func partitionKey(partition uint64) uint64 {
	return xxhash.Sum64String("partition") + partition
}

// Claim claims a key with the partition's owner, or here if it cannot be reached.
func (f *fleetClaims) Claim(ctx context.Context, args peers.ClaimArgs) (peers.ClaimReply, error) {
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	host, local := f.owner(args.Key)
	if local {
		return f.keeper.Claim(ctx, args)
	}
	var reply peers.ClaimReply
	err := f.peers.Call(ctx, host.Control(), peers.ClaimCall, &args, &reply)
	if err == nil || ctx.Err() != nil {
		return reply, err
	}
	// The claim has one identity wherever it is appended, so that asking twice
	// makes no second one.
	return f.keeper.Claim(ctx, args)
}

// End ends a claim with the partition's owner, or here if it cannot be reached.
func (f *fleetClaims) End(ctx context.Context, args peers.CloseArgs) error {
	host, local := f.owner(args.Key)
	if local {
		return f.keeper.End(args)
	}
	err := f.peers.Call(ctx, host.Control(), peers.CloseCall, &args, &peers.Nothing{})
	if err == nil {
		return nil
	}
	return errors.Join(err, f.keeper.End(args))
}

func (f *fleetClaims) owner(key string) (host routing.EntryHost, local bool) {
	view := f.views()
	host, ok := view.Owner(partitionKey(ledger.PartitionOf(key)))
	return host, !ok || host.Name() == view.Self()
}

func toWire(rows []routing.Row) peers.Rows {
	out := make([]peers.Row, len(rows))
	for i, r := range rows {
		out[i] = peers.Row(r)
	}
	return peers.Pack(out)
}

func fromWire(packed peers.Rows) []routing.Row {
	rows := packed.Unpack()
	out := make([]routing.Row, len(rows))
	for i, r := range rows {
		out[i] = routing.Row(r)
	}
	return out
}
