// Package requestlog logs each finished request with its placement, its attempts and its outcome,
// and counts it in the metrics, so that operators can trace a failure by the request ID. It decides
// which requests are logged: above a rate per second it logs only a sample. The relay calls it once
// for each request.
package requestlog
