// Package publish puts an operator's change into the configuration stream and
// finds out what became of it.
package publish
