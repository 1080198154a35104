// Package intake is the HTTP interface for callers. It authenticates a request, checks that its
// workspace may use its class, limits its size and the number of requests in progress, turns it
// into a work item and writes the response or a typed refusal. Requests of non-idempotent classes
// run through the ledger. Package node registers its handlers.
package intake
