package ledger

import (
	"context"
	"time"

	"jackdawhinge/common/peers"
	"jackdawhinge/common/report"
	"jackdawhinge/common/targets"
)

// History returns what the stream holds of a key, in order of offset.
func (f *Fold) History(now time.Time, key string) []report.Claim {
	h, ok := f.keys[key]
	if !ok {
		return nil
	}
	var claims []report.Claim
	for _, c := range h.claims {
		claims = append(claims, report.Claim{
			ID: c.id, Offset: c.offset, State: h.stateOf(c), Read: targets.Duration(now.Sub(c.readAt).Round(time.Millisecond)),
		})
	}
	return claims
}

func (h *history) stateOf(c claim) report.ClaimState {
	switch {
	case h.outcome != nil && h.outcome.claim == c.id && h.outcome.state == peers.Finished:
		return report.ClaimFinished
	case h.outcome != nil && h.outcome.claim == c.id:
		return report.ClaimUncertain
	case h.voided(c.id, 0):
		return report.ClaimVoid
	case c.granted:
		return report.ClaimHolds
	default:
		return report.ClaimLost
	}
}

// History returns what the partition's stream holds of a key, once it has been read to its end.
func (p *Partition) History(ctx context.Context, key string) ([]report.Claim, bool) {
	whole := p.awaitCaughtUp(ctx)
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.fold.History(time.Now(), key), whole
}

// Report returns how the keeper follows the claim streams.
func (k *Keeper) Report() report.Ledger {
	k.mu.Lock()
	defer k.mu.Unlock()
	r := report.Ledger{Followed: len(k.parts)}
	for _, p := range k.parts {
		keys, read := p.known()
		r.Keys += keys
		if read {
			r.Read++
		}
	}
	return r
}

// known returns how many keys the partition knows and whether it has been read to its end.
func (p *Partition) known() (keys int, read bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.fold.Keys(), p.caught
}

// History returns what the log holds of a workspace's idempotency key. It only
// reads: asking claims nothing.
func (k *Keeper) History(ctx context.Context, workspace, key string) report.Claims {
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	hashed := hash(workspace, key)
	r := report.Claims{Partition: PartitionOf(hashed)}
	if p, ok := k.open(r.Partition); ok {
		r.Claims, r.Whole = p.History(ctx, hashed)
	}
	return r
}
