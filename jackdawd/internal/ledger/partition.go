package ledger

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"jackdawhinge/common/journal"
	"jackdawhinge/common/pause"
	"jackdawhinge/common/peers"
)

const (
	readWait   = 30 * time.Second
	retryEvery = 500 * time.Millisecond
	// claimTimeout is how long a claim may take to be read back.
	claimTimeout = 2500 * time.Millisecond
	// maxAppend bounds the records of one append.
	maxAppend = 256
	// maxPending bounds the records that wait to be appended.
	maxPending = 4096
)

// ErrNotConfirmed says that a claim was not read back in time; it may still stand in the log.
var ErrNotConfirmed = errors.New("claim was not read back in time")

// A Journal is the platform's log service.
type Journal interface {
	Append(ctx context.Context, stream string, records ...json.RawMessage) (int64, error)
	Read(ctx context.Context, stream string, from int64, wait time.Duration) (journal.Batch, error)
}

// A Partition follows one claim stream and appends to it.
type Partition struct {
	stream  string
	journal Journal
	cancel  context.CancelFunc
	mu      sync.Mutex
	fold    *Fold
	caught  bool
	down    bool
	// refused is set while the last append failed.
	refused bool
	changed chan struct{}
	pending []json.RawMessage
	wake    chan struct{}
	usedAt  time.Time
}

// NewPartition returns a partition that has started to read its stream from the earliest record kept.
func NewPartition(j Journal, stream string) *Partition {
	ctx, cancel := context.WithCancel(context.Background())
	p := &Partition{
		stream: stream, journal: j, cancel: cancel, fold: NewFold(),
		changed: make(chan struct{}), wake: make(chan struct{}, 1), usedAt: time.Now(),
	}
	go func() { p.read(ctx) }()
	go func() { p.append(ctx) }()
	return p
}

// Close stops the partition; appends that wait are lost, as if the host had failed.
func (p *Partition) Close() {
	p.cancel()
}

// IdleSince returns when the partition was last asked for something.
func (p *Partition) IdleSince() time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.usedAt
}

// Claim claims a key and returns its state once the log has decided.
func (p *Partition) Claim(ctx context.Context, args peers.ClaimArgs) (peers.ClaimReply, error) {
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	if !p.awaitCaughtUp(ctx) {
		return peers.ClaimReply{State: peers.Unready}, nil
	}
	reply, known, err := p.claim(args)
	if known || err != nil {
		return reply, err
	}
	for {
		changed := p.change()
		if reply, known := p.state(args); known {
			return reply, nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return peers.ClaimReply{}, fmt.Errorf("claim on %s: %w", p.stream, ErrNotConfirmed)
		}
	}
}

// claim returns the key's state, or enqueues a claim if the key is free. Both
// happen under one lock: what the claim says it has seen is what was looked at.
func (p *Partition) claim(args peers.ClaimArgs) (reply peers.ClaimReply, known bool, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if reply, known := p.fold.State(time.Now(), args); known {
		return reply, true, nil
	}
	r := Record{Kind: ClaimRecord, Claim: args.Claim, Key: args.Key, Body: args.Body, Seen: p.fold.Next()}
	return peers.ClaimReply{}, false, p.enqueue(r)
}

// End appends the end of a claim: its void or its outcome.
func (p *Partition) End(args peers.CloseArgs) error {
	r := Record{Kind: OutcomeRecord, Claim: args.Claim, Key: args.Key, Body: args.Body, State: args.State, Answer: args.Answer}
	if args.Void {
		r.Kind, r.State = VoidRecord, ""
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.fold.Hint(args)
	return p.enqueue(r)
}

// awaitCaughtUp reports whether the stream has been read to its end. While the
// log is down it does not wait: the caller is refused at once.
func (p *Partition) awaitCaughtUp(ctx context.Context) bool {
	for {
		p.mu.Lock()
		p.usedAt = time.Now()
		caught, down, changed := p.caught, p.down || p.refused || len(p.pending) >= maxPending, p.changed
		p.mu.Unlock()
		if caught || down {
			return caught && !down
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return false
		}
	}
}

func (p *Partition) state(args peers.ClaimArgs) (peers.ClaimReply, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.fold.State(time.Now(), args)
}

func (p *Partition) change() <-chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.changed
}

// enqueue adds a record to those that wait to be appended; the lock is held.
func (p *Partition) enqueue(r Record) error {
	data, err := r.Encode()
	if err != nil {
		return err
	}
	p.pending = append(p.pending, data)
	select {
	case p.wake <- struct{}{}:
	default:
	}
	return nil
}

// append writes what is pending, no faster than the pacer allows. What comes while
// it waits goes along.
func (p *Partition) append(ctx context.Context) {
	pace := newPacer(time.Now())
	for {
		select {
		case <-ctx.Done():
			return
		case <-p.wake:
		}
		for p.hasPending() && ctx.Err() == nil {
			pause.For(ctx, pace.next(time.Now()))
			p.appendBatch(ctx, p.take())
		}
	}
}

func (p *Partition) hasPending() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.pending) > 0
}

// appendBatch appends a batch, again if its answer is lost: a record that then
// stands twice counts once, since claims, voids and outcomes are idempotent.
func (p *Partition) appendBatch(ctx context.Context, batch []json.RawMessage) {
	for ctx.Err() == nil {
		_, err := p.journal.Append(ctx, p.stream, batch...)
		p.setRefused(err != nil)
		if err == nil {
			return
		}
		logrus.WithError(err).Warn("ledger: An append failed and is repeated.")
		pause.For(ctx, retryEvery)
	}
}

func (p *Partition) setRefused(refused bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.refused = refused
}

func (p *Partition) take() []json.RawMessage {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := min(len(p.pending), maxAppend)
	batch := p.pending[:n:n]
	p.pending = p.pending[n:]
	return batch
}

func (p *Partition) read(ctx context.Context) {
	from, wait := int64(0), time.Duration(0)
	for ctx.Err() == nil {
		batch, err := p.journal.Read(ctx, p.stream, from, wait)
		var trimmed *journal.TrimmedError
		switch {
		case errors.As(err, &trimmed):
			from = trimmed.Earliest
			p.absorb(journal.Batch{Earliest: from}, false)
		case err != nil:
			// What this host knows grows old: others may claim what it has not
			// read. It goes on only after it has read to the end again.
			p.lose()
			wait = 0
			pause.For(ctx, retryEvery)
		default:
			from = batch.Next
			p.absorb(batch, len(batch.Records) == 0)
			if len(batch.Records) == 0 {
				wait = readWait
			}
		}
	}
}

// absorb folds a batch in; atEnd says that it was read up to the stream's end.
func (p *Partition) absorb(batch journal.Batch, atEnd bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.fold.Trim(batch.Earliest)
	for _, r := range batch.Records {
		if err := p.fold.Add(time.Now(), r); err != nil {
			logrus.WithError(err).Error("ledger: A claim record was skipped.")
		}
	}
	p.caught, p.down = p.caught || atEnd, false
	p.notify()
}

func (p *Partition) notify() {
	close(p.changed)
	p.changed = make(chan struct{})
}

func (p *Partition) lose() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.caught, p.down = false, true
	p.notify()
}
