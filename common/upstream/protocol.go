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

// A Request is one generation asked of an engine; Priority is lower for more urgent work.
type Request struct {
	ID        string    `json:"request-id"`
	Model     string    `json:"model"`
	Messages  []Message `json:"messages"`
	MaxTokens int       `json:"max-tokens"`
	Priority  int       `json:"priority"`
	// Options are the caller's fields that only the engine understands.
	Options map[string]json.RawMessage `json:"options,omitempty"`
}

// A FinishReason says why an answer ended.
type FinishReason string

// The finish reasons.
const (
	FinishStop   FinishReason = "stop"
	FinishLength FinishReason = "length"
)

// A Frame is one piece of an answer; positions count from 0 and the last frame has a finish reason.
type Frame struct {
	RequestID    string       `json:"request-id"`
	Position     int          `json:"position"`
	Text         string       `json:"text,omitempty"`
	Finish       FinishReason `json:"finish,omitempty"`
	PromptTokens int          `json:"prompt-tokens,omitempty"`
	CachedTokens int          `json:"cached-tokens,omitempty"`
	Answer       *Answer      `json:"answer,omitempty"`
}

// A Load is what an engine says of itself, with a lag.
type Load struct {
	Running        int   `json:"running"`
	Waiting        int   `json:"waiting"`
	ResidentTokens int64 `json:"resident-tokens"`
	CapacityTokens int64 `json:"capacity-tokens"`
}

// A CacheEvent says that an engine stored or evicted a chat's prefix; a hole in the numbers is a gap.
type CacheEvent struct {
	Number  int64  `json:"number"`
	Chat    string `json:"chat"`
	Tokens  int    `json:"tokens"`
	Evicted bool   `json:"evicted,omitempty"`
}

// An Answer is the whole answer of a plain service, passed between entry hosts in one frame.
type Answer struct {
	Status      int    `json:"status"`
	ContentType string `json:"content-type"`
	Body        []byte `json:"body"`
}
