// Package placement decides which upstream a request goes to. It is designed for a load in which a
// few prompts are very frequent, while engines come and go.
//
// Requests that share a prompt go to the engine where it is cached, by rendezvous hashing, unless
// that engine's load is well above the mean of its pool. Other requests go to one of the least
// loaded upstreams. Decisions use this host's own requests, the loads that upstreams report in
// responses, and a plan that the region's first host computes from the requests in progress at all
// hosts. The relay calls [Choose] for each attempt, and package fleet distributes plans through a
// [Balancer].
package placement
