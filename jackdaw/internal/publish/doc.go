// Package publish appends an operator's change to the configuration stream of the platform's log,
// reads the stream to learn whether the change was accepted, and queries entry hosts for the
// revision in force. The commands of package cmd call it.
package publish
