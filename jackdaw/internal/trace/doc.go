// Package trace reconstructs the timeline of one request from the logs of several hosts: the lines
// on the request itself, and the log lines on the state that the hosts based their decisions on.
// The command trace-request calls it.
package trace
