// Package stories writes how requests ended to the log and the metrics, so that
// a failure can be explained afterwards from a request's identifier.
package stories
