package ledger

import (
	"fmt"
	"slices"
	"time"

	"jackdawhinge/common/journal"
	"jackdawhinge/common/peers"
)

// runningFor is how long a claim without outcome counts as still running; after it the outcome is uncertain.
const runningFor = 2 * time.Minute

// A Fold is what the records of one claim stream say, from where its reader
// began. It is not safe for concurrent use.
type Fold struct {
	next  int64
	start int64
	keys  map[string]*history
	order []kept
}

// history is what the stream holds of one key.
type history struct {
	claims  []claim
	voids   []void
	outcome *outcome
}

// claim is the first record of a claim.
type claim struct {
	id     string
	body   string
	offset int64
	readAt time.Time
	// granted means that the claim may execute, or that this reader cannot tell.
	granted bool
	// judged means that this reader saw all the records that decide on it.
	judged bool
}

type void struct {
	claim  string
	offset int64
}

type outcome struct {
	claim  string
	body   string
	offset int64
	state  peers.ClaimState
	answer []byte
}

// kept remembers which key to look through when retention passes an offset.
type kept struct {
	offset int64
	key    string
}

// NewFold returns a fold that has read nothing.
func NewFold() *Fold {
	return &Fold{keys: map[string]*history{}}
}

// Next returns the offset of the next record to read.
func (f *Fold) Next() int64 {
	return f.next
}

// Keys returns how many keys the fold knows.
func (f *Fold) Keys() int {
	return len(f.keys)
}

// Add folds one record in; an error describes a record that every host skips.
func (f *Fold) Add(now time.Time, r journal.Record) error {
	if r.Offset < f.next {
		return nil
	}
	if r.Offset > f.next {
		f.gap(r.Offset)
	}
	f.next = r.Offset + 1
	rec, err := DecodeRecord(r.Data)
	if err != nil {
		return fmt.Errorf("offset %d: %w", r.Offset, err)
	}
	h, ok := f.keys[rec.Key]
	if !ok {
		h = &history{}
		f.keys[rec.Key] = h
	}
	f.order = append(f.order, kept{offset: r.Offset, key: rec.Key})
	switch rec.Kind {
	case ClaimRecord:
		h.addClaim(f.start, now, r.Offset, rec)
	case VoidRecord:
		h.voids = append(h.voids, void{claim: rec.Claim, offset: r.Offset})
	case OutcomeRecord:
		if h.outcome == nil || h.outcome.claim == rec.Claim {
			h.outcome = &outcome{claim: rec.Claim, body: rec.Body, offset: r.Offset, state: rec.State, answer: rec.Answer}
		}
	}
	return nil
}

// addClaim judges a claim by the records between what its host had seen and
// itself. Judging by all that a reader happens to keep would let two readers
// with different beginnings grant two claims of one key, and both would run.
func (h *history) addClaim(start int64, now time.Time, offset int64, rec Record) {
	for _, c := range h.claims {
		if c.id == rec.Claim {
			return
		}
	}
	c := claim{id: rec.Claim, body: rec.Body, offset: offset, readAt: now, judged: rec.Seen >= start}
	c.granted = !c.judged || h.clean(rec.Seen)
	h.claims = append(h.claims, c)
}

// clean reports whether every claim from an offset on has a void from there on.
func (h *history) clean(from int64) bool {
	for _, c := range h.claims {
		if c.offset >= from && !h.voided(c.id, from) {
			return false
		}
	}
	return true
}

func (h *history) voided(id string, from int64) bool {
	for _, v := range h.voids {
		if v.claim == id && v.offset >= from {
			return true
		}
	}
	return false
}

// holder returns the claim that holds the key, or nil if the key is free.
func (h *history) holder() *claim {
	for i := range h.claims {
		if c := &h.claims[i]; c.granted && !h.voided(c.id, 0) {
			return c
		}
	}
	return nil
}

// Hint takes in the outcome of a claim that holds its key before its record is
// read back, so that a repeat is answered at once. It frees no key: should the
// record be lost with this host, others take the claim for running, then uncertain.
func (f *Fold) Hint(args peers.CloseArgs) {
	h, ok := f.keys[args.Key]
	if !ok || args.Void || h.outcome != nil {
		return
	}
	if holder := h.holder(); holder != nil && holder.id == args.Claim {
		h.outcome = &outcome{claim: args.Claim, body: args.Body, offset: holder.offset, state: args.State, answer: args.Answer}
	}
}

// Trim forgets what retention has removed from the stream below earliest.
func (f *Fold) Trim(earliest int64) {
	if f.next < earliest {
		f.gap(earliest)
		f.next = earliest
	}
	for len(f.order) > 0 && f.order[0].offset < earliest {
		key := f.order[0].key
		f.order = f.order[1:]
		if h, ok := f.keys[key]; ok && h.trim(earliest) {
			delete(f.keys, key)
		}
	}
}

// gap notes that the records below an offset were not all read: claims that
// depend on them cannot be judged.
func (f *Fold) gap(offset int64) {
	f.start = offset
}

// trim forgets what lies below an offset and reports whether nothing is left.
func (h *history) trim(earliest int64) bool {
	h.claims = slices.DeleteFunc(h.claims, func(c claim) bool { return c.offset < earliest })
	h.voids = slices.DeleteFunc(h.voids, func(v void) bool { return v.offset < earliest })
	if h.outcome != nil && h.outcome.offset < earliest {
		h.outcome = nil
	}
	return len(h.claims) == 0 && len(h.voids) == 0 && h.outcome == nil
}

// State returns what the stream says of a key to the claimant of a claim, or
// false if the key is free and the claim has not been read.
func (f *Fold) State(now time.Time, args peers.ClaimArgs) (peers.ClaimReply, bool) {
	h, ok := f.keys[args.Key]
	if !ok {
		return peers.ClaimReply{}, false
	}
	if h.outcome != nil {
		if h.outcome.body != args.Body {
			return peers.ClaimReply{State: peers.Mismatch}, true
		}
		return peers.ClaimReply{State: h.outcome.state, Answer: h.outcome.answer}, true
	}
	for _, c := range h.claims {
		if c.id == args.Claim && c.judged && c.granted && !h.voided(c.id, 0) {
			return peers.ClaimReply{State: peers.Granted}, true
		}
	}
	holder := h.holder()
	switch {
	case holder == nil:
		// The claim lost to one that has been voided since: the caller may ask again.
		return peers.ClaimReply{State: peers.Running}, h.has(args.Claim)
	case holder.body != args.Body:
		return peers.ClaimReply{State: peers.Mismatch}, true
	case now.Sub(holder.readAt) > runningFor:
		return peers.ClaimReply{State: peers.Uncertain}, true
	default:
		return peers.ClaimReply{State: peers.Running}, true
	}
}

func (h *history) has(claim string) bool {
	for _, c := range h.claims {
		if c.id == claim {
			return true
		}
	}
	return false
}
