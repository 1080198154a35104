package exchange

import (
	"errors"
	"io"
	"net/http"
	"os"
	"time"

	"jackdawhinge/common/traffic"
)

// A Response is an upstream's response whose header has been read.
type Response struct {
	client  *Client
	conn    *conn
	request Request
	// stopCancel stops the closing of the connection on cancellation; false if that has begun.
	stopCancel func() bool
	head       traffic.Response
	resp       *http.Response
	// bodyWritten is closed when the request body has been written; nil if it was written with the
	// header.
	bodyWritten chan struct{}
	writeErr    error
	readTimeout time.Duration
	// complete is set once the whole body has been read.
	complete bool
}

// Head returns the parsed header.
func (r *Response) Head() traffic.Response { return r.head }

// Status returns the status code.
func (r *Response) Status() int { return r.resp.StatusCode }

// Header returns the header fields.
func (r *Response) Header() http.Header { return r.resp.Header }

// ContentLength returns the length of the body in bytes, or -1 if it is unknown.
func (r *Response) ContentLength() int64 { return r.resp.ContentLength }

// Framed reports whether the body has a length or chunks; one that has neither ends with its connection.
func (r *Response) Framed() bool {
	return r.resp.ContentLength >= 0 || len(r.resp.TransferEncoding) > 0
}

// SetReadTimeout sets the timeout of each read of the body; 0 means that only the context bounds it.
func (r *Response) SetReadTimeout(d time.Duration) { r.readTimeout = d }

// RenewReadDeadline lets the timeout of the next read start now. A part of the response that has already arrived is
// otherwise completed within the timeout of the previous read, which passes while nothing is read.
func (r *Response) RenewReadDeadline() { r.setReadDeadline(r.readTimeout) }

// Buffered reports whether more of the response has already arrived.
func (r *Response) Buffered() bool { return r.conn.reader.Buffered() > 0 }

// writeRequest writes the encoded request; a long body is written while the response is awaited.
func (r *Response) writeRequest(encoded []byte) error {
	n, err := r.conn.Write(encoded)
	if err != nil && n == 0 {
		return &NotSentError{Cause: err}
	}
	if err != nil {
		return &InterruptedError{Cause: err}
	}
	if len(r.request.Body) <= concurrentWriteThreshold {
		return nil
	}
	r.bodyWritten = make(chan struct{})
	go func() {
		defer close(r.bodyWritten)
		_, r.writeErr = r.conn.Write(r.request.Body)
	}()
	return nil
}

func (r *Response) readHead() error {
	if err := r.awaitData(r.request.HeaderTimeout); err != nil {
		r.reportTimeout(err)
		return &InterruptedError{Cause: translateReadError(err)}
	}
	for skipped := range maxStaleResponses + 1 {
		resp, err := r.readResponse()
		if err != nil {
			return &InterruptedError{Cause: translateReadError(err)}
		}
		r.resp, r.head = resp, r.client.parser.ParseResponse(resp.StatusCode, resp.Header)
		rejectsUnnamed := r.head.ID == "" && r.head.NotExecuted
		if r.head.ID == r.request.ID || (rejectsUnnamed && skipped == 0) {
			// The header timeout must not cut off a long body.
			r.setReadDeadline(0)
			return nil
		}
		if !r.conn.used || rejectsUnnamed {
			// After a second response to an earlier request, a rejection without an ID may belong to that one too.
			return &MismatchError{Want: r.request.ID, Got: r.head.ID}
		}
		// This is a second response to an earlier request on the connection; skip it.
		if _, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxStaleBodyBytes)); err != nil {
			return &InterruptedError{Cause: translateReadError(err)}
		}
	}
	return &MismatchError{Want: r.request.ID, Got: r.head.ID}
}

// reportTimeout records that the response did not come in time. Connections that were idle before may
// be as dead as this one, and so may the host that it leads through.
func (r *Response) reportTimeout(err error) {
	if !errors.Is(err, os.ErrDeadlineExceeded) {
		return
	}
	r.client.DiscardIdle(r.request.Address)
	if relayed, ok := r.conn.Conn.(relayedConn); ok {
		relayed.ReportTimeout()
	}
}

