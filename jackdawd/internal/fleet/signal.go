package fleet

import "sync"

// A signal wakes all who wait for something to happen next.
type signal struct {
	mu   sync.Mutex
	next chan struct{}
}

func newSignal() *signal { return &signal{next: make(chan struct{})} }

// raised is closed when the signal is raised next.
func (s *signal) raised() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.next
}

// raise wakes those who wait.
func (s *signal) raise() {
	s.mu.Lock()
	defer s.mu.Unlock()
	close(s.next)
	s.next = make(chan struct{})
}
