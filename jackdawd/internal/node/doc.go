// Package node assembles the entry host that the run command starts. It connects the control data,
// the load balancing, the claims ledger and the HTTP servers, starts them and stops them in order. It
// decides which other host to exchange loads with, which upstreams to poll, and which host handles a
// claim, from the view of configuration and hosts that control provides.
package node
