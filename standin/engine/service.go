package engine

import (
	"encoding/json"
	"io"
	"net/http"
	"sync"

	"jackdawhinge/common/upstream"
)

// A Service is a stand-in for a plain service; it stores the bodies of the requests that it
// executes.
type Service struct {
	name    string
	mu      sync.Mutex
	entries []string
}

// NewService returns a service without entries.
func NewService(name string) *Service {
	return &Service{name: name}
}

// Entries returns the number of requests that the service has executed.
func (s *Service) Entries() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.entries)
}

// Handler returns the service's HTTP handler.
func (s *Service) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc(upstream.ServicePath, func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		s.mu.Lock()
		s.entries = append(s.entries, string(body))
		count := len(s.entries)
		s.mu.Unlock()
		w.Header().Set("Content-Type", "application/json")
		// An encoding error means that the client has disconnected.
		_ = json.NewEncoder(w).Encode(map[string]any{"entry": count, "service": s.name, "request-id": r.Header.Get(upstream.RequestIDHeader)})
	})
	return mux
}
