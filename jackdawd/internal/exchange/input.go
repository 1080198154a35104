package exchange

import (
	"errors"
	"net"
	"os"
	"sync"
	"time"
)

// An input reads what an upstream sends on a connection, and limits its silence. Each read has its own deadline,
// so that no time counts in which nothing is read. A read that has timed out has consumed nothing and can be
// repeated, wherever in a response it is.
type input struct {
	conn net.Conn
	// timeout is how long a read may take; 0 means that it is not bounded.
	timeout time.Duration
	// abort reports whether to stop reading after a timeout; nil means always.
	abort func(recheck func()) bool
	// hasDeadline is set while the connection has a read deadline.
	hasDeadline bool
	// timedOut is set once a read was given up.
	timedOut bool
	// mu protects mustRecheck, and the deadline against rechecks.
	mu sync.Mutex
	// mustRecheck is set if abort is to be called at once.
	mustRecheck bool
}

func newInput(conn net.Conn) *input { return &input{conn: conn} }

// abortRetryDivisor is the divisor of a timeout that gives the interval at which abort is called again. A whole
// timeout later, the caller may have left.
const abortRetryDivisor = 4

// Read reads from the connection. It returns os.ErrDeadlineExceeded if the upstream is silent for too long.
func (i *input) Read(p []byte) (int, error) {
	for wait := i.timeout; ; wait = i.timeout / abortRetryDivisor {
		i.setDeadline(wait)
		n, err := i.conn.Read(p)
		switch {
		case n > 0 || !errors.Is(err, os.ErrDeadlineExceeded):
			return n, err
		case i.abort == nil || i.abort(i.recheck):
			i.timedOut = true
			return 0, err
		}
	}
}

// setDeadline bounds the next read to d; 0 means that it is not bounded.
func (i *input) setDeadline(d time.Duration) {
	i.mu.Lock()
	defer i.mu.Unlock()
	deadline := time.Time{}
	switch {
	case i.mustRecheck:
		deadline = time.Now()
	case d > 0:
		deadline = time.Now().Add(d)
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
	i.timeout, i.abort, i.hasDeadline, i.timedOut, i.mustRecheck = 0, nil, false, false, false
}
