// Package ledger keeps the promise that a request of a non-idempotent class is
// executed at most once. Claims and outcomes are records in partitioned streams
// of the platform's log; the first claim of a key by offset is the only one that
// may execute, and it is never taken over. The package's names are those of the
// specification in spec/claim.pml.
package ledger
