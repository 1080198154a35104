package ledger

import (
	"fmt"
	"time"

	"jackdawhinge/common/journal"
	"jackdawhinge/common/peers"
)

// runningFor is how long a claim without outcome counts as still running; after it the outcome is uncertain.
const runningFor = 2 * time.Minute

// A Fold is what the records of one claim stream say. It is not safe for concurrent use.
type Fold struct {
	next    int64
	entries map[string]*entry
	voided  map[string]int64
	order   []kept
}

// entry is the first claim of a key that is not void.
type entry struct {
	claim  string
	body   string
	offset int64
	readAt time.Time
	state  peers.ClaimState
	answer []byte
}

// kept remembers which key or void to forget when retention passes an offset.
type kept struct {
	offset int64
	key    string
	void   string
}

// NewFold returns a fold that has read nothing.
func NewFold() *Fold {
	return &Fold{entries: map[string]*entry{}, voided: map[string]int64{}}
}

// Next returns the offset of the next record to read.
func (f *Fold) Next() int64 {
	return f.next
}

// Keys returns how many keys the fold knows.
func (f *Fold) Keys() int {
	return len(f.entries)
}

// Add folds one record in; an error describes a record that every host skips.
func (f *Fold) Add(now time.Time, r journal.Record) error {
	if r.Offset < f.next {
		return nil
	}
	f.next = r.Offset + 1
	rec, err := DecodeRecord(r.Data)
	if err != nil {
		return fmt.Errorf("offset %d: %w", r.Offset, err)
	}
	switch rec.Kind {
	case ClaimRecord:
		f.claim(now, r.Offset, rec)
	case VoidRecord:
		f.void(r.Offset, rec)
	case OutcomeRecord:
		f.outcome(now, r.Offset, rec)
	}
	return nil
}

func (f *Fold) claim(now time.Time, offset int64, rec Record) {
	if _, ok := f.voided[rec.Claim]; ok {
		// An append that was slow can land after its claimant gave up and
		// voided it. Counting it would leave a claim that nobody executes.
		return
	}
	if _, ok := f.entries[rec.Key]; ok {
		return
	}
	f.entries[rec.Key] = &entry{claim: rec.Claim, body: rec.Body, offset: offset, readAt: now, state: peers.Running}
	f.order = append(f.order, kept{offset: offset, key: rec.Key})
}

func (f *Fold) void(offset int64, rec Record) {
	f.voided[rec.Claim] = offset
	f.order = append(f.order, kept{offset: offset, void: rec.Claim})
	if e, ok := f.entries[rec.Key]; ok && e.claim == rec.Claim && e.state == peers.Running {
		delete(f.entries, rec.Key)
	}
}

func (f *Fold) outcome(now time.Time, offset int64, rec Record) {
	e, ok := f.entries[rec.Key]
	if !ok {
		// The claim was trimmed, its outcome is still here: keep the promise a little longer.
		e = &entry{claim: rec.Claim, body: rec.Body, readAt: now}
		f.entries[rec.Key] = e
	}
	if e.claim != rec.Claim {
		return
	}
	e.offset, e.state, e.answer = offset, rec.State, rec.Answer
	f.order = append(f.order, kept{offset: offset, key: rec.Key})
}

// Trim forgets what retention has removed from the stream below earliest.
func (f *Fold) Trim(earliest int64) {
	f.next = max(f.next, earliest)
	for len(f.order) > 0 && f.order[0].offset < earliest {
		k := f.order[0]
		f.order = f.order[1:]
		if k.void != "" {
			delete(f.voided, k.void)
			continue
		}
		if e, ok := f.entries[k.key]; ok && e.offset < earliest {
			delete(f.entries, k.key)
		}
	}
}

// State returns what the stream says of a key to the claimant of a claim, or false if the key is free.
func (f *Fold) State(now time.Time, args peers.ClaimArgs) (peers.ClaimReply, bool) {
	e, ok := f.entries[args.Key]
	switch {
	case !ok:
		return peers.ClaimReply{}, false
	case e.claim == args.Claim:
		return peers.ClaimReply{State: peers.Granted}, true
	case e.body != args.Body:
		return peers.ClaimReply{State: peers.Mismatch}, true
	case e.state == peers.Running && now.Sub(e.readAt) > runningFor:
		return peers.ClaimReply{State: peers.Uncertain}, true
	default:
		return peers.ClaimReply{State: e.state, Answer: e.answer}, true
	}
}
