package targets

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"fmt"
	"time"
)

// An Urgency is the priority level of a class.
type Urgency string

// The urgencies, most urgent first.
const (
	Urgent Urgency = "urgent"
	Normal Urgency = "normal"
	Batch  Urgency = "batch"
)

// Rank returns 0 for the most urgent level and higher numbers for less urgent ones.
func (u Urgency) Rank() int {
	switch u {
	case Urgent:
		return 0
	case Batch:
		return 2
	default:
		return 1
	}
}

// A ModelKind tells model engines from plain services.
type ModelKind string

// The kinds of models.
const (
	Engine  ModelKind = "engine"
	Service ModelKind = "service"
)

// A Duration is a time.Duration that is encoded in JSON as text, such as "720ms".
type Duration time.Duration

// MarshalText encodes the duration as text, such as "720ms".
func (d Duration) MarshalText() ([]byte, error) {
	return []byte(time.Duration(d).String()), nil
}

// UnmarshalText decodes text such as "720ms".
func (d *Duration) UnmarshalText(text []byte) error {
	parsed, err := time.ParseDuration(string(text))
	if err != nil {
		return fmt.Errorf("read duration: %w", err)
	}
	*d = Duration(parsed)
	return nil
}

// A Class is a class of requests with its latency target and priority.
type Class struct {
	// FirstTokenWithin is the latency target for the first token.
	FirstTokenWithin Duration `json:"first-token-within"`
	// Share is the fraction of an engine's capacity guaranteed to the class while classes compete.
	Share   float64 `json:"share"`
	Urgency Urgency `json:"urgency"`
	// Idempotent requests may be executed more than once; the others need an idempotency key.
	Idempotent bool `json:"idempotent"`
	// Worth is accepted and validated, but entry hosts do not use it.
	Worth float64 `json:"worth,omitempty"`
}

// A Workspace is a customer: the hash of its bearer token and the classes that it may use.
type Workspace struct {
	TokenSHA256 string   `json:"token-sha256"`
	Classes     []string `json:"classes"`
}

// AllowsClass reports whether the workspace may use a class.
func (w Workspace) AllowsClass(class string) bool {
	for _, allowed := range w.Classes {
		if allowed == class {
			return true
		}
	}
	return false
}

// Authenticates reports whether token is the workspace's bearer token.
func (w Workspace) Authenticates(token string) bool {
	return subtle.ConstantTimeCompare([]byte(HashToken(token)), []byte(w.TokenSHA256)) == 1
}

// HashToken returns the SHA-256 hash of a bearer token in hexadecimal, as the configuration stores
// it.
func HashToken(token string) string {
	sum := sha256.Sum256([]byte(token))
	return hex.EncodeToString(sum[:])
}

// A Model is a model or plain service that callers may request by name.
type Model struct {
	Kind ModelKind `json:"kind"`
	// LoadMultiple is the maximum load of an engine as a multiple of the pool's mean load (the
	// factor of consistent hashing with bounded loads); 0 means DefaultLoadMultiple.
	LoadMultiple float64 `json:"load-multiple,omitempty"`
}

// DefaultLoadMultiple is the load multiple of models that set none.
const DefaultLoadMultiple = 1.25

// EffectiveLoadMultiple returns the model's load multiple, or the default if it sets none.
func (m Model) EffectiveLoadMultiple() float64 {
	if m.LoadMultiple == 0 {
		return DefaultLoadMultiple
	}
	return m.LoadMultiple
}

// A Document is the whole configuration at one revision.
type Document struct {
	Classes    map[string]Class     `json:"classes"`
	Workspaces map[string]Workspace `json:"workspaces"`
	Models     map[string]Model     `json:"models"`
}
