// Package routing decides which upstream a request goes to, and which entry host is the
// owner of an upstream: the one that counts its load. Both use rendezvous hashing, and
// the choice of the upstream is bounded by load.
//
// A View is an immutable snapshot, made by package control from the configuration and
// the host list; the same list gives the same first choice and owner on every host. The
// balancer holds the state that changes between views: the loads that this host counts,
// the rows with loads that other owners sent, and the upstreams that chats were moved
// to. Package dispatch calls it for each request, and node exchanges its rows.
package routing
