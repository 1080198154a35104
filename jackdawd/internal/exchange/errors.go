package exchange

import (
	"errors"
	"fmt"
	"io"
	"syscall"
)

// ErrTooManyConnections means that the limit of connections to the upstream is reached; nothing was
// sent.
var ErrTooManyConnections = errors.New("too many connections to the upstream")

// ErrReadTimeout means that the upstream sent nothing within the read timeout.
var ErrReadTimeout = errors.New("upstream sent no data within the read timeout")

// ErrHeaderTooLarge means that the upstream sent more before the end of the response's header than any response needs.
var ErrHeaderTooLarge = errors.New("upstream sent too much before the end of the header")

// A NotSentError means that nothing of the request has left this host.
type NotSentError struct {
	Cause error
}

// Error returns the cause.
func (e *NotSentError) Error() string { return fmt.Sprintf("request not sent: %v", e.Cause) }

// Unwrap returns the cause.
func (e *NotSentError) Unwrap() error { return e.Cause }

// An InterruptedError means that the exchange failed after something was sent: the upstream may have
// executed the request.
type InterruptedError struct {
	Cause error
}

// Error returns the cause.
func (e *InterruptedError) Error() string { return fmt.Sprintf("answer broke off: %v", e.Cause) }

// Unwrap returns the cause.
func (e *InterruptedError) Unwrap() error { return e.Cause }

// ClosedByPeer reports whether an error means that the upstream closed the connection, as it does
// when its process ends. It is false for a timeout and for a response to another request.
func ClosedByPeer(err error) bool {
	for _, closed := range []error{io.EOF, io.ErrUnexpectedEOF, io.ErrClosedPipe, syscall.ECONNRESET, syscall.EPIPE} {
		if errors.Is(err, closed) {
			return true
		}
	}
	return false
}

// A MismatchError means that the response belongs to another request.
type MismatchError struct {
	Want, Got string
}

// Error returns the identifiers of both requests.
func (e *MismatchError) Error() string {
	return fmt.Sprintf("answer to request %q where one to %q was due", e.Got, e.Want)
}
