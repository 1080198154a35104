// Package journal is the HTTP client of the platform's append-only log service. It appends records
// to named streams and reads them by offset with long polling. The configuration (package register)
// and the claims on idempotency keys (the daemon's ledger) are stored in such streams.
package journal
