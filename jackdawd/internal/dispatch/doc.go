// Package dispatch forwards a request from the entry host that accepted it to the
// entry host that owns the chosen upstream, and from there to the upstream.
//
// The accepting host's Router drives a request for its caller: it picks an upstream,
// follows moves, and is the only place that retries. The Owner of the upstream
// places the request by load, queues it and streams the response, or answers with a
// Move to another upstream. A Peer carries requests between the two hosts. The
// intake handler calls Router.Route; node serves PeerHandler to other entry hosts.
package dispatch
