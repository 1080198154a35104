// Package events cuts a stream of server-sent events at the ends of events, so
// that a stream that breaks off in the middle of one can go on whole.
package events
