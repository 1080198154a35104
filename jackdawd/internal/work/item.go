package work

import (
	"encoding/json"
	"time"

	"jackdawhinge/common/peers"
	"jackdawhinge/common/targets"
	"jackdawhinge/common/upstream"
)

// bytesPerToken is how many bytes of text are counted as one token.
const bytesPerToken = 4

// A ServiceCall is a call of a plain service.
type ServiceCall struct {
	Method      string `json:"method"`
	Path        string `json:"path"`
	ContentType string `json:"content-type,omitempty"`
	Body        []byte `json:"body,omitempty"`
}

// An Item is one request of a caller, as entry hosts pass it on.
type Item struct {
	ID        string             `json:"id"`
	Workspace string             `json:"workspace"`
	Class     string             `json:"class"`
	Chat      uint64             `json:"chat"`
	Model     string             `json:"model"`
	Messages  []upstream.Message `json:"messages,omitempty"`
	MaxTokens int                `json:"max-tokens,omitempty"`
	// Options are the caller's fields that only the engine understands.
	Options    map[string]json.RawMessage `json:"options,omitempty"`
	Service    *ServiceCall               `json:"service,omitempty"`
	Idempotent bool                       `json:"idempotent"`
	Urgency    targets.Urgency            `json:"urgency"`
	// Target is how soon the class's answers begin.
	Target time.Duration `json:"target"`
	// BeginWithin is what is left of the class's target when the item is passed on.
	BeginWithin time.Duration `json:"begin-within"`
	// Seen holds the loads of the upstreams that the item was moved away from.
	Seen []peers.Row `json:"seen,omitempty"`
}

// Returning reports whether the chat has had an answer before.
func (i *Item) Returning() bool {
	return len(i.Messages) > 1
}

// PromptTokens returns an estimate of the prompt's tokens.
func (i *Item) PromptTokens() int64 {
	bytes := 0
	for _, m := range i.Messages {
		bytes += len(m.Content)
	}
	if i.Service != nil {
		bytes += len(i.Service.Body)
	}
	return int64(bytes/bytesPerToken) + 1
}
