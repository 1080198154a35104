// Package traffic holds what the product knows of requests, routes and
// upstreams, whatever protocol they come by. A protocol's adapter decodes its
// messages into these types; every decision is made on them.
package traffic
