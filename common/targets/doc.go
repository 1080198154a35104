// Package targets holds what operators state: classes of work with a target
// each, the workspaces that may use them, and the models and services served.
package targets
