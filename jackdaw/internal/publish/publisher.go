package publish

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"github.com/google/uuid"

	"jackdawhinge/common/journal"
	"jackdawhinge/common/pause"
	"jackdawhinge/common/register"
)

const (
	longPollWait  = time.Second // how long the log service holds a read for new records
	retryInterval = 500 * time.Millisecond
)

// ErrOutcomeUnknown is returned when the change may or may not be in the log. Publishing it again
// with the same ID is safe.
var ErrOutcomeUnknown = errors.New("outcome of the change is unknown")

// A Journal is the platform's log service.
type Journal interface {
	Append(ctx context.Context, stream string, records ...json.RawMessage) (int64, error)
	Read(ctx context.Context, stream string, from int64, wait time.Duration) (journal.Batch, error)
}

// A Publisher publishes changes to the configuration. It is not safe for concurrent use.
type Publisher struct {
	journal Journal
	replica *register.Replica
}

// NewPublisher returns a publisher that has not read the stream yet.
func NewPublisher(j Journal) *Publisher {
	return &Publisher{journal: j, replica: register.NewReplica()}
}

// Install installs a host's checkpoint, for a stream whose beginning retention has removed.
func (p *Publisher) Install(c register.Checkpoint) {
	p.replica.Install(c)
}

// Read reads the stream to its end and returns the state, and whether it is complete.
func (p *Publisher) Read(ctx context.Context) (register.State, bool, error) {
	for {
		count, err := p.readOnce(ctx, 0)
		if err != nil {
			return register.State{}, false, err
		}
		if count == 0 {
			return p.replica.State(), p.replica.IsComplete(), nil
		}
	}
}

// readOnce applies one batch of records and returns its size, or 1 after skipping records that
// retention has removed.
func (p *Publisher) readOnce(ctx context.Context, wait time.Duration) (int, error) {
	batch, err := p.journal.Read(ctx, register.StreamName, p.replica.NextOffset(), wait)
	var trimmed *journal.TrimmedError
	if errors.As(err, &trimmed) {
		p.replica.SkipTo(trimmed.Earliest)
		return 1, nil
	}
	if err != nil {
		return 0, err
	}
	for _, r := range batch.Records {
		// Malformed records do not change the state; hosts report them.
		_ = p.replica.Apply(r)
	}
	return len(batch.Records), nil
}

// NewChange returns a change based on the revision last read, with a new ID.
func (p *Publisher) NewChange(patch register.Patch, operator string) register.Change {
	return register.Change{ID: uuid.NewString(), BaseRevision: p.replica.State().Revision, Operator: operator, Patch: patch}
}

// Check returns the decision on a change if no other change preceded it.
func (p *Publisher) Check(c register.Change) register.Decision {
	d, _ := p.replica.State().Apply(p.replica.NextOffset(), c).Decision(c.ID)
	return d
}

// Publish appends a change and returns the decision on it. If the response to the append is lost,
// Publish retries with the same ID, of which readers apply only the first record, so the change is
// not applied twice. It returns ErrOutcomeUnknown if ctx ends before the decision is read.
func (p *Publisher) Publish(ctx context.Context, c register.Change) (register.Decision, error) {
	data, err := register.Record{Kind: register.ChangeRecord, Change: &c}.Encode()
	if err != nil {
		return register.Decision{}, err
	}
	appended := false
	for ctx.Err() == nil {
		if !appended {
			_, err = p.journal.Append(ctx, register.StreamName, data)
			appended = err == nil
		}
		if _, readErr := p.readOnce(ctx, longPollWait); readErr != nil {
			err = readErr
			pause.For(ctx, retryInterval)
		}
		if d, ok := p.replica.State().Decision(c.ID); ok {
			return d, nil
		}
	}
	return register.Decision{}, fmt.Errorf("publish change %s: %w: %w", c.ID, ErrOutcomeUnknown, errors.Join(err, ctx.Err()))
}
