package platform

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"jackdawhinge/common/journal"
)

// A Log is an append-only log service in memory.
type Log struct {
	mu      sync.Mutex
	streams map[string]*stream
	down    bool
	lose    int
	appends int64
}

type stream struct {
	earliest int64
	records  []journal.Record
	grown    chan struct{}
}

// NewLog returns an empty log.
func NewLog() *Log {
	return &Log{streams: map[string]*stream{}}
}

// SetDown starts or ends an outage.
func (l *Log) SetDown(down bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.down = down
}

// LoseAnswers makes the next n appends take effect without an answer.
func (l *Log) LoseAnswers(n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lose = n
}

// Appends returns how many appends have taken effect.
func (l *Log) Appends() int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.appends
}

// Trim removes the records of a stream below an offset.
func (l *Log) Trim(name string, below int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.stream(name)
	end := s.next()
	for len(s.records) > 0 && s.records[0].Offset < below {
		s.records = s.records[1:]
	}
	s.earliest = max(s.earliest, min(below, end))
}

// Append adds records to a stream and returns the offset of the first.
func (l *Log) Append(_ context.Context, name string, records ...json.RawMessage) (int64, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.down {
		return 0, journal.ErrUnavailable
	}
	s := l.stream(name)
	first := s.next()
	for _, data := range records {
		s.records = append(s.records, journal.Record{Offset: s.next(), Data: data})
	}
	l.appends++
	close(s.grown)
	s.grown = make(chan struct{})
	if l.lose > 0 {
		l.lose--
		return 0, journal.ErrUnavailable
	}
	return first, nil
}

// Read returns the records of a stream from an offset on, waiting up to wait for the first new one.
func (l *Log) Read(ctx context.Context, name string, from int64, wait time.Duration) (journal.Batch, error) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		batch, grown, err := l.read(name, from)
		if err != nil || len(batch.Records) > 0 {
			return batch, err
		}
		select {
		case <-grown:
		case <-timer.C:
			return batch, nil
		case <-ctx.Done():
			return batch, ctx.Err()
		}
	}
}

const maxBatch = 1000

func (l *Log) read(name string, from int64) (journal.Batch, <-chan struct{}, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.down {
		return journal.Batch{}, nil, journal.ErrUnavailable
	}
	s := l.stream(name)
	if from < s.earliest {
		return journal.Batch{}, nil, &journal.TrimmedError{Stream: name, From: from, Earliest: s.earliest}
	}
	start := min(from-s.earliest, int64(len(s.records)))
	end := min(start+maxBatch, int64(len(s.records)))
	batch := journal.Batch{Earliest: s.earliest, Next: s.earliest + end}
	batch.Records = append(batch.Records, s.records[start:end]...)
	return batch, s.grown, nil
}

func (l *Log) stream(name string) *stream {
	s, ok := l.streams[name]
	if !ok {
		s = &stream{grown: make(chan struct{})}
		l.streams[name] = s
	}
	return s
}

func (s *stream) next() int64 {
	return s.earliest + int64(len(s.records))
}
