// Package cmd is the command line of the daemon. It parses flags, reads the settings, sets up logs,
// traces and memory limits, and runs an entry host until it is told to stop: run starts a host from a
// settings file, run-platform one on the users' platform. The command package calls Main.
package cmd
