package work

import (
	"encoding/json"
	"time"

	"jackdawhinge/common/peers"
	"jackdawhinge/common/targets"
	"jackdawhinge/common/upstream"
)

// bytesPerToken is the number of bytes of text that are estimated as one token.
const bytesPerToken = 4

// A ServiceCall is the HTTP request to a plain service.
type ServiceCall struct {
	Method      string `json:"method"`
	Path        string `json:"path"`
	ContentType string `json:"content-type,omitempty"`
	Body        []byte `json:"body,omitempty"`
}

// An Item is one request of a caller in the form that entry hosts pass on.
type Item struct {
	ID        string             `json:"id"`
	Workspace string             `json:"workspace"`
	Class     string             `json:"class"`
	Chat      uint64             `json:"chat"`
	Model     string             `json:"model"`
	Messages  []upstream.Message `json:"messages,omitempty"`
	MaxTokens int                `json:"max-tokens,omitempty"`
	// Options holds the fields of the caller's request that only the engine interprets.
	Options    map[string]json.RawMessage `json:"options,omitempty"`
	Service    *ServiceCall               `json:"service,omitempty"`
	Idempotent bool                       `json:"idempotent"`
	Urgency    targets.Urgency            `json:"urgency"`
	// FirstTokenTarget is the class's target for the time to the first token.
	FirstTokenTarget time.Duration `json:"target"`
	// RemainingTarget is the part of the target that remains when the item is passed on.
	RemainingTarget time.Duration `json:"begin-within"`
	// VisitedRows holds the load rows of the upstreams that the item was moved away from.
	VisitedRows []peers.UpstreamLoad `json:"seen,omitempty"`
}

// IsReturningChat reports whether the chat has had a response before: it has several messages then.
func (i *Item) IsReturningChat() bool {
	return len(i.Messages) > 1
}

// PromptTokens estimates the number of tokens of the prompt or the service call's body.
func (i *Item) PromptTokens() int64 {
	size := 0
	for _, m := range i.Messages {
		size += len(m.Content)
	}
	if i.Service != nil {
		size += len(i.Service.Body)
	}
	return int64(size/bytesPerToken) + 1
}
