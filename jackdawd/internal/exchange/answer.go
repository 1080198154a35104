package exchange

import (
	"errors"
	"io"
	"net/http"
	"os"
	"time"

	"jackdawhinge/common/traffic"
)

// An Answer is an upstream's answer whose head has been read.
type Answer struct {
	client  *Client
	conn    *conn
	call    Call
	unwatch func() bool
	head    traffic.Answer
	resp    *http.Response
	// written is closed when the whole request has been written; nil if it was written at once.
	written  chan struct{}
	writeErr error
	patience time.Duration
	ended    bool
}

// Head returns what the head says.
func (a *Answer) Head() traffic.Answer { return a.head }

// Status returns the status code.
func (a *Answer) Status() int { return a.resp.StatusCode }

// Header returns the headers.
func (a *Answer) Header() http.Header { return a.resp.Header }

// Length returns the length of the body, or -1 if it is not known.
func (a *Answer) Length() int64 { return a.resp.ContentLength }

// SetPatience sets how long each read of the body may take; 0 means as long as the context lasts.
func (a *Answer) SetPatience(d time.Duration) { a.patience = d }

// Buffered reports whether more of the answer has already arrived.
func (a *Answer) Buffered() bool { return a.conn.reader.Buffered() > 0 }

// write sends the head, and the body if it is short; a long body is sent while the answer is awaited.
func (a *Answer) write(head []byte) error {
	n, err := a.conn.Write(head)
	if err != nil && n == 0 {
		return &NotSentError{Cause: err}
	}
	if err != nil {
		return &BrokenError{Cause: err}
	}
	if len(a.call.Body) <= concurrentWriteBytes {
		return nil
	}
	a.written = make(chan struct{})
	go func() {
		defer close(a.written)
		_, a.writeErr = a.conn.Write(a.call.Body)
	}()
	return nil
}

func (a *Answer) readHead() error {
	if err := a.await(a.call.HeadWithin); err != nil {
		return &BrokenError{Cause: stalled(err)}
	}
	for range maxLateAnswers + 1 {
		resp, err := a.readOne()
		if err != nil {
			return &BrokenError{Cause: stalled(err)}
		}
		a.resp, a.head = resp, a.client.heads.Answer(resp.StatusCode, resp.Header)
		if a.head.ID == a.call.ID || (a.head.ID == "" && a.head.NotRun) {
			// The time limit of the head would else cut a long body off.
			a.wait(0)
			return nil
		}
		if !a.conn.used {
			return &CrossedError{Want: a.call.ID, Got: a.head.ID}
		}
		// A second answer to an earlier request has come where this one's is due.
		if _, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxLateBytes)); err != nil {
			return &BrokenError{Cause: stalled(err)}
		}
	}
	return &CrossedError{Want: a.call.ID, Got: a.head.ID}
}

// readOne reads the head of the next answer that is no interim one.
func (a *Answer) readOne() (*http.Response, error) {
	for {
		resp, err := http.ReadResponse(a.conn.reader, &http.Request{Method: a.call.Method})
		if err != nil {
			return nil, err
		}
		if resp.StatusCode >= http.StatusOK || resp.StatusCode == http.StatusSwitchingProtocols {
			return resp, nil
		}
	}
}

// Read reads from the body; io.EOF means that the answer is whole.
func (a *Answer) Read(p []byte) (int, error) {
	if a.patience > 0 && a.conn.reader.Buffered() == 0 {
		if err := a.await(a.patience); err != nil {
			return 0, &BrokenError{Cause: stalled(err)}
		}
	}
	n, err := a.resp.Body.Read(p)
	switch {
	case err == io.EOF:
		a.ended = true
		return n, io.EOF
	case err != nil:
		return n, &BrokenError{Cause: stalled(err)}
	}
	return n, nil
}

// await waits until something has come, and then lets as much time again for the rest of
// it. Only a wait for the first byte can be taken up again after its time is over.
func (a *Answer) await(d time.Duration) error {
	for d > 0 {
		a.wait(d)
		_, err := a.conn.reader.Peek(1)
		switch {
		case !errors.Is(err, os.ErrDeadlineExceeded):
			// What has come, or that the connection has ended, is for the reader of the
			// answer to judge: only it knows whether this is where an answer may end.
			a.wait(d)
			return nil
		case a.call.GiveUp == nil || a.call.GiveUp():
			return err
		}
	}
	a.wait(0)
	return nil
}

// wait sets how long reading may take; 0 means as long as the context lasts.
func (a *Answer) wait(d time.Duration) {
	until := time.Time{}
	if d > 0 {
		until = time.Now().Add(d)
	}
	// A connection that takes no deadline is closed. What came before counts all the
	// same, and reading on shows the end: nothing waits on it.
	_ = a.conn.SetReadDeadline(until)
}

// stalled names a passed read deadline by its reason. An end in the middle of an answer
// must not be taken for its end by who looks for io.EOF.
func stalled(err error) error {
	switch {
	case errors.Is(err, os.ErrDeadlineExceeded):
		return ErrStalled
	case errors.Is(err, io.EOF):
		return io.ErrUnexpectedEOF
	}
	return err
}

// Close keeps the connection if another request may follow on it, else ends it,
// which tells the upstream to stop working.
func (a *Answer) Close() {
	if !a.unwatch() || !a.reusable() {
		a.client.discard(a.conn)
		return
	}
	a.client.keep(a.conn, a.keepFor())
}

// reusable reports whether nothing of this exchange can still come or go.
func (a *Answer) reusable() bool {
	if !a.ended || a.resp.Close {
		return false
	}
	framed := a.resp.ContentLength >= 0 || len(a.resp.TransferEncoding) > 0
	if !framed {
		return false
	}
	if a.written == nil {
		return true
	}
	select {
	case <-a.written:
		return a.writeErr == nil
	default:
		// The upstream still waits for the rest of the body; the next request
		// would be taken for it.
		return false
	}
}

func (a *Answer) keepFor() time.Duration {
	if a.head.IdleTimeout <= 0 {
		return maxIdle
	}
	return min(maxIdle, max(a.head.IdleTimeout-idleMargin, 0))
}
