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
	// readPollTimeout is how long a read at the stream's end waits for new records.
	readPollTimeout = 30 * time.Second
	retryInterval   = 500 * time.Millisecond
	// claimTimeout is how long to wait until a claim has been appended and read back.
	claimTimeout = 2500 * time.Millisecond
	// maxBatchRecords is the maximum number of records in one append.
	maxBatchRecords = 256
	// maxPendingRecords is how many records may wait to be appended before new claims are refused.
	maxPendingRecords = 4096
)

// ErrNotConfirmed is returned for a claim that was not read back in time; the
// log may still hold it.
var ErrNotConfirmed = errors.New("claim was not read back in time")

// A Log is a client of the platform's log service.
type Log interface {
	Append(ctx context.Context, stream string, records ...json.RawMessage) (int64, error)
	Read(ctx context.Context, stream string, from int64, wait time.Duration) (journal.Batch, error)
}

// A Partition reads one claim stream and appends to it.
type Partition struct {
	stream     string
	log        Log
	cancel     context.CancelFunc
	mu         sync.Mutex
	index      *ClaimIndex
	caughtUp   bool
	readFailed bool
	// appendFailed is true if the last append failed.
	appendFailed bool
	// changed is closed and replaced on each change of index, caughtUp or readFailed.
	changed chan struct{}
	pending []json.RawMessage
	// wake holds a token while pending may have records for appendLoop.
	wake     chan struct{}
	lastUsed time.Time
}

// NewPartition returns a partition that has started to read its stream from the earliest
// retained record.
func NewPartition(log Log, stream string) *Partition {
	ctx, cancel := context.WithCancel(context.Background())
	p := &Partition{
		stream: stream, log: log, cancel: cancel, index: NewClaimIndex(),
		changed: make(chan struct{}), wake: make(chan struct{}, 1), lastUsed: time.Now(),
	}
	go func() { p.readLoop(ctx) }()
	go func() { p.appendLoop(ctx) }()
	return p
}

// Close stops the partition. Pending records are lost, as if the host had failed.
func (p *Partition) Close() {
	p.cancel()
}

// LastUsed returns when a claim or a history was last requested.
func (p *Partition) LastUsed() time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.lastUsed
}

// Claim claims a key and returns its state once the claim has been read back from the log. It
// returns ErrNotConfirmed after claimTimeout.
func (p *Partition) Claim(ctx context.Context, args peers.ClaimArgs) (peers.ClaimReply, error) {
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	if !p.awaitCaughtUp(ctx) {
		return peers.ClaimReply{State: peers.Unavailable}, nil
	}
	reply, known, err := p.lookupOrEnqueue(args)
	if known || err != nil {
		return reply, err
	}
	for {
		changed := p.nextChange()
		if reply, known := p.lookup(args); known {
			return reply, nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return peers.ClaimReply{}, fmt.Errorf("claim on stream %s: %w", p.stream, ErrNotConfirmed)
		}
	}
}

// lookupOrEnqueue returns the key's state, or enqueues a claim if the key is free. It holds the
// lock for both, so that the claim's Seen is the offset up to which the lookup had read.
func (p *Partition) lookupOrEnqueue(args peers.ClaimArgs) (reply peers.ClaimReply, known bool, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if reply, known := p.index.Lookup(time.Now(), args); known {
		return reply, true, nil
	}
	r := Record{Kind: ClaimRecord, Claim: args.Claim, Key: args.Key, Body: args.Body, Seen: p.index.NextOffset()}
	return peers.ClaimReply{}, false, p.enqueue(r)
}

