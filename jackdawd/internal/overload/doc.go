// Package overload decides for a whole region which requests of a full pool are admitted.
//
// A host of a large fleet sees one request in a hundred, and an engine a request of it every few
// seconds. What it sees alone tells neither whether the pool is full nor which workspace fills it. So
// every host reports what it was asked for (Recorder, Demand), the root of the region computes from the
// sum how much of it fits (Allocator, Levels), and all hosts draw each request against the same levels
// (Gate). The package has no network and no clock; messages carry counts of the last Window and ages.
package overload
