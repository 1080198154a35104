package publish

import (
	"context"
	"encoding/json"
	"errors"

	"jackdawhinge/common/peers"
	"jackdawhinge/common/register"
	"jackdawhinge/common/roster"
)

// ErrNoCheckpoint is returned when no live entry host returned a complete checkpoint.
var ErrNoCheckpoint = errors.New("no entry host returned its configuration")

// FetchCheckpoint returns the configuration checkpoint of the first live entry host that returns a
// complete one.
func FetchCheckpoint(ctx context.Context, list HostListReader, client RPCClient) (register.Checkpoint, error) {
	hosts, _, _, err := list.Read(ctx, "")
	if err != nil {
		return register.Checkpoint{}, err
	}
	for _, h := range hosts.Hosts {
		if h.Role != roster.EntryHost || h.State != roster.Live {
			continue
		}
		var reply peers.CheckpointReply
		if err := client.Call(ctx, h.ControlAddress, peers.CheckpointCall, &peers.Empty{}, &reply); err != nil || !reply.Whole {
			continue
		}
		var checkpoint register.Checkpoint
		if json.Unmarshal(reply.Checkpoint, &checkpoint) == nil {
			return checkpoint, nil
		}
	}
	return register.Checkpoint{}, ErrNoCheckpoint
}
