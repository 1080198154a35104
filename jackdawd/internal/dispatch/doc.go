// Package dispatch takes an item of work from the entry host that its caller
// reached to the owner of an upstream, and from there to the upstream.
//
// A Router follows an item through the fleet on behalf of its caller, and is the
// only one to retry. An Owner decides where the item goes, queues it and delivers
// its answer, or says where it is moved to. Between two hosts stands a Peer.
package dispatch
