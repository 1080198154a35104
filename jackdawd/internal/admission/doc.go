// Package admission decides whether a request can still begin in time.
//
// It protects upstreams in an overload. An engine's own queue accepts all requests and orders them
// by urgency, so the least urgent wait until their callers give up: no one is refused, and those
// that are answered are answered late. This package estimates the delay at each upstream from the
// queue that the upstream reports, how long requests occupy a slot, and which of this host's
// requests wait there. The relay asks it before each attempt, and refuses at once a request that
// would begin too late.
package admission
