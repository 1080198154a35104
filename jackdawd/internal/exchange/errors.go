package exchange

import (
	"errors"
	"fmt"
	"io"
	"syscall"
)

// ErrBusy says that as many connections to the upstream are open as are allowed; nothing was sent.
var ErrBusy = errors.New("too many connections to the upstream")

// ErrStalled says that the upstream was silent for too long.
var ErrStalled = errors.New("upstream is silent")

// A NotSentError says that nothing of the request has left this host.
type NotSentError struct {
	Cause error
}

// Error returns the cause.
func (e *NotSentError) Error() string { return fmt.Sprintf("request not sent: %v", e.Cause) }

// Unwrap returns the cause.
func (e *NotSentError) Unwrap() error { return e.Cause }

// A BrokenError says that the connection failed after something was sent: the
// upstream may have executed the request.
type BrokenError struct {
	Cause error
}

// Error returns the cause.
func (e *BrokenError) Error() string { return fmt.Sprintf("answer broke off: %v", e.Cause) }

// Unwrap returns the cause.
func (e *BrokenError) Unwrap() error { return e.Cause }

// Ended reports whether an error says that the upstream ended the connection, as it does when its
// process is gone; it did not just fall silent or answer something else.
func Ended(err error) bool {
	for _, end := range []error{io.EOF, io.ErrUnexpectedEOF, io.ErrClosedPipe, syscall.ECONNRESET, syscall.EPIPE} {
		if errors.Is(err, end) {
			return true
		}
	}
	return false
}

// A CrossedError says that the answer belongs to another request.
type CrossedError struct {
	Want, Got string
}

// Error returns both requests.
func (e *CrossedError) Error() string {
	return fmt.Sprintf("answer to request %q where one to %q was due", e.Got, e.Want)
}
