// Package relay takes a caller's request to an upstream and brings the answer
// back whole, in order and to the caller that it belongs to.
//
// A Handler reads the request and checks it against the configuration. A job is
// one request on its way: it is tried at one upstream after the other as far as
// the route allows, and ends with an upstream's answer or a refusal that says
// truly whether the request may have run.
package relay
