// Package days renders the tables of measured days as Markdown from the entries of a journal, one
// JSON file each. The capacity command calls it.
package days
