package targets

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"fmt"
	"time"
)

// An Urgency orders classes of work relative to each other.
type Urgency string

// The urgencies, most urgent first.
const (
	Urgent Urgency = "urgent"
	Normal Urgency = "normal"
	Batch  Urgency = "batch"
)

// Rank returns 0 for the most urgent class of work and more for less urgent ones.
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

// A Kind tells model engines from plain services.
type Kind string

// The kinds of upstream.
const (
	Engine  Kind = "engine"
	Service Kind = "service"
)

// A Duration is a time.Duration written in JSON as text, such as "720ms".
type Duration time.Duration

// MarshalText returns the duration as text.
func (d Duration) MarshalText() ([]byte, error) {
	return []byte(time.Duration(d).String()), nil
}

// UnmarshalText reads a duration such as "720ms".
func (d *Duration) UnmarshalText(text []byte) error {
	v, err := time.ParseDuration(string(text))
	if err != nil {
		return fmt.Errorf("read duration: %w", err)
	}
	*d = Duration(v)
	return nil
}

// A Class is a class of work and its target.
type Class struct {
	FirstTokenWithin Duration `json:"first-token-within"`
	Share            float64  `json:"share"`
	Urgency          Urgency  `json:"urgency"`
	Idempotent       bool     `json:"idempotent"`
	Worth            float64  `json:"worth,omitempty"`
}

// A Workspace is a customer: its token's hash and the classes it may use.
type Workspace struct {
	TokenSHA256 string   `json:"token-sha256"`
	Classes     []string `json:"classes"`
}

// Allows reports whether the workspace may use a class.
func (w Workspace) Allows(class string) bool {
	for _, c := range w.Classes {
		if c == class {
			return true
		}
	}
	return false
}

// Authenticates reports whether token is the workspace's bearer token.
func (w Workspace) Authenticates(token string) bool {
	return subtle.ConstantTimeCompare([]byte(HashToken(token)), []byte(w.TokenSHA256)) == 1
}

// HashToken returns the form in which a workspace's bearer token stands in the configuration.
func HashToken(token string) string {
	sum := sha256.Sum256([]byte(token))
	return hex.EncodeToString(sum[:])
}

// A Model is a model or service that callers may name.
type Model struct {
	Kind Kind `json:"kind"`
	// LoadMultiple is the most that an engine may carry, as a multiple of the mean load; 0 means DefaultLoadMultiple.
	LoadMultiple float64 `json:"load-multiple,omitempty"`
}

// DefaultLoadMultiple is the load multiple of a model that states none.
const DefaultLoadMultiple = 1.25

// Multiple returns the model's load multiple.
func (m Model) Multiple() float64 {
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
