package traffic

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// A Part is one piece of a prompt that an engine may have cached.
type Part struct {
	ID     string
	Tokens int
}

// A Request is what an adapter reads from the head of a caller's request.
type Request struct {
	// ID identifies this try of the caller; a caller that tries again takes another.
	ID string
	// Key is what the caller authenticates with; empty if it shows none.
	Key string
	// TimeLeft is how long the caller will wait; 0 if it does not say.
	TimeLeft time.Duration
	// ResumeAfter is the last event that the caller has of an earlier answer; empty for none.
	ResumeAfter  string
	Model        string
	PromptTokens int
	OutputTokens int
	// Prompt is the prompt's parts in order; the last one belongs to this request or its chat alone.
	Prompt []Part
}

// CacheKey returns the hash of the longest part of the prompt that other requests
// may share, by which requests meet at the engine that has it cached, and false
// if the request has no prompt.
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

// SharedTokens returns how long the part of the prompt is that other requests may share, in tokens.
func (r *Request) SharedTokens() int {
	tokens := 0
	for _, part := range r.Prompt[:max(len(r.Prompt)-1, min(len(r.Prompt), 1))] {
		tokens += part.Tokens
	}
	return tokens
}

// A Hop is what a host adds to a request that it passes on to an upstream.
type Hop struct {
	// Upstream is the incarnation that alone may execute the request.
	Upstream string
	// Workspace is whom the caller's key belongs to; empty if it showed none.
	Workspace string
	// TimeLeft is how long the answer is of use.
	TimeLeft time.Duration
	// Urgency is from 0, the most urgent, to 9.
	Urgency int
	// ResumeAfter is the last event that was delivered; empty for none.
	ResumeAfter string
	// FetchFrom is the address of another engine that may have more of the prompt
	// cached; empty for none.
	FetchFrom string
}

// A Load is what an upstream says of its work.
type Load struct {
	Running int
	Waiting int
	Slots   int
}

// An Answer is what an adapter reads from the head of an upstream's answer.
type Answer struct {
	// ID is the request that the upstream says it answers; empty if it does not say.
	ID string
	// NotRun is the upstream's word that it did not execute the request and never will.
	NotRun bool
	// Upstream is the incarnation that answers, where the answer names it.
	Upstream string
	// Sealed answers carry the upstream's signature; a success without one is none.
	Sealed bool
	// Events reports whether the body is a stream of events.
	Events bool
	// Load is nil if the upstream does not tell its load.
	Load *Load
	// Leaving is the upstream's word that it leaves, which its entry may not say yet.
	Leaving bool
	// WantsNoneFor is for how long the upstream, which turned the request away, wants no others from
	// this host; 0 if it does not say.
	WantsNoneFor time.Duration
	// IdleTimeout is when the upstream closes the connection if nothing is sent on it; 0 if it does not say.
	IdleTimeout time.Duration
}
