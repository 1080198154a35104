// Package quarantine decides which requests are no longer sent to upstreams because upstreams crash
// while they run them.
//
// It guards against one caller that sends the same request repeatedly, to any host. Each upstream
// that starts to run it crashes and so cuts off all its other requests. Each copy looks new and
// each host sees few of the crashes. Only the sum over copies and hosts tells the cause from the
// many requests that were at the same upstreams by chance.
//
// A Registry holds a suspect for each request during which an upstream crashed. Copies of a request
// have the same Fingerprint. A request is quarantined, that is refused without being run, when
// enough upstreams crashed one after the other and none has responded to it since. The relay
// reports crashes and responses, and asks before it sends; the fleet package exchanges Records
// between hosts and stores those of quarantined requests. Records merge in any order and any number
// of times.
package quarantine
