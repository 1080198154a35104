// Package queue holds requests for one upstream until it has room. It decides which
// waiting request is admitted next, from the classes' shares, urgencies and deadlines,
// and which are refused because they would start too late.
//
// The scheduler takes the time as an argument; a Queue lets goroutines wait in one. A
// Limit is the adaptive limit of tokens in progress, and an estimator predicts output
// lengths. The owner of an upstream, in package dispatch, keeps a Queue and a Limit for it.
package queue
