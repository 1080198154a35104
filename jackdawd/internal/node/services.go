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
	// maxExchangeRows bounds the load rows that each side sends in an exchange.
	maxExchangeRows = 12
	claimTimeout    = 3 * time.Second
	callTimeout     = time.Second
)

// controlService serves the control RPCs of other entry hosts and of operators.
type controlService struct {
	node *Node
}

// Exchange merges another owner's load rows of a pool and returns this host's rows. An unknown pool is
// ignored.
func (c *controlService) Exchange(args *peers.ExchangeArgs, reply *peers.ExchangeReply) error {
	pool, ok := c.node.View().Pool(args.Pool)
	if !ok {
		return nil
	}
	now := time.Now()
	reply.Rows = packRows(c.node.balancer.Rows(now, pool, maxExchangeRows))
	c.node.balancer.Merge(now, unpackRows(args.Rows))
	return nil
}

// Checkpoint returns this host's checkpoint of the configuration; the reply is empty while the
// checkpoint is incomplete.
func (c *controlService) Checkpoint(_ *peers.Empty, reply *peers.CheckpointReply) error {
	checkpoint, complete := c.node.control.LatestCheckpoint()
	if !complete {
		return nil
	}
	data, err := json.Marshal(checkpoint)
	reply.Whole, reply.Checkpoint = true, data
	return err
}

// Revision returns the configuration revision in force on this host.
func (c *controlService) Revision(_ *peers.Empty, reply *peers.RevisionReply) error {
	reply.Host, reply.Revision = c.node.settings.Name, c.node.View().Revision()
	return nil
}

// ledgerService serves the claims of other entry hosts.
type ledgerService struct {
	partitions *ledger.PartitionManager
}

// Claim claims an idempotency key for another host.
func (l *ledgerService) Claim(args *peers.ClaimArgs, reply *peers.ClaimReply) error {
	ctx, cancel := context.WithTimeout(context.Background(), claimTimeout)
	defer cancel()
	claimed, err := l.partitions.Claim(ctx, *args)
	*reply = claimed
	return err
}

// Close records the end of another host's claim.
func (l *ledgerService) Close(args *peers.CloseArgs, _ *peers.Empty) error {
	return l.partitions.End(*args)
}

// checkpointClient fetches configuration checkpoints from other entry hosts.
type checkpointClient struct {
	peerClient *peers.Client
}

// Checkpoint returns a host's configuration checkpoint, or false if it has none.
func (c checkpointClient) Checkpoint(ctx context.Context, host routing.EntryHost) (register.Checkpoint, bool, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var reply peers.CheckpointReply
	if err := c.peerClient.Call(ctx, host.ControlAddress(), peers.CheckpointCall, &peers.Empty{}, &reply); err != nil {
		return register.Checkpoint{}, false, err
	}
	if !reply.Whole {
		return register.Checkpoint{}, false, nil
	}
	var checkpoint register.Checkpoint
	err := json.Unmarshal(reply.Checkpoint, &checkpoint)
	return checkpoint, err == nil, err
}

// claimRouter sends claims to the host that owns their partition, so that few hosts read each
// partition and concurrent claims share an append.
type claimRouter struct {
	currentView func() *routing.View
	partitions  *ledger.PartitionManager
	peerClient  *peers.Client
}

func partitionHash(partition uint64) uint64 {
	return xxhash.Sum64String("partition") + partition
}

// Claim claims a key through the owner of its partition, or locally if the owner can't be reached.
func (r *claimRouter) Claim(ctx context.Context, args peers.ClaimArgs) (peers.ClaimReply, error) {
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	host, local := r.owner(args.Key)
	if local {
		return r.partitions.Claim(ctx, args)
	}
	var reply peers.ClaimReply
	err := r.peerClient.Call(ctx, host.ControlAddress(), peers.ClaimCall, &args, &reply)
	if err == nil || ctx.Err() != nil {
		return reply, err
	}
	// A claim keeps its identifier wherever it is appended, so asking twice makes no second claim.
	return r.partitions.Claim(ctx, args)
}

// End records the end of a claim through the owner of its partition, or locally if the owner can't be
// reached.
func (r *claimRouter) End(ctx context.Context, args peers.CloseArgs) error {
	host, local := r.owner(args.Key)
	if local {
		return r.partitions.End(args)
	}
	err := r.peerClient.Call(ctx, host.ControlAddress(), peers.CloseCall, &args, &peers.Empty{})
	if err == nil {
		return nil
	}
	return errors.Join(err, r.partitions.End(args))
}

func (r *claimRouter) owner(key string) (host routing.EntryHost, local bool) {
	view := r.currentView()
	host, ok := view.Owner(partitionHash(ledger.PartitionOf(key)))
	return host, !ok || host.Name() == view.Self()
}

func packRows(rows []routing.LoadRow) peers.UpstreamLoads {
	out := make([]peers.UpstreamLoad, len(rows))
	for i, r := range rows {
		out[i] = peers.UpstreamLoad(r)
	}
	return peers.PackLoads(out)
}

func unpackRows(packed peers.UpstreamLoads) []routing.LoadRow {
	rows := packed.Unpack()
	out := make([]routing.LoadRow, len(rows))
	for i, r := range rows {
		out[i] = routing.LoadRow(r)
	}
	return out
}