// readResponse reads the header of the next response that is not an interim (1xx) one.
func (r *Response) readResponse() (*http.Response, error) {
	for {
		resp, err := http.ReadResponse(r.conn.reader, &http.Request{Method: r.request.Method})
		if err != nil {
			return nil, err
		}
		if resp.StatusCode >= http.StatusOK || resp.StatusCode == http.StatusSwitchingProtocols {
			return resp, nil
		}
	}
}

// Read reads from the body. It returns io.EOF at the end of the complete body, else an
// *InterruptedError.
func (r *Response) Read(p []byte) (int, error) {
	if r.readTimeout > 0 && r.conn.reader.Buffered() == 0 {
		if err := r.awaitData(r.readTimeout); err != nil {
			r.reportTimeout(err)
			return 0, &InterruptedError{Cause: translateReadError(err)}
		}
	}
	n, err := r.resp.Body.Read(p)
	switch {
	case err == io.EOF:
		r.complete = true
		return n, io.EOF
	case err != nil:
		return n, &InterruptedError{Cause: translateReadError(err)}
	}
	return n, nil
}

// abortRetryDivisor is the divisor of a timeout that gives the interval at which AbortOnTimeout is called again.
// A whole timeout later, the caller may have left.
const abortRetryDivisor = 4

// awaitData waits up to d for data and then allows d again for the rest of it. Only the wait for the
// first byte can be repeated after a timeout, as nothing has been consumed then.
func (r *Response) awaitData(d time.Duration) error {
	for wait := d; d > 0; wait = d / abortRetryDivisor {
		r.setReadDeadline(wait)
		_, err := r.conn.reader.Peek(1)
		switch {
		case !errors.Is(err, os.ErrDeadlineExceeded):
			// Other errors are left to the following read: only it knows whether the response may
			// end here.
			r.setReadDeadline(d)
			return nil
		case r.request.AbortOnTimeout == nil || r.request.AbortOnTimeout():
			return err
		}
	}
	r.setReadDeadline(0)
	return nil
}

// setReadDeadline bounds reads to d from now; 0 means that only the context bounds them.
func (r *Response) setReadDeadline(d time.Duration) {
	deadline := time.Time{}
	if d > 0 {
		deadline = time.Now().Add(d)
	}
	// Setting a deadline fails only on a closed connection. What arrived before is still valid, and
	// reads return at once.
	_ = r.conn.SetReadDeadline(deadline)
}

// translateReadError turns a passed deadline into ErrReadTimeout, and io.EOF within a response into
// io.ErrUnexpectedEOF, so that no caller takes it for the end of the body.
func translateReadError(err error) error {
	switch {
	case errors.Is(err, os.ErrDeadlineExceeded):
		return ErrReadTimeout
	case errors.Is(err, io.EOF):
		return io.ErrUnexpectedEOF
	}
	return err
}

// Abort makes a concurrent Read fail and tells the upstream to stop working on the request. It must not be called
// after Close.
func (r *Response) Abort() {
	// The connection is dropped, so an error changes nothing.
	_ = r.conn.Close()
}

// Close returns the connection to the pool if another request may follow on it. Else it closes it,
// which tells the upstream to stop working on the request.
func (r *Response) Close() {
	if !r.stopCancel() || !r.connReusable() {
		r.client.discard(r.conn)
		return
	}
	r.client.putIdle(r.conn, r.maxIdle())
}

// connReusable reports whether the exchange is over: the response is complete and delimited, and the
// request has been written.
func (r *Response) connReusable() bool {
	if !r.complete || r.resp.Close || !r.Framed() {
		return false
	}
	if r.bodyWritten == nil {
		return true
	}
	select {
	case <-r.bodyWritten:
		return r.writeErr == nil
	default:
		// The upstream still waits for the rest of the body and would take the next request for it.
		return false
	}
}

// maxIdle returns how long the connection may stay idle in the pool.
func (r *Response) maxIdle() time.Duration {
	limit := defaultMaxIdle
	if r.conn.peer() != "" {
		limit = maxRelayedIdle
	}
	if r.head.IdleTimeout <= 0 {
		return limit
	}
	return min(limit, max(r.head.IdleTimeout-idleMargin, 0))
}
