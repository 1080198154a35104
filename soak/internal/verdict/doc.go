// Package verdict checks the service guarantees of a fleet against the record of a run: the
// exchanges of callers, the executions at upstreams, and the times of faults and changes. It does
// not depend on how the record was made; package rig makes one, and the soak command prints the
// violations.
package verdict
