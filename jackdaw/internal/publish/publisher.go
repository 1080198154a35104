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
	readWait   = time.Second
	retryEvery = 500 * time.Millisecond
)

// ErrUndecided says that the change may or may not stand in the log; publishing it again with its identity is safe.
var ErrUndecided = errors.New("what became of the change is not known")

// A Journal is the platform's log service.
type Journal interface {
	Append(ctx context.Context, stream string, records ...json.RawMessage) (int64, error)
	Read(ctx context.Context, stream string, from int64, wait time.Duration) (journal.Batch, error)
}

// A Publisher publishes changes to the configuration.
type Publisher struct {
	journal Journal
	fold    *register.Fold
}

// NewPublisher returns a publisher that has read nothing.
func NewPublisher(j Journal) *Publisher {
	return &Publisher{journal: j, fold: register.NewFold()}
}

// Install gives the publisher a host's checkpoint, for a stream whose beginning was trimmed.
func (p *Publisher) Install(c register.Checkpoint) {
	p.fold.Install(c)
}

// Read reads the stream to its end and returns the state there, and whether it is whole.
func (p *Publisher) Read(ctx context.Context) (register.State, bool, error) {
	for {
		n, err := p.readOnce(ctx, 0)
		if err != nil {
			return register.State{}, false, err
		}
		if n == 0 {
			return p.fold.State(), p.fold.Whole(), nil
		}
	}
}

func (p *Publisher) readOnce(ctx context.Context, wait time.Duration) (int, error) {
	batch, err := p.journal.Read(ctx, register.Stream, p.fold.Next(), wait)
	var trimmed *journal.TrimmedError
	if errors.As(err, &trimmed) {
		p.fold.Trimmed(trimmed.Earliest)
		return 1, nil
	}
	if err != nil {
		return 0, err
	}
	for _, r := range batch.Records {
		// Hosts report records that they skip; a skipped one changes nothing here either.
		_ = p.fold.Add(r)
	}
	return len(batch.Records), nil
}

// NewChange returns a change of the state last read.
func (p *Publisher) NewChange(patch register.Patch, operator string) register.Change {
	return register.Change{ID: uuid.NewString(), Base: p.fold.State().Revision, Operator: operator, Patch: patch}
}

// Check returns what the log would decide on a change if nothing came between.
func (p *Publisher) Check(c register.Change) register.Decision {
	d, _ := p.fold.State().Apply(p.fold.Next(), c).Decision(c.ID)
	return d
}

// Publish appends a change and returns what the log decided on it. An append
// whose answer is lost is repeated with the same identity, which the log's
// readers count once; so the change is found again, not published twice.
func (p *Publisher) Publish(ctx context.Context, c register.Change) (register.Decision, error) {
	data, err := register.Record{Kind: register.ChangeRecord, Change: &c}.Encode()
	if err != nil {
		return register.Decision{}, err
	}
	appended := false
	for ctx.Err() == nil {
		if !appended {
			_, err = p.journal.Append(ctx, register.Stream, data)
			appended = err == nil
		}
		if _, readErr := p.readOnce(ctx, readWait); readErr != nil {
			err = readErr
			pause.For(ctx, retryEvery)
		}
		if d, ok := p.fold.State().Decision(c.ID); ok {
			return d, nil
		}
	}
	return register.Decision{}, fmt.Errorf("publish change %s: %w: %w", c.ID, ErrUndecided, errors.Join(err, ctx.Err()))
}
