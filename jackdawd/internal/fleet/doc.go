// Package fleet distributes configuration, upstream lists and load information between the hosts of
// a region, so that only few of them call the platform's store. Two hosts per region, the readers,
// read the store; the others follow them in a tree whose branches are the failure domains. Package
// entry creates the Source, and the host's membership tracker reads configuration and upstreams
// from it.
//
// There is no consensus. Each host picks its parent from its own host list; if lists differ, a few
// more hosts read the store. A follower's data is as old as its parent's plus the duration of the
// call. Both are counted, so that the follower's age bounds hold whatever the parent does. A host
// whose parent does not answer follows another one, and reads the store if several do not answer or
// too little time is left. If the parent answers but has lost the store, hosts of a larger fleet
// wait for it, unless the head of another failure domain still has the store: only the heads retry
// the store, so that not all hosts do at once.
//
// Along the same tree hosts exchange the load of upstreams, failure scores of upstreams, and the
// placement plans that the root of the region computes. Requests that crash upstreams are reported
// in separate calls without delay and are kept in the store. Which software version began a stream is
// recorded at other hosts, found by rendezvous hashing, for callers that resume it elsewhere.
package fleet
