package relay

import (
	"context"
	"errors"
	"os"

	"jackdawhinge/jackdawd/internal/exchange"
)

// An EndCause is why a response is not complete.
type EndCause string

// The causes.
const (
	// CallerClosed: the caller closed its connection, or its side of it, before the request was sent.
	CallerClosed EndCause = "closed-before-sending"
	// ConnectionEnded: the caller closed its connection, or its side of it, or the connection failed.
	ConnectionEnded EndCause = "connection-ended"
	// WriteFailed: a write to the caller failed.
	WriteFailed EndCause = "write-failed"
	// WriteTimedOut: the caller did not read in time.
	WriteTimedOut EndCause = "write-timed-out"
	// MemoryUsedUp: the caller did not read, and the memory for slow callers was used up.
	MemoryUsedUp EndCause = "memory-used-up"
	// DeadlinePassed: the deadline of the request passed.
	DeadlinePassed EndCause = "deadline-passed"
	// HostStopped: the host's grace period ended.
	HostStopped EndCause = "host-stopped"
	// UpstreamEnded: the upstream did not complete its response, and no other one did.
	UpstreamEnded EndCause = "upstream"
)

// endCause returns why the response is not complete after the last attempt.
func (j *job) endCause(ctx context.Context, last result) EndCause {
	var interrupted *exchange.InterruptedError
	// A failed write to the caller also cancels the request's context.
	writeFailed := last.verdict == callerLeft && last.err != nil && !errors.As(last.err, &interrupted) && !errors.Is(last.err, errAborted)
	switch {
	case last.verdict == cutOff:
		return MemoryUsedUp
	case writeFailed && errors.Is(last.err, os.ErrDeadlineExceeded):
		return WriteTimedOut
	case writeFailed:
		return WriteFailed
	case j.r.Context().Err() != nil:
		return ConnectionEnded
	case last.verdict == callerLeft:
		return CallerClosed
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return DeadlinePassed
	case j.aborted.Err() != nil:
		return HostStopped
	}
	return UpstreamEnded
}
