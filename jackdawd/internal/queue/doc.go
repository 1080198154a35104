// Package queue holds requests for one upstream until it has room. It decides which
// waiting request is admitted next, from the classes' shares, urgencies and deadlines,
// and which are refused because they would start too late.
//
// A Line is the scheduler, which takes the time as an argument; a Queue lets
// goroutines wait in one. A Limit is the adaptive limit of tokens in progress, and
// Lengths estimates output lengths. The owner of an upstream, in package dispatch,
// keeps one Queue and one Limit for each.
package queue
