// Package cmd is the operators' command line: commands, which publish, and
// queries, which only ask.
package cmd
