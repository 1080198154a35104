// Package ledger ensures that a request of a non-idempotent class is executed at
// most once. Claims and outcomes are records in partitioned streams of the
// platform's log. A claim is granted only if every earlier claim of its key that
// counts has been voided, and a granted claim is never taken over by another host.
// Package intake executes such requests with an Executor; package node serves
// claims of other hosts. The protocol is specified and checked in spec/claim.pml.
package ledger
