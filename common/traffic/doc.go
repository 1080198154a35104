// Package traffic defines the protocol-independent types for requests, responses, routes, upstreams
// and the configuration. Protocol adapters decode their messages into these types; membership,
// placement, admission and the relay make their decisions on them. It also matches requests to
// routes, picks a route's pool by weight and hashes upstream identifiers.
package traffic
