// Package cmd is the command line of the soak.
package cmd
