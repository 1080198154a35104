// Package register derives the configuration in force from the configuration stream of the
// platform's log. It defines the stream's records and decides deterministically which changes are
// accepted: every reader that applies the same records, or starts from a checkpoint of them, gets
// the same state, even if it missed records, read some twice or read them late. The control package
// of the daemon applies the stream on each host; the command line publishes and shows changes with
// it.
package register
