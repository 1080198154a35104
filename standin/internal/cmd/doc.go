// Package cmd is the command line of the stand-ins' program.
package cmd
