// Package engine has in-memory stand-ins for upstreams: a model engine with continuous batching, a
// limited cache of prompt prefixes, and streams that can be resumed and cancelled; and a plain
// service. Tests serve them in-process, and the standin command serves them over HTTP.
package engine
