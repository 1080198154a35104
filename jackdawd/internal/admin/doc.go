// Package admin is the HTTP interface of one entry host for operators and for the platform's checks. It
// reports liveness, readiness, metrics, the host's status, how a chat would be placed, and the claims
// of an idempotency key. All of it is read-only. The node package mounts its handler.
package admin
