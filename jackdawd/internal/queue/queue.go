package queue

import (
	"context"
	"sync"
	"time"
)

// A Queue is a line that goroutines wait in.
type Queue struct {
	mu   sync.Mutex
	line *Line
}

// New returns an empty queue before the upstream that the counter counts.
func New(limit *Limit, counter Counter) *Queue {
	return &Queue{line: NewLine(limit, counter, func(w *Waiter) { close(w.ready) })}
}

// Acquire waits for room for the ticket and returns a function that gives the
// room back; an error means that the request has not been passed on.
func (q *Queue) Acquire(ctx context.Context, t Ticket) (release func(), err error) {
	w, err := q.enter(t)
	if err != nil {
		return nil, err
	}
	late := time.NewTimer(time.Until(t.BeginBy))
	defer late.Stop()
	select {
	case <-w.ready:
		return func() { q.release(t) }, nil
	case <-late.C:
		err = ErrTooLate
	case <-ctx.Done():
		err = ctx.Err()
	}
	if !q.leave(w) {
		// It was passed on at the same moment; give the room back.
		q.release(t)
	}
	return nil, err
}

// Waiting returns how many requests wait and their tokens.
func (q *Queue) Waiting() (requests int, tokens int64) {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.line.Waiting()
}

// Wake passes on what has come to fit, after the mean load or the limit has changed.
func (q *Queue) Wake() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.line.PassOn()
}

func (q *Queue) enter(t Ticket) (*Waiter, error) {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.line.Enter(time.Now(), t)
}

func (q *Queue) leave(w *Waiter) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.line.Leave(w)
}

func (q *Queue) release(t Ticket) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.line.Release(time.Now(), t)
}
