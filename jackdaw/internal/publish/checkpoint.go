package publish

import (
	"context"
	"encoding/json"
	"errors"

	"jackdawhinge/common/peers"
	"jackdawhinge/common/register"
	"jackdawhinge/common/roster"
)

// ErrNoCheckpoint says that no entry host gave its configuration.
var ErrNoCheckpoint = errors.New("no entry host gave its configuration")

// FetchCheckpoint returns the folded configuration of the first entry host that gives one.
func FetchCheckpoint(ctx context.Context, list HostList, caller Caller) (register.Checkpoint, error) {
	hosts, _, _, err := list.Read(ctx, "")
	if err != nil {
		return register.Checkpoint{}, err
	}
	for _, h := range hosts.Hosts {
		if h.Role != roster.EntryHost || h.State != roster.Live {
			continue
		}
		var reply peers.CheckpointReply
		if err := caller.Call(ctx, h.Control, peers.CheckpointCall, &peers.Nothing{}, &reply); err != nil || !reply.Whole {
			continue
		}
		var cp register.Checkpoint
		if json.Unmarshal(reply.Checkpoint, &cp) == nil {
			return cp, nil
		}
	}
	return register.Checkpoint{}, ErrNoCheckpoint
}
