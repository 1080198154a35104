// Package intake is the callers' interface: it authenticates a request, turns
// it into an item of work and writes the answer or a typed refusal.
package intake
