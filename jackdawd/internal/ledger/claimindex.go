package ledger

import (
	"fmt"
	"slices"
	"time"

	"jackdawhinge/common/journal"
	"jackdawhinge/common/peers"
)

// runningTimeout is how long a granted claim without an outcome counts as running. After that
// its outcome is uncertain.
const runningTimeout = 2 * time.Minute

// A ClaimIndex holds the state of the keys in one claim stream, built from the records that its
// reader has read. It is not safe for concurrent use.
type ClaimIndex struct {
	nextOffset int64
	// completeFrom is the offset from which on every record up to nextOffset was read.
	completeFrom int64
	keys         map[string]*keyRecords
	byOffset     []keyOffset
}

// keyRecords holds the records of one key.
type keyRecords struct {
	claims  []claim
	voids   []void
	outcome *outcome
}

// claim is a claim's first record; an append that was retried may have written it twice.
type claim struct {
	id     string
	body   string
	offset int64
	readAt time.Time
	// granted is true if the claim may execute, or if this reader cannot decide that.
	granted bool
	// decidable is true if this reader has read all records that decide whether the claim is
	// granted.
	decidable bool
}

type void struct {
	claim  string
	offset int64
}

type outcome struct {
	claim    string
	body     string
	offset   int64
	state    peers.ClaimState
	response []byte
}

// keyOffset names the key of the record at an offset, so that Trim finds the keys to trim.
type keyOffset struct {
	offset int64
	key    string
}

// NewClaimIndex returns an empty index.
func NewClaimIndex() *ClaimIndex {
	return &ClaimIndex{keys: map[string]*keyRecords{}}
}

// NextOffset returns the offset of the next record to read.
func (x *ClaimIndex) NextOffset() int64 {
	return x.nextOffset
}

// KeyCount returns the number of keys in the index.
func (x *ClaimIndex) KeyCount() int {
	return len(x.keys)
}

// Add applies one record. It returns an error for an invalid record, which every host skips.
func (x *ClaimIndex) Add(now time.Time, r journal.Record) error {
	if r.Offset < x.nextOffset {
		return nil
	}
	if r.Offset > x.nextOffset {
		x.markIncompleteBefore(r.Offset)
	}
	x.nextOffset = r.Offset + 1
	rec, err := DecodeRecord(r.Data)
	if err != nil {
		return fmt.Errorf("record at offset %d: %w", r.Offset, err)
	}
	k, ok := x.keys[rec.Key]
	if !ok {
		k = &keyRecords{}
		x.keys[rec.Key] = k
	}
	x.byOffset = append(x.byOffset, keyOffset{offset: r.Offset, key: rec.Key})
	switch rec.Kind {
	case ClaimRecord:
		k.addClaim(x.completeFrom, now, r.Offset, rec)
	case VoidRecord:
		k.voids = append(k.voids, void{claim: rec.Claim, offset: r.Offset})
	case OutcomeRecord:
		if k.outcome == nil || k.outcome.claim == rec.Claim {
			k.outcome = &outcome{claim: rec.Claim, body: rec.Body, offset: r.Offset, state: rec.State, response: rec.Answer}
		}
	}
	return nil
}

// addClaim adds a claim and decides whether it is granted, by the records from rec.Seen up to
// the claim itself. Deciding by all records that a reader has would let two readers with
// different start offsets grant two claims of one key, and both would execute.
func (k *keyRecords) addClaim(completeFrom int64, now time.Time, offset int64, rec Record) {
	for _, c := range k.claims {
		if c.id == rec.Claim {
			return
		}
	}
	c := claim{id: rec.Claim, body: rec.Body, offset: offset, readAt: now, decidable: rec.Seen >= completeFrom}
	c.granted = !c.decidable || k.allVoidedSince(rec.Seen)
	k.claims = append(k.claims, c)
}

// allVoidedSince reports whether every claim at or after an offset has a void record at or
// after that offset.
func (k *keyRecords) allVoidedSince(from int64) bool {
	for _, c := range k.claims {
		if c.offset >= from && !k.isVoided(c.id, from) {
			return false
		}
	}
	return true
}

