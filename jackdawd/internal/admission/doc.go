// Package admission decides whether a request can still begin in time.
//
// It answers a crowd that asks for more than the upstreams can do. An engine's own queue
// takes whoever comes, by urgency, and what is least urgent waits there until its caller
// gives up: nobody is told, and those who are answered are answered late. Here the delay
// at each upstream is estimated from what it tells of its queue, how long requests keep a
// place, and which of this host's requests wait there; a request that would begin too late
// is refused at once.
package admission
