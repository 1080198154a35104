package wire

import (
	"errors"
	"fmt"
	"io"
)

// MaxHeaderBytes bounds the header of a response to a call of the platform or between processes, in bytes. The library's
// own bound is 10 MB, more than a small host can hold for many calls.
const MaxHeaderBytes = 64 << 10

// ErrBodyTooLarge means that a body has more bytes than its reader accepts.
var ErrBodyTooLarge = errors.New("body is too large")

// ReadBody reads a body of at most limit bytes. A longer one is an error, so that no part of it is taken for the whole.
func ReadBody(body io.Reader, limit int64) ([]byte, error) {
	data, err := io.ReadAll(io.LimitReader(body, limit+1))
	if err != nil {
		return nil, err
	}
	if int64(len(data)) > limit {
		return nil, fmt.Errorf("%w: over %d bytes", ErrBodyTooLarge, limit)
	}
	return data, nil
}
