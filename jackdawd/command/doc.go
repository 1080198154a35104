// Package command is the entry point of the program, for its main function and
// for scenarios that run it.
package command
