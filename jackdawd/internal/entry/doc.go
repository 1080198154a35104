// Package entry assembles one entry host on the users' platform: it connects the
// configuration and list of upstreams (membership), placement, the relay and the exchange
// with other hosts (fleet), and runs the servers for callers, readiness and admin requests.
// It drains the host on a stop and limits callers' idle connections. The run-platform
// command calls it.
package entry
