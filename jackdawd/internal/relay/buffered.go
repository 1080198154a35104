package relay

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"jackdawhinge/jackdawd/internal/exchange"
)

const (
	// unreservedBytes is the size up to which a response, or an event, is held without a reservation.
	unreservedBytes = 16 << 10
	// maxBufferedBytes is the size up to which a response is buffered before it is sent to the
	// caller, so that another upstream can be tried if it is truncated.
	maxBufferedBytes = 256 << 10
	// readBufferBytes is the size of the buffer that responses are read into.
	readBufferBytes = 16 << 10
)

// A bufferedResponse is a response that was read completely, or up to maxBufferedBytes.
type bufferedResponse struct {
	status int
	header http.Header
	body   []byte
}

// relayBuffered forwards a response that is no stream.
func (j *job) relayBuffered(ctx context.Context, resp *exchange.Response) result {
	body, complete, err := j.readResponse(resp)
	if err != nil {
		return result{verdict: broken, err: err}
	}
	buffered := &bufferedResponse{status: resp.Status(), header: resp.Header(), body: body}
	if !complete {
		return j.relayUnbuffered(ctx, resp, buffered)
	}
	if resp.Status() >= http.StatusInternalServerError {
		return result{verdict: failed, response: buffered, unframed: !resp.Framed()}
	}
	end := result{verdict: answered, unframed: !resp.Framed()}
	if j.readsAhead() {
		return j.writeBufferedAhead(ctx, resp, buffered, &end)
	}
	j.writeBuffered(buffered)
	return end
}

// readResponse reads a response, or the first part of one that is too large to buffer.
func (j *job) readResponse(resp *exchange.Response) (body []byte, complete bool, err error) {
	body, err = io.ReadAll(io.LimitReader(resp, unreservedBytes))
	if err != nil || len(body) < unreservedBytes {
		return body, true, err
	}
	if !j.reserveResponse(maxBufferedBytes) {
		return body, false, nil
	}
	rest, err := io.ReadAll(io.LimitReader(resp, maxBufferedBytes-unreservedBytes))
	body = append(body, rest...)
	return body, len(body) < maxBufferedBytes, err
}

// writeBuffered writes a buffered response to the caller.
func (j *job) writeBuffered(response *bufferedResponse) {
	j.writeBufferedHeader(response)
	// A write error means that the caller has disconnected.
	_, _ = j.w.Write(response.body)
}

// writeBufferedHeader writes the header of a buffered response to the caller.
func (j *job) writeBufferedHeader(response *bufferedResponse) {
	if len(response.body) > 0 {
		j.w.Header().Set("Content-Length", strconv.Itoa(len(response.body)))
	}
	j.writeHeader(response.status, response.header)
}

// writeBufferedAhead writes a response to the caller whose upstream has been read to its end, so that its slot is
// free already.
func (j *job) writeBufferedAhead(ctx context.Context, resp *exchange.Response, buffered *bufferedResponse, end *result) result {
	j.endAttempt(j.current, true)
	j.writeBufferedHeader(buffered)
	j.current.watchdog.suspend()
	return j.relayAhead(resp, unbufferedSource{j, ctx}, buffered.body, end)
}

// writeHeader writes the header of a response to the caller.
func (j *job) writeHeader(status int, header http.Header) {
	j.Protocol.CopyResponseHeader(j.w.Header(), header)
	if header.Get("Content-Type") == "" {
		// Otherwise the HTTP server would guess a type that the upstream did not send.
		j.w.Header()["Content-Type"] = nil
	}
	j.current.watchdog.reset(j.eventTimeout())
	j.headerSent, j.status, j.timeToFirstByte = true, status, time.Since(j.arrived)
	j.w.WriteHeader(status)
}

// relayUnbuffered forwards a response that is too large to buffer, of which prefix was already
// read.
func (j *job) relayUnbuffered(ctx context.Context, resp *exchange.Response, prefix *bufferedResponse) result {
	if resp.ContentLength() >= 0 {
		// The length lets the caller detect a truncated response.
		j.w.Header().Set("Content-Length", strconv.FormatInt(resp.ContentLength(), 10))
	}
	j.writeHeader(prefix.status, prefix.header)
	if j.readsAhead() {
		return j.relayAhead(resp, unbufferedSource{j, ctx}, prefix.body, nil)
	}
	if _, err := j.w.Write(prefix.body); err != nil {
		return result{verdict: callerLeft, err: err}
	}
	if _, err := io.CopyBuffer(writerOnly{j.w}, readerOnly{resp}, make([]byte, readBufferBytes)); err != nil {
		var interrupted *exchange.InterruptedError
		if !errors.As(err, &interrupted) || j.r.Context().Err() != nil {
			return result{verdict: callerLeft, err: err}
		}
		return result{verdict: broken, err: err}
	}
	return result{verdict: answered, unframed: !resp.Framed()}
}

// writerOnly and readerOnly hide all other methods, so that io.CopyBuffer uses the given buffer.
type writerOnly struct{ io.Writer }

type readerOnly struct{ io.Reader }
