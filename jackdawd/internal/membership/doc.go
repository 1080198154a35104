// Package membership holds a host's current view of the configuration and the upstreams.
//
// One control goroutine applies what arrives from the store or another host, from responses of
// upstreams (failures, restarts, announcements that they leave) and from other hosts' failure
// scores. It decides which configuration is in force and which upstreams may get new work, and
// publishes immutable snapshots. The relay reads these for each request; the fleet package sends
// the changes on to the hosts that follow this one.
//
// An instance (traffic.UpstreamInstance) is one run of an upstream's process; what was observed of
// one instance says nothing of the next. An upstream that leaves drains: it finishes its requests
// and gets no new ones. A host follows another one when it gets configuration and upstreams from it
// and not from the store.
package membership
