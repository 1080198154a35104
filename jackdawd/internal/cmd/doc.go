// Package cmd is the command line of the daemon.
package cmd
