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

// NewReplica returns a replica that has read no record yet.
func NewReplica() *Replica {
	return &Replica{state: NewState(), complete: true}
}

// State returns the state after the last record applied; callers must not modify it.
func (r *Replica) State() State {
	return r.state
}

// NextOffset returns the offset of the next record to read.
func (r *Replica) NextOffset() int64 {
	return r.nextOffset
}

// IsComplete reports whether the state includes every record below the next offset to read.
func (r *Replica) IsComplete() bool {
	return r.complete
}

// ChangesSinceCheckpoint returns the number of changes applied since the last checkpoint record.
func (r *Replica) ChangesSinceCheckpoint() int {
	return r.changesSinceCheckpoint
}

// SkipTo advances to the offset earliest after retention has removed the records below it.
func (r *Replica) SkipTo(earliest int64) {
	if r.nextOffset >= earliest {
		return
	}
	// The records up to earliest were never read. Applying later ones without them would decide
	// changes differently from hosts that read them, so later records are buffered until a
	// checkpoint covers the gap.
	r.complete = false
	r.nextOffset = earliest
	r.buffered = nil
}

// Install replaces the state by a checkpoint, read from the log or fetched from a host, if that is
// ahead of this copy, and reports whether it did.
func (r *Replica) Install(c Checkpoint) bool {
	if r.complete && c.NextOffset <= r.nextOffset {
		return false
	}
	firstBuffered := r.nextOffset - int64(len(r.buffered))
	if !r.complete && c.NextOffset < firstBuffered {
		return false
	}
	if c.State.Revision < r.state.Revision {
		return false
	}
	r.state = c.State
	r.complete = true
	buffered := r.buffered
	r.buffered = nil
	if c.NextOffset > r.nextOffset {
		r.nextOffset = c.NextOffset
	}
	for _, entry := range buffered {
		if entry.Offset >= c.NextOffset {
			// Apply already returned the error when the record was read.
			_ = r.apply(entry)
		}
	}
	return true
}

// Apply applies one record, or buffers it while the state is incomplete. It returns an error for a
// record that cannot be decoded, which every reader skips.
func (r *Replica) Apply(entry journal.Record) error {
	if entry.Offset < r.nextOffset {
		return nil
	}
	if entry.Offset > r.nextOffset {
		r.SkipTo(entry.Offset)
	}
	r.nextOffset = entry.Offset + 1
	if !r.complete {
		r.buffered = append(r.buffered, entry)
		return r.installCheckpointRecord(entry)
	}
	return r.apply(entry)
}

// installCheckpointRecord installs the checkpoint in entry if it is a checkpoint record.
func (r *Replica) installCheckpointRecord(entry journal.Record) error {
	record, err := DecodeRecord(entry.Data)
	if err != nil {
		return fmt.Errorf("offset %d: %w", entry.Offset, err)
	}
	if record.Kind == CheckpointRecord {
		r.Install(*record.Checkpoint)
	}
	return nil
}

func (r *Replica) apply(entry journal.Record) error {
	record, err := DecodeRecord(entry.Data)
	if err != nil {
		return fmt.Errorf("offset %d: %w", entry.Offset, err)
	}
	if record.Kind == CheckpointRecord {
		r.changesSinceCheckpoint = 0
		return nil
	}
	r.state = r.state.Apply(entry.Offset, *record.Change)
	r.changesSinceCheckpoint++
	return nil
}

// Checkpoint returns the state as a checkpoint, and false while the state is incomplete.
func (r *Replica) Checkpoint() (Checkpoint, bool) {
	return Checkpoint{NextOffset: r.nextOffset, State: r.state}, r.complete
}
