// Package transit connects this host to upstreams and records which of them it reaches.
package transit
