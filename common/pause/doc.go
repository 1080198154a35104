// Package pause provides a sleep that a context can interrupt, for retry and polling loops.
package pause
