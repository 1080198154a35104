// Package delivery reads the response to one request, a sequence of numbered frames, from an
// upstream or another entry host and passes it to a sink.
//
// It checks that each frame belongs to the request and is the next one, so that a response is
// delivered complete, in order and only once, and can be resumed where a connection broke. Package
// dispatch calls it for requests, and package node uses the Client to poll loads.
package delivery
