// Package measure holds the benchmarks of the routing decision: small fake
// engines on a clock of their own, with the real decision objects between.
package measure
