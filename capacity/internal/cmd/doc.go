// Package cmd is the command line of the capacity planner.
package cmd
