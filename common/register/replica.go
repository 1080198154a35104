package register

import (
	"fmt"

	"jackdawhinge/common/journal"
)

// A Replica is one reader's copy of the configuration, up to the last record that it has read. Its
// offset and revision never decrease. It is not safe for concurrent use.
type Replica struct {
	state                  State
	nextOffset             int64
	complete               bool
	buffered               []journal.Record // read while the state is incomplete, not applied yet
	changesSinceCheckpoint int
}

// NewReplica returns a copy that has read no record yet.
func NewReplica() *Replica {
	return &Replica{state: NewState(), complete: true}
}

// State returns the state after the last record applied; callers must not modify it.
func (f *Replica) State() State {
	return f.state
}

// NextOffset returns the offset of the next record to read.
func (f *Replica) NextOffset() int64 {
	return f.nextOffset
}

// IsComplete reports whether the state includes every record below the next offset to read.
func (f *Replica) IsComplete() bool {
	return f.complete
}

// ChangesSinceCheckpoint returns the number of changes applied since the last checkpoint record.
func (f *Replica) ChangesSinceCheckpoint() int {
	return f.changesSinceCheckpoint
}

// SkipTo advances to the offset earliest after retention has removed the records below it.
func (f *Replica) SkipTo(earliest int64) {
	if f.nextOffset >= earliest {
		return
	}
	// The records up to earliest were never read. Applying later ones without them would decide
	// changes differently from hosts that read them, so later records are buffered until a
	// checkpoint covers the gap.
	f.complete = false
	f.nextOffset = earliest
	f.buffered = nil
}

// Install replaces the state by a checkpoint, read from the log or fetched from a host, if that is
// ahead of this copy, and reports whether it did.
func (f *Replica) Install(c Checkpoint) bool {
	if f.complete && c.NextOffset <= f.nextOffset {
		return false
	}
	firstBuffered := f.nextOffset - int64(len(f.buffered))
	if !f.complete && c.NextOffset < firstBuffered {
		return false
	}
	if c.State.Revision < f.state.Revision {
		return false
	}
	f.state = c.State
	f.complete = true
	buffered := f.buffered
	f.buffered = nil
	if c.NextOffset > f.nextOffset {
		f.nextOffset = c.NextOffset
	}
	for _, r := range buffered {
		if r.Offset >= c.NextOffset {
			// Add already returned the error when the record was read.
			_ = f.apply(r)
		}
	}
	return true
}

// Apply applies one record, or buffers it while the state is incomplete. It returns an error for a
// record that cannot be decoded, which every reader skips.
func (f *Replica) Apply(r journal.Record) error {
	if r.Offset < f.nextOffset {
		return nil
	}
	if r.Offset > f.nextOffset {
		f.SkipTo(r.Offset)
	}
	f.nextOffset = r.Offset + 1
	if !f.complete {
		f.buffered = append(f.buffered, r)
		return f.installCheckpointRecord(r)
	}
	return f.apply(r)
}

// installCheckpointRecord installs the checkpoint in r if r is a checkpoint record.
func (f *Replica) installCheckpointRecord(r journal.Record) error {
	record, err := DecodeRecord(r.Data)
	if err != nil {
		return fmt.Errorf("offset %d: %w", r.Offset, err)
	}
	if record.Kind == CheckpointRecord {
		f.Install(*record.Checkpoint)
	}
	return nil
}

func (f *Replica) apply(r journal.Record) error {
	record, err := DecodeRecord(r.Data)
	if err != nil {
		return fmt.Errorf("offset %d: %w", r.Offset, err)
	}
	if record.Kind == CheckpointRecord {
		f.changesSinceCheckpoint = 0
		return nil
	}
	f.state = f.state.Apply(r.Offset, *record.Change)
	f.changesSinceCheckpoint++
	return nil
}

// Checkpoint returns the state as a checkpoint, and false while the state is incomplete.
func (f *Replica) Checkpoint() (Checkpoint, bool) {
	return Checkpoint{NextOffset: f.nextOffset, State: f.state}, f.complete
}
