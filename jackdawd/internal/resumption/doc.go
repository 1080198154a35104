// Package resumption decides at which software version a stream may be resumed. Upstreams of several
// versions may serve one pool, and what two versions write does not fit together. A Table holds which
// software began which stream, a History which software the upstreams of each pool have had. Package
// fleet keeps copies of the records at other hosts, package relay places by what is found.
package resumption
