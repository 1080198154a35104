// Package targets defines and validates the configuration that operators publish: request classes
// with their latency targets, the workspaces that may use them, and the models and services served.
// The command line and package register validate changes with it; entry hosts route, admit and
// queue requests by the document in force.
package targets
