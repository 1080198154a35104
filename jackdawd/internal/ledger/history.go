package ledger

import (
	"context"
	"time"

	"jackdawhinge/common/peers"
	"jackdawhinge/common/report"
	"jackdawhinge/common/targets"
)

// History returns the claims of a key by ascending offset.
func (x *ClaimIndex) History(now time.Time, key string) []report.Claim {
	records, ok := x.keys[key]
	if !ok {
		return nil
	}
	var claims []report.Claim
	for _, c := range records.claims {
		claims = append(claims, report.Claim{
			ID: c.id, Offset: c.offset, State: records.claimState(c), ReadAgo: targets.Duration(now.Sub(c.readAt).Round(time.Millisecond)),
		})
	}
	return claims
}

func (k *keyRecords) claimState(c claim) report.ClaimState {
	switch {
	case k.outcome != nil && k.outcome.claim == c.id && k.outcome.state == peers.Finished:
		return report.ClaimFinished
	case k.outcome != nil && k.outcome.claim == c.id:
		return report.ClaimUncertain
	case k.isVoided(c.id, 0):
		return report.ClaimVoid
	case c.granted:
		return report.ClaimHeld
	default:
		return report.ClaimLost
	}
}

// History returns the claims of a key once the stream has been read to its end, and false if
// the log is unavailable or the context ended before that.
func (p *Partition) History(ctx context.Context, key string) ([]report.Claim, bool) {
	complete := p.awaitCaughtUp(ctx)
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.index.History(time.Now(), key), complete
}

// Report returns how many claim streams this host follows, how many it has read to their end,
// and how many keys they hold.
func (m *PartitionManager) Report() report.Ledger {
	m.mu.Lock()
	defer m.mu.Unlock()
	r := report.Ledger{StreamsFollowed: len(m.partitions)}
	for _, p := range m.partitions {
		keys, caughtUp := p.stats()
		r.Keys += keys
		if caughtUp {
			r.StreamsRead++
		}
	}
	return r
}

// stats returns the number of keys and whether the stream has been read to its end.
func (p *Partition) stats() (keys int, caughtUp bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.index.KeyCount(), p.caughtUp
}

// History returns the claims that the log holds of a workspace's idempotency key. It appends
// nothing.
func (m *PartitionManager) History(ctx context.Context, workspace, key string) report.Claims {
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	hashed := hash(workspace, key)
	r := report.Claims{Partition: PartitionOf(hashed)}
	if p, ok := m.open(r.Partition); ok {
		r.Claims, r.Complete = p.History(ctx, hashed)
	}
	return r
}
