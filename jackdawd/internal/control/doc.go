// Package control maintains a host's routing state. One goroutine applies the
// configuration stream, the host list and the results of the host's own calls, and
// publishes each change as an immutable routing.View, which node hands to the request
// path. The package also decides which hosts and upstreams to avoid, from the results
// of calls; membership uses that detector as well.
package control
