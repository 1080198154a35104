package platform

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"jackdawhinge/common/journal"
)

// A Log is an in-memory stand-in for the append-only log service.
type Log struct {
	mu            sync.Mutex
	streams       map[string]*stream
	down          bool
	lostResponses int
	appends       int64
}

type stream struct {
	earliestOffset int64
	records        []journal.Record
	appended       chan struct{}
}

// NewLog returns a log without streams.
func NewLog() *Log {
	return &Log{streams: map[string]*stream{}}
}

// SetDown starts or ends an outage.
func (l *Log) SetDown(down bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.down = down
}

// LoseResponses makes the next n appends take effect but return ErrUnavailable, as if the response
// were lost.
func (l *Log) LoseResponses(n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lostResponses = n
}

// Appends returns the number of appends that have taken effect.
func (l *Log) Appends() int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.appends
}

// Trim removes the records of a stream before an offset.
func (l *Log) Trim(name string, before int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.stream(name)
	end := s.nextOffset()
	for len(s.records) > 0 && s.records[0].Offset < before {
		s.records = s.records[1:]
	}
	s.earliestOffset = max(s.earliestOffset, min(before, end))
}

// Append adds records to a stream and returns the offset of the first one. The error is
// ErrUnavailable during an outage.
func (l *Log) Append(_ context.Context, name string, records ...json.RawMessage) (int64, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.down {
		return 0, journal.ErrUnavailable
	}
	s := l.stream(name)
	first := s.nextOffset()
	for _, data := range records {
		s.records = append(s.records, journal.Record{Offset: s.nextOffset(), Data: data})
	}
	l.appends++
	close(s.appended)
	s.appended = make(chan struct{})
	if l.lostResponses > 0 {
		l.lostResponses--
		return 0, journal.ErrUnavailable
	}
	return first, nil
}

// Read returns the records of a stream from an offset on, and waits up to wait if there are none.
// The error is a TrimmedError if the offset is no longer kept, and ErrUnavailable during an outage.
func (l *Log) Read(ctx context.Context, name string, from int64, wait time.Duration) (journal.Batch, error) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		batch, appended, err := l.read(name, from)
		if err != nil || len(batch.Records) > 0 {
			return batch, err
		}
		select {
		case <-appended:
		case <-timer.C:
			return batch, nil
		case <-ctx.Done():
			return batch, ctx.Err()
		}
	}
}

const maxBatchRecords = 1000

func (l *Log) read(name string, from int64) (journal.Batch, <-chan struct{}, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.down {
		return journal.Batch{}, nil, journal.ErrUnavailable
	}
	s := l.stream(name)
	if from < s.earliestOffset {
		return journal.Batch{}, nil, &journal.TrimmedError{Stream: name, From: from, Earliest: s.earliestOffset}
	}
	start := min(from-s.earliestOffset, int64(len(s.records)))
	end := min(start+maxBatchRecords, int64(len(s.records)))
	batch := journal.Batch{Earliest: s.earliestOffset, Next: s.earliestOffset + end}
	batch.Records = append(batch.Records, s.records[start:end]...)
	return batch, s.appended, nil
}

func (l *Log) stream(name string) *stream {
	s, ok := l.streams[name]
	if !ok {
		s = &stream{appended: make(chan struct{})}
		l.streams[name] = s
	}
	return s
}

func (s *stream) nextOffset() int64 {
	return s.earliestOffset + int64(len(s.records))
}
