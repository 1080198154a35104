// Package trace puts together from the logs of hosts what became of one request.
package trace
