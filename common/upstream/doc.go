// Package upstream is the protocol spoken to model engines and between entry
// hosts: a request in JSON, answered by frames in JSON, one a line, each of
// which names the request and its position in the answer.
package upstream
