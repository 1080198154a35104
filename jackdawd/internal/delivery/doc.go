// Package delivery brings one answer from an upstream or another entry host to
// a sink: whole, in order, of the right request, resumed where the connection broke.
package delivery
