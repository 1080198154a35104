// Package cmd is the command line of standin, which serves the stand-ins for the platform and the
// upstreams over HTTP, so that real entry hosts run against them.
package cmd
