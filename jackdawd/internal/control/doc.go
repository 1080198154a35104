// Package control keeps what a host knows: one goroutine takes in the
// configuration stream, the host list and the host's own evidence, and hands
// immutable views to traffic.
package control
