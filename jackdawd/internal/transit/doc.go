// Package transit connects this host to upstreams, through another host of the fleet where it cannot
// reach them itself, and does the same for other hosts. Only bytes pass through the other host: the
// host that has the request decides on it and counts it.
package transit