// End enqueues the record that ends a claim, a void or an outcome.
func (p *Partition) End(args peers.CloseArgs) error {
	r := Record{Kind: OutcomeRecord, Claim: args.Claim, Key: args.Key, Body: args.Body, State: args.State, Answer: args.Answer}
	if args.Void {
		r.Kind, r.State = VoidRecord, ""
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.index.ApplyPendingOutcome(args)
	return p.enqueue(r)
}

// awaitCaughtUp waits until the stream has been read to its end and reports whether it was. It
// returns false without waiting while the log is unavailable or too many records are pending.
func (p *Partition) awaitCaughtUp(ctx context.Context) bool {
	for {
		p.mu.Lock()
		p.lastUsed = time.Now()
		caughtUp, unavailable, changed := p.caughtUp, p.readFailed || p.appendFailed || len(p.pending) >= maxPendingRecords, p.changed
		p.mu.Unlock()
		if caughtUp || unavailable {
			return caughtUp && !unavailable
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return false
		}
	}
}

func (p *Partition) lookup(args peers.ClaimArgs) (peers.ClaimReply, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.index.Lookup(time.Now(), args)
}

func (p *Partition) nextChange() <-chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.changed
}

// enqueue adds a record to the pending ones; the lock must be held.
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

// appendLoop appends pending records in batches, as the rate limiter allows. Records enqueued
// while it waits join the next batch.
func (p *Partition) appendLoop(ctx context.Context) {
	limiter := newRateLimiter(time.Now())
	for {
		select {
		case <-ctx.Done():
			return
		case <-p.wake:
		}
		for p.hasPending() && ctx.Err() == nil {
			pause.For(ctx, limiter.reserve(time.Now()))
			p.appendBatch(ctx, p.takeBatch())
		}
	}
}

func (p *Partition) hasPending() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.pending) > 0
}

// appendBatch appends a batch and retries until it succeeds. A retry after a lost response may
// write a record twice, which is harmless: claims, voids and outcomes are idempotent.
func (p *Partition) appendBatch(ctx context.Context, batch []json.RawMessage) {
	for ctx.Err() == nil {
		_, err := p.log.Append(ctx, p.stream, batch...)
		p.setAppendFailed(err != nil)
		if err == nil {
			return
		}
		logrus.WithError(err).Warn("ledger: Appending records failed. Retrying.")
		pause.For(ctx, retryInterval)
	}
}

func (p *Partition) setAppendFailed(failed bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.appendFailed = failed
}

func (p *Partition) takeBatch() []json.RawMessage {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := min(len(p.pending), maxBatchRecords)
	batch := p.pending[:n:n]
	p.pending = p.pending[n:]
	return batch
}

func (p *Partition) readLoop(ctx context.Context) {
	from, wait := int64(0), time.Duration(0)
	for ctx.Err() == nil {
		batch, err := p.log.Read(ctx, p.stream, from, wait)
		var trimmed *journal.TrimmedError
		switch {
		case errors.As(err, &trimmed):
			from = trimmed.Earliest
			p.applyBatch(journal.Batch{Earliest: from}, false)
		case err != nil:
			// Other hosts may append claims that this host has not read, so it serves
			// no claims until it has read to the end again.
			p.markReadFailed()
			wait = 0
			pause.For(ctx, retryInterval)
		default:
			from = batch.Next
			p.applyBatch(batch, len(batch.Records) == 0)
			if len(batch.Records) == 0 {
				wait = readPollTimeout
			}
		}
	}
}

// applyBatch applies a batch to the index. atEnd is true if the batch reaches the stream's end.
func (p *Partition) applyBatch(batch journal.Batch, atEnd bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.index.Trim(batch.Earliest)
	for _, r := range batch.Records {
		if err := p.index.Add(time.Now(), r); err != nil {
			logrus.WithError(err).Error("ledger: Skipped an invalid claim record.")
		}
	}
	p.caughtUp, p.readFailed = p.caughtUp || atEnd, false
	p.notify()
}

func (p *Partition) notify() {
	close(p.changed)
	p.changed = make(chan struct{})
}

func (p *Partition) markReadFailed() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.caughtUp, p.readFailed = false, true
	p.notify()
}
