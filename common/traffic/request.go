package traffic

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// maxSharedParts bounds the parts of a prompt that are told apart, as a caller may list thousands.
const maxSharedParts = 32

// A PromptPart is one segment of a prompt, the unit in which engines cache prompts.
type PromptPart struct {
	ID     string
	Tokens int
}

// A Request is what a protocol adapter decodes from the head of a caller's request.
type Request struct {
	// ID identifies this attempt of the caller; a retry by the caller has another ID.
	ID string
	// Key is the caller's API key; empty if there is none.
	Key string
	// TimeLeft is the caller's timeout; 0 if the request states none.
	TimeLeft time.Duration
	// ResumeAfter is the ID of the last event that the caller has of an earlier response; empty for
	// none.
	ResumeAfter string
	// ResumedID is the ID of the caller's attempt that brought the first event of the response that the
	// caller resumes; empty for none.
	ResumedID    string
	Model        string
	PromptTokens int
	OutputTokens int
	// Prompt lists the prompt's parts in order; only this request or its chat has the last part.
	Prompt []PromptPart
}

// CacheKey returns the hash of the longest prompt prefix that other requests may share, which
// routes requests with the same prefix to the engine that has it cached, and false if there is no
// prompt.
func (r *Request) CacheKey() (uint64, bool) {
	switch n := len(r.Prompt); n {
	case 0:
		return 0, false
	case 1:
		return xxhash.Sum64String(r.Prompt[0].ID), true
	default:
		return xxhash.Sum64String(r.Prompt[n-2].ID), true
	}
}

// SharedPartIDs returns the IDs of the parts of the prompt that other requests may share, each once and
// in order. The last part belongs to this request or its chat alone.
func (r *Request) SharedPartIDs() []string {
	var ids []string
	for _, part := range r.Prompt[:max(len(r.Prompt)-1, 0)] {
		if !slices.Contains(ids, part.ID) {
			ids = append(ids, part.ID)
		}
		if len(ids) == maxSharedParts {
			break
		}
	}
	return ids
}

// SharedTokens returns the length of the prompt prefix that other requests may share, in tokens.
func (r *Request) SharedTokens() int {
	tokens := 0
	for _, part := range r.Prompt[:max(len(r.Prompt)-1, min(len(r.Prompt), 1))] {
		tokens += part.Tokens
	}
	return tokens
}

// ForwardMetadata is the metadata that a host adds to a request that it forwards to an upstream.
type ForwardMetadata struct {
	// Upstream identifies the only incarnation that may execute the request.
	Upstream string
	// Workspace is the name of the workspace of the caller's key; empty if there was no key.
	Workspace string
	// TimeLeft is the remaining time until the caller gives up.
	TimeLeft time.Duration
	// Urgency ranges from 0, the most urgent, to 9.
	Urgency int
	// ResumeAfter is the ID of the last event delivered to the caller; empty for none.
	ResumeAfter string
	// FetchFrom is the address of another engine that may have a longer prefix of the prompt
	// cached, to copy it from; empty for none.
	FetchFrom string
}

// A Load is the load that an upstream reports, in requests.
type Load struct {
	Running int
	Waiting int
	Slots   int
	// Pace is how long work takes on its machine at this moment, as a multiple of the usual; 0 if it does not say.
	Pace float64
}

// A Response is what a protocol adapter decodes from the head of an upstream's response.
type Response struct {
	// ID is the ID of the request that the response is for; empty if the response states none.
	ID string
	// NotExecuted reports that the upstream did not execute the request and never will, so that it
	// may be retried.
	NotExecuted bool
	// Upstream identifies the responding incarnation; empty if the response states none.
	Upstream string
	// Signed reports that the response has the upstream's signature; a success without one does not
	// count.
	Signed bool
	// EventStream reports whether the body is an event stream.
	EventStream bool
	// Load is nil if the upstream does not report its load.
	Load *Load
	// Leaving reports that the upstream drains, which its entry in the platform's list may not say
	// yet.
	Leaving bool
	// Backoff is how long this host should send no further requests to the upstream, which rejected
	// this one; 0 if the response states none.
	Backoff time.Duration
	// MaxRejections is how many requests a brittle upstream may reject within a second without
	// failing; 0 if it does not say that it is brittle.
	MaxRejections int
	// IdleTimeout is how long the upstream keeps an idle connection open; 0 if the response states
	// none.
	IdleTimeout time.Duration
}
