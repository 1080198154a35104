package exchange

import (
	"errors"
	"net"
	"os"
	"sync"
	"time"
)

// An input reads what an upstream sends on a connection, and limits the time until something is complete: a header, or
// what the reader of the body waits for. A read that has timed out has consumed nothing and can be repeated, wherever in
// a response it is.
type input struct {
	conn net.Conn
	// timeout is the time after which abort is called; 0 means never.
	timeout time.Duration
	// abortAt is when that is. Bytes that come meanwhile don't change it, as they may come without end.
	abortAt time.Time
	// abort reports whether to stop reading after a timeout; nil means always.
	abort func(recheck func()) bool
	// hasDeadline is set while the connection has a read deadline.
	hasDeadline bool
	// timedOut is set once a read was given up.
	timedOut bool
	// readsHeader is set until the header of the response is complete, and headerLeft is how many bytes more may be read
	// until then.
	readsHeader bool
	headerLeft  int
	// mu protects mustRecheck, and the deadline against rechecks.
	mu sync.Mutex
	// mustRecheck is set if abort is to be called at once.
	mustRecheck bool
}

func newInput(conn net.Conn) *input { return &input{conn: conn} }

// abortRetryDivisor is the divisor of a timeout that gives the interval at which abort is called again. A whole
// timeout later, the caller may have left.
const abortRetryDivisor = 4

// Read reads from the connection. It returns os.ErrDeadlineExceeded if the upstream is silent for too long, and
// ErrHeaderTooLarge if the header does not end.
func (i *input) Read(p []byte) (int, error) {
	if i.readsHeader {
		if i.headerLeft == 0 {
			return 0, ErrHeaderTooLarge
		}
		p = p[:min(len(p), i.headerLeft)]
	}
	for {
		i.setDeadline()
		n, err := i.conn.Read(p)
		switch {
		case n > 0 || !errors.Is(err, os.ErrDeadlineExceeded):
			i.headerLeft -= n
			return n, err
		case i.abort == nil || i.abort(i.recheck):
			i.timedOut = true
			return 0, err
		}
		i.abortAt = time.Now().Add(i.timeout / abortRetryDivisor)
	}
}

// setTimeout makes abort be called once a time has passed from now; 0 means never.
func (i *input) setTimeout(timeout time.Duration) {
	i.timeout, i.abortAt = timeout, time.Now().Add(timeout)
}

// beginHeader bounds the bytes that are read until endHeader.
func (i *input) beginHeader() {
	i.readsHeader = true
	i.bound(maxHeaderBytes)
}

// bound sets how many bytes more may be read until endHeader.
func (i *input) bound(bytes int) { i.headerLeft = bytes }

// endHeader ends the bound of beginHeader.
func (i *input) endHeader() { i.readsHeader = false }

// setDeadline bounds the next read by the time at which abort is to be called.
func (i *input) setDeadline() {
	i.mu.Lock()
	defer i.mu.Unlock()
	deadline := time.Time{}
	switch {
	case i.mustRecheck:
		deadline = time.Now()
	case i.timeout > 0:
		deadline = i.abortAt
	}
	if i.hasDeadline || !deadline.IsZero() {
		// Setting a deadline fails only on a closed connection. What arrived before is still valid, and
		// reads return at once.
		_ = i.conn.SetReadDeadline(deadline)
	}
	i.hasDeadline, i.mustRecheck = !deadline.IsZero(), false
}

// recheck ends the read in progress, or the next one, for abort to be called.
func (i *input) recheck() {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.mustRecheck, i.hasDeadline = true, true
	_ = i.conn.SetReadDeadline(time.Now())
}

// reset prepares for the next request on the connection, which has no deadline.
func (i *input) reset() {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.timeout, i.abort, i.hasDeadline, i.timedOut, i.mustRecheck, i.readsHeader = 0, nil, false, false, false, false
}
