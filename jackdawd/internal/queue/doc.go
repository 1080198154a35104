// Package queue holds requests before one upstream until it has room, in an
// order derived from the classes' targets.
package queue
