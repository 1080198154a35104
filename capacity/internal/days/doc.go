// Package days writes the page of measured days from the journal's entries.
package days
