// Package membership holds what a host believes of the configuration and the
// upstreams: one goroutine takes in what the platform and traffic tell, and hands
// immutable snapshots to traffic.
package membership
