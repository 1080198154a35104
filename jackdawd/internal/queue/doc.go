// Package queue holds requests before one upstream until it has room, in an
// order derived from the classes' targets.
//
// A Line is the order and the counting, without a clock of its own; a Queue lets
// goroutines wait in one. A Limit says how much the upstream is given at once, and
// Lengths how long its answers will be.
package queue
