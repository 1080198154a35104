package engine

import (
	"encoding/json"
	"io"
	"net/http"
	"sync"

	"jackdawhinge/common/upstream"
)

// A Service is a plain service that keeps a register of the entries posted to it.
type Service struct {
	name    string
	mu      sync.Mutex
	entries []string
}

// NewService returns a service with an empty register.
func NewService(name string) *Service {
	return &Service{name: name}
}

// Entries returns how many entries the service has executed.
func (s *Service) Entries() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.entries)
}

// Handler returns the service's HTTP interface.
func (s *Service) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc(upstream.ServicePath, func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		s.mu.Lock()
		s.entries = append(s.entries, string(body))
		n := len(s.entries)
		s.mu.Unlock()
		w.Header().Set("Content-Type", "application/json")
		// A caller that has gone away needs no answer.
		_ = json.NewEncoder(w).Encode(map[string]any{"entry": n, "service": s.name, "request-id": r.Header.Get(upstream.RequestIDHeader)})
	})
	return mux
}
