// Package clock brings jumps of the time of day about in tests. The fake clock of a synctest bubble can't: its
// times have no monotonic reading.
package clock
