package exchange

import (
	"errors"
	"io"
	"net/http"
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

// SetReadTimeout sets how long from now the upstream may take for what the reader of the body waits for, whatever it sends
// before that; 0 means that only the context bounds it.
func (r *Response) SetReadTimeout(d time.Duration) { r.conn.input.setTimeout(d) }

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
	r.SetReadTimeout(r.request.HeaderTimeout)
	r.conn.input.beginHeader()
	for skipped := range maxStaleResponses + 1 {
		resp, err := r.readResponse()
		if err != nil {
			return r.interrupted(err)
		}
		r.resp, r.head = resp, r.client.parser.ParseResponse(resp.StatusCode, resp.Header)
		rejectsUnnamed := r.head.ID == "" && r.head.NotExecuted
		if r.head.ID == r.request.ID || (rejectsUnnamed && skipped == 0) {
			// The bounds of the header must not cut off a long body.
			r.conn.input.endHeader()
			r.SetReadTimeout(0)
			return nil
		}
		if !r.conn.used || rejectsUnnamed {
			// After a second response to an earlier request, a rejection without an ID may belong to that one too.
			return &MismatchError{Want: r.request.ID, Got: r.head.ID}
		}
		// This is a second response to an earlier request on the connection; skip it.
		r.conn.input.bound(maxStaleBodyBytes)
		if _, err := io.Copy(io.Discard, resp.Body); err != nil {
			return r.interrupted(err)
		}
		r.conn.input.bound(maxHeaderBytes)
	}
	return &MismatchError{Want: r.request.ID, Got: r.head.ID}
}

// interrupted returns the error of a response that could not be read, and reports a timeout. Connections that were
// idle before may be as dead as this one, and so may the host that it leads through.
func (r *Response) interrupted(err error) error {
	if !r.conn.input.timedOut {
		return &InterruptedError{Cause: translateReadError(err)}
	}
	r.client.DiscardIdle(r.request.Address)
	if relayed, ok := r.conn.Conn.(relayedConn); ok {
		relayed.ReportTimeout()
	}
	return &InterruptedError{Cause: ErrReadTimeout}
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
	n, err := r.resp.Body.Read(p)
	switch {
	case err == io.EOF && !r.Framed() && !r.isRequestWritten():
		// The write takes the error of a reset from this read, which then returns io.EOF, too.
		return n, r.interrupted(err)
	case err == io.EOF:
		r.complete = true
		return n, io.EOF
	case err != nil:
		return n, r.interrupted(err)
	}
	return n, nil
}

// translateReadError turns io.EOF within a response into io.ErrUnexpectedEOF, so that no caller takes it for the end
// of the body.
func translateReadError(err error) error {
	if errors.Is(err, io.EOF) {
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
	// An upstream that waits for the rest of a body would take the next request for it.
	return r.complete && !r.resp.Close && r.Framed() && r.isRequestWritten()
}

// isRequestWritten reports whether the whole request has been written.
func (r *Response) isRequestWritten() bool {
	if r.bodyWritten == nil {
		return true
	}
	select {
	case <-r.bodyWritten:
		return r.writeErr == nil
	default:
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
