// Package report defines the JSON messages of an entry host's admin interface: its status, the
// explanation of a placement, and the claims on an idempotency key. The daemon's admin and entry
// packages serve them and the command line prints them.
package report
