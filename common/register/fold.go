package register

import (
	"fmt"

	"jackdawhinge/common/journal"
)

// A Fold is the configuration as far as this reader has read the stream.
// It only ever moves forward; it is not safe for concurrent use.
type Fold struct {
	state   State
	next    int64
	whole   bool
	pending []journal.Record
	sinceCP int
}

// NewFold returns a fold that has read nothing.
func NewFold() *Fold {
	return &Fold{state: NewState(), whole: true}
}

// State returns the state at the last record read; it must not be changed.
func (f *Fold) State() State {
	return f.state
}

// Next returns the offset of the next record to read.
func (f *Fold) Next() int64 {
	return f.next
}

// Whole reports whether the state covers every record below Next.
func (f *Fold) Whole() bool {
	return f.whole
}

// SinceCheckpoint returns how many changes were folded since the last checkpoint.
func (f *Fold) SinceCheckpoint() int {
	return f.sinceCP
}

// Trimmed tells the fold that records below earliest are gone from the stream.
func (f *Fold) Trimmed(earliest int64) {
	if f.next >= earliest {
		return
	}
	// Records between next and earliest were never seen. Folding what follows
	// on top would decide changes differently from hosts that saw them, so
	// later records wait until a checkpoint covers the gap.
	f.whole = false
	f.next = earliest
	f.pending = nil
}

// Install takes the state of a peer or checkpoint if it is ahead of this fold, and reports whether it did.
func (f *Fold) Install(c Checkpoint) bool {
	if f.whole && c.Through <= f.next {
		return false
	}
	first := f.next - int64(len(f.pending))
	if !f.whole && c.Through < first {
		return false
	}
	if c.State.Revision < f.state.Revision {
		return false
	}
	f.state = c.State
	f.whole = true
	pending := f.pending
	f.pending = nil
	if c.Through > f.next {
		f.next = c.Through
	}
	for _, r := range pending {
		if r.Offset >= c.Through {
			// Errors were reported when the record was first read.
			_ = f.fold(r)
		}
	}
	return true
}

// Add folds one record in; an error describes a record that every host skips.
func (f *Fold) Add(r journal.Record) error {
	if r.Offset < f.next {
		return nil
	}
	if r.Offset > f.next {
		f.Trimmed(r.Offset)
	}
	f.next = r.Offset + 1
	if !f.whole {
		f.pending = append(f.pending, r)
		return f.installFrom(r)
	}
	return f.fold(r)
}

func (f *Fold) installFrom(r journal.Record) error {
	rec, err := DecodeRecord(r.Data)
	if err != nil {
		return fmt.Errorf("offset %d: %w", r.Offset, err)
	}
	if rec.Kind == CheckpointRecord {
		f.Install(*rec.Checkpoint)
	}
	return nil
}

func (f *Fold) fold(r journal.Record) error {
	rec, err := DecodeRecord(r.Data)
	if err != nil {
		return fmt.Errorf("offset %d: %w", r.Offset, err)
	}
	if rec.Kind == CheckpointRecord {
		f.sinceCP = 0
		return nil
	}
	f.state = f.state.Apply(r.Offset, *rec.Change)
	f.sinceCP++
	return nil
}

// Checkpoint returns the fold's state as a checkpoint, or false while the state is not whole.
func (f *Fold) Checkpoint() (Checkpoint, bool) {
	return Checkpoint{Through: f.next, State: f.state}, f.whole
}
