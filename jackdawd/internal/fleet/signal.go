package fleet

import "sync"

// A signal wakes all goroutines that wait for the next event.
type signal struct {
	mu   sync.Mutex
	next chan struct{}
}

func newSignal() *signal { return &signal{next: make(chan struct{})} }

// raised returns a channel that is closed when the signal is next raised.
func (s *signal) raised() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.next
}

// raise wakes the waiting goroutines.
func (s *signal) raise() {
	s.mu.Lock()
	defer s.mu.Unlock()
	close(s.next)
	s.next = make(chan struct{})
}
