package upstream

import "encoding/json"

// The paths and headers of the protocol.
const (
	GeneratePath    = "/v1/generate"
	RequestsPath    = "/v1/requests/"
	LoadPath        = "/v1/load"
	CacheEventsPath = "/v1/cache-events"
	ServicePath     = "/v1/services/"
	RequestIDHeader = "X-Request-Id"
)

// A Message is one turn of a chat.
type Message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// A Request is a generation request to an engine. A lower Priority is more urgent.
type Request struct {
	ID        string    `json:"request-id"`
	Model     string    `json:"model"`
	Messages  []Message `json:"messages"`
	MaxTokens int       `json:"max-tokens"`
	Priority  int       `json:"priority"`
	// Options holds fields of the caller's request that are passed to the engine unchanged.
	Options map[string]json.RawMessage `json:"options,omitempty"`
}

// A FinishReason is the reason why a response ended.
type FinishReason string

// The finish reasons.
const (
	FinishStop   FinishReason = "stop"
	FinishLength FinishReason = "length"
)

// A Frame is one part of a response. Positions count from 0; the last frame has a finish reason.
type Frame struct {
	RequestID    string           `json:"request-id"`
	Position     int              `json:"position"`
	Text         string           `json:"text,omitempty"`
	Finish       FinishReason     `json:"finish,omitempty"`
	PromptTokens int              `json:"prompt-tokens,omitempty"`
	CachedTokens int              `json:"cached-tokens,omitempty"`
	Response     *ServiceResponse `json:"answer,omitempty"`
}

// A Load is the load that an engine reports, with a delay.
type Load struct {
	Running        int   `json:"running"`
	Waiting        int   `json:"waiting"`
	ResidentTokens int64 `json:"resident-tokens"`
	CapacityTokens int64 `json:"capacity-tokens"`
}

// A CacheEvent reports that an engine cached or evicted a chat's prefix. Sequence numbers are
// consecutive; a missing one means that an event was lost.
type CacheEvent struct {
	Sequence int64  `json:"number"`
	Chat     string `json:"chat"`
	Tokens   int    `json:"tokens"`
	Evicted  bool   `json:"evicted,omitempty"`
}

// A ServiceResponse is the complete response of a plain service, sent between entry hosts in one
// frame.
type ServiceResponse struct {
	Status      int    `json:"status"`
	ContentType string `json:"content-type"`
	Body        []byte `json:"body"`
}
