package queue

import (
	"context"
	"sync"
	"time"
)

// A Queue lets goroutines wait for admission to one upstream.
type Queue struct {
	mu        sync.Mutex
	scheduler *Scheduler
}

// New returns an empty queue for the counter's upstream.
func New(limit *Limit, counter LoadCounter) *Queue {
	return &Queue{scheduler: NewScheduler(limit, counter, func(w *Waiter) { close(w.ready) })}
}

// Acquire waits for room for the ticket and returns a function that frees it. On an
// error, ErrTooLate, ErrFull, a *LateError or the context's, the request was not admitted.
func (q *Queue) Acquire(ctx context.Context, t Ticket) (release func(), err error) {
	w, err := q.enqueue(t)
	if err != nil {
		return nil, err
	}
	deadline := time.NewTimer(time.Until(t.BeginDeadline))
	defer deadline.Stop()
	select {
	case <-w.ready:
		return func() { q.release(t) }, nil
	case <-deadline.C:
		err = ErrTooLate
	case <-ctx.Done():
		err = ctx.Err()
	}
	if !q.remove(w) {
		// It was admitted at the same moment; free the room.
		q.release(t)
	}
	return nil, err
}

// Waiting returns the number of waiting requests and their tokens.
func (q *Queue) Waiting() (requests int, tokens int64) {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.scheduler.Waiting()
}

// Wake admits requests that fit after a change of the mean load or the limit.
func (q *Queue) Wake() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.scheduler.AdmitReady()
}

func (q *Queue) enqueue(t Ticket) (*Waiter, error) {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.scheduler.Enqueue(time.Now(), t)
}

func (q *Queue) remove(w *Waiter) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.scheduler.Remove(w)
}

func (q *Queue) release(t Ticket) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.scheduler.Release(time.Now(), t)
}
