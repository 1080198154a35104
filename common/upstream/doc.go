// Package upstream defines the protocol that entry hosts speak to model engines and to each other:
// a JSON request is answered by JSON frames, one per line, each with the request ID and its
// position in the response.
package upstream
