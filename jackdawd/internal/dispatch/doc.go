// Package dispatch takes an item of work from the entry host that its caller
// reached to the owner of an upstream, and from there to the upstream.
package dispatch