func (k *keyRecords) isVoided(id string, from int64) bool {
	for _, v := range k.voids {
		if v.claim == id && v.offset >= from {
			return true
		}
	}
	return false
}

// holder returns the granted claim that is not voided, or nil if the key is free.
func (k *keyRecords) holder() *claim {
	for i := range k.claims {
		if c := &k.claims[i]; c.granted && !k.isVoided(c.id, 0) {
			return c
		}
	}
	return nil
}

// ApplyPendingOutcome sets the outcome of the claim that holds its key before the outcome's
// record is read back, so that a duplicate is answered immediately. It never frees a key: if
// this host fails before the record is written, other hosts see the claim as running, then as
// uncertain.
func (x *ClaimIndex) ApplyPendingOutcome(args peers.CloseArgs) {
	k, ok := x.keys[args.Key]
	if !ok || args.Void || k.outcome != nil {
		return
	}
	if holder := k.holder(); holder != nil && holder.id == args.Claim {
		k.outcome = &outcome{claim: args.Claim, body: args.Body, offset: holder.offset, state: args.State, response: args.Answer}
	}
}

// Trim removes the records below earliest, which the log's retention has removed.
func (x *ClaimIndex) Trim(earliest int64) {
	if x.nextOffset < earliest {
		x.markIncompleteBefore(earliest)
		x.nextOffset = earliest
	}
	for len(x.byOffset) > 0 && x.byOffset[0].offset < earliest {
		key := x.byOffset[0].key
		x.byOffset = x.byOffset[1:]
		if k, ok := x.keys[key]; ok && k.trim(earliest) {
			delete(x.keys, key)
		}
	}
}

// markIncompleteBefore records that not all records below an offset were read. Claims that
// depend on them are not decidable.
func (x *ClaimIndex) markIncompleteBefore(offset int64) {
	x.completeFrom = offset
}

// trim removes the records below earliest and reports whether none is left.
func (k *keyRecords) trim(earliest int64) bool {
	k.claims = slices.DeleteFunc(k.claims, func(c claim) bool { return c.offset < earliest })
	k.voids = slices.DeleteFunc(k.voids, func(v void) bool { return v.offset < earliest })
	if k.outcome != nil && k.outcome.offset < earliest {
		k.outcome = nil
	}
	return len(k.claims) == 0 && len(k.voids) == 0 && k.outcome == nil
}

// Lookup returns the state of a key as seen by the claim in args, or false if the key is free
// and the claim has not been read.
func (x *ClaimIndex) Lookup(now time.Time, args peers.ClaimArgs) (peers.ClaimReply, bool) {
	k, ok := x.keys[args.Key]
	if !ok {
		return peers.ClaimReply{}, false
	}
	if k.outcome != nil {
		if k.outcome.body != args.Body {
			return peers.ClaimReply{State: peers.BodyMismatch}, true
		}
		return peers.ClaimReply{State: k.outcome.state, Answer: k.outcome.response}, true
	}
	for _, c := range k.claims {
		if c.id == args.Claim && c.decidable && c.granted && !k.isVoided(c.id, 0) {
			return peers.ClaimReply{State: peers.Granted}, true
		}
	}
	holder := k.holder()
	switch {
	case holder == nil:
		// The claim was not granted because of a claim that has been voided since: the
		// caller may retry.
		return peers.ClaimReply{State: peers.Running}, k.hasClaim(args.Claim)
	case holder.body != args.Body:
		return peers.ClaimReply{State: peers.BodyMismatch}, true
	case now.Sub(holder.readAt) > runningTimeout:
		return peers.ClaimReply{State: peers.Uncertain}, true
	default:
		return peers.ClaimReply{State: peers.Running}, true
	}
}

func (k *keyRecords) hasClaim(claim string) bool {
	for _, c := range k.claims {
		if c.id == claim {
			return true
		}
	}
	return false
}
