// Package measure compares routing policies in a simulation: fake engines and callers on a
// simulated clock, with the real balancers, queues and views of packages routing and queue in between.
// It holds only benchmarks and a test of the quality of routing.
package measure
