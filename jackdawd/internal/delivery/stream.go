package delivery

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"

	"jackdawhinge/common/upstream"
)

// ErrIncomplete is returned if a connection ended before the response was complete.
var ErrIncomplete = errors.New("answer broke off")

// ErrSinkClosed is returned if the sink failed because its reader has disconnected.
var ErrSinkClosed = errors.New("reader of the answer is gone")

// An UnexpectedFrameError is returned if a frame belongs to another request or comes after a gap in
// the positions.
type UnexpectedFrameError struct {
	WantID, GotID             string
	WantPosition, GotPosition int
}

// Error returns the expected and the received request and position.
func (e *UnexpectedFrameError) Error() string {
	return fmt.Sprintf("frame of request %q at %d where %q at %d was due", e.GotID, e.GotPosition, e.WantID, e.WantPosition)
}

// A Sink receives the frames of a response in order.
type Sink func(upstream.Frame) error

// A Progress is the state of a response that is being delivered: the request's ID, the position of
// the next frame, and whether the last frame was delivered.
type Progress struct {
	RequestID    string
	NextPosition int
	Finished     bool
}

const (
	maxFrameBytes      = 16 << 20
	initialBufferBytes = 4 << 10
)

// Copy passes the frames in body to sink, starting at the position in p, and advances p. It returns
// [ErrIncomplete] if the response is incomplete and can be resumed, [ErrSinkClosed] if the sink
// failed, or an [*UnexpectedFrameError].
func Copy(body io.Reader, p *Progress, sink Sink) error {
	scanner := bufio.NewScanner(body)
	scanner.Buffer(make([]byte, 0, initialBufferBytes), maxFrameBytes)
	for scanner.Scan() {
		var f upstream.Frame
		if err := json.Unmarshal(scanner.Bytes(), &f); err != nil {
			// A truncated line cannot be told from an invalid one. Neither may reach the caller,
			// and resuming recovers from both.
			return fmt.Errorf("%w: %w", ErrIncomplete, err)
		}
		if err := p.accept(f, sink); err != nil {
			return err
		}
		if p.Finished {
			return nil
		}
	}
	if err := scanner.Err(); err != nil {
		return fmt.Errorf("%w: %w", ErrIncomplete, err)
	}
	return ErrIncomplete
}

// accept passes a frame to the sink if it is the next one, and skips repeated frames.
func (p *Progress) accept(f upstream.Frame, sink Sink) error {
	if f.RequestID != p.RequestID || f.Position > p.NextPosition {
		// An engine or connection that mixes up two responses would show one caller another's text.
		// Request ID and position together admit only the next frame of this response.
		return &UnexpectedFrameError{WantID: p.RequestID, GotID: f.RequestID, WantPosition: p.NextPosition, GotPosition: f.Position}
	}
	if f.Position < p.NextPosition {
		return nil
	}
	if err := sink(f); err != nil {
		return fmt.Errorf("%w: %w", ErrSinkClosed, err)
	}
	p.NextPosition++
	p.Finished = f.Finish != ""
	return nil
}

// IsDialError reports whether an HTTP client's error proves that the request was not sent, because
// the connection could not be established.
func IsDialError(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}
