package entry

import (
	"container/list"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"jackdawhinge/jackdawd/internal/admission"
)

const (
	// idleTimeoutMargin is added to the configured idle timeout, so that a request sent just before
	// the timeout does not reach a closed connection.
	idleTimeoutMargin = time.Second
	// callerSocketRatio is the maximum ratio of callers' connections to a host's sockets.
	// Connections to upstreams, other hosts and the store need at most a tenth. When no socket is
	// left, the server stops accepting for up to a second while requests wait unread.
	callerSocketRatio = 0.75
)

// A closeReason is why the host closes an idle connection.
type closeReason string

// The reasons.
const (
	closedForIdleTimeout closeReason = "idle-timeout"
	closedForLimit       closeReason = "limit"
)

// maxCallerConns returns the maximum number of callers' connections for a maximum number of
// sockets.
func maxCallerConns(sockets int) int { return int(callerSocketRatio * float64(sockets)) }

// callerConns tracks callers' connections. It closes those that exceed the idle timeout and, if too
// many are open, the one idle for longest. It replaces http.Server.IdleTimeout, which cannot change
// while the server runs, as the configured timeout does.
type callerConns struct {
	mu      sync.Mutex
	maxOpen int
	open    int
	// stopping is set once the host only waits for the connections that are not idle.
	stopping bool
	// idle lists the connections without a request, the one idle for longest first; elements
	// maps each to its list element.
	idle     *list.List
	elements map[*callerConn]*list.Element
	// idleTimeout returns the configured idle timeout.
	idleTimeout func() time.Duration
	// closed counts the idle connections that were closed, by reason.
	closed map[closeReason]int64
	// kept counts the idle connections that were not closed because bytes of a request had arrived,
	// discarded the requests that came too late for that.
	kept      int64
	discarded atomic.Int64
	// loggedClosed is closed as of the last log line, longestIdle the longest idle time since then.
	loggedClosed map[closeReason]int64
	longestIdle  time.Duration
	// refuse reports whether a new connection is closed before anything is read from it; nil means never.
	refuse  func() bool
	refused int64
	// recentlyRefused counts such connections with decay.
	recentlyRefused admission.RecentCount
}

// idleConn is an idle connection, the time since which it has been idle, and the idle timeout at that
// time, which its caller may rely on after the configuration has lowered it.
type idleConn struct {
	*callerConn
	since   time.Time
	timeout time.Duration
}

// newCallerConns returns a callerConns that limits the number of open connections to maxOpen and closes
// new ones that refuse refuses.
func newCallerConns(maxOpen int, idleTimeout func() time.Duration, refuse func() bool) *callerConns {
	return &callerConns{
		maxOpen: maxOpen, idleTimeout: idleTimeout, refuse: refuse, idle: list.New(), elements: map[*callerConn]*list.Element{},
		closed: map[closeReason]int64{}, loggedClosed: map[closeReason]int64{},
	}
}

// listen returns a listener for the callers' server.
func (c *callerConns) listen(l net.Listener) net.Listener { return callerListener{l, c} }

// newConn returns an accepted connection with its state.
func (c *callerConns) newConn(conn net.Conn) *callerConn {
	return &callerConn{Conn: conn, discarded: &c.discarded}
}

// count returns the number of open connections.
func (c *callerConns) count() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return int64(c.open)
}

// refusedCount returns how many new connections were closed before anything was read from them.
func (c *callerConns) refusedCount() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.refused
}

// closedCounts returns how many idle connections were closed, by reason.
func (c *callerConns) closedCounts() map[string]int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	counts := map[string]int64{}
	for _, reason := range []closeReason{closedForIdleTimeout, closedForLimit} {
		counts[string(reason)] = c.closed[reason]
	}
	return counts
}

// keptCount returns how many idle connections were not closed because bytes of a request had arrived.
func (c *callerConns) keptCount() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.kept
}

// setState records a connection's new state; it is the server's ConnState callback. A new
// connection beyond maxOpen closes the one idle for longest, if any is idle.
func (c *callerConns) setState(tracked net.Conn, state http.ConnState) {
	conn := tracked.(*callerConn)
	// The decision needs no lock, and takes its time at a host with many upstreams.
	refused := state == http.StateNew && c.refuse != nil && c.refuse()
	if refused {
		// The server has not read from the connection yet, so that its caller knows that the request
		// has not run.
		_ = conn.Close()
	}
	timeout := c.idleTimeout()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.remove(conn)
	switch state {
	case http.StateNew:
		c.open++
		if refused {
			c.refused++
			c.recentlyRefused.Add(time.Now())
			return
		}
		if c.open > c.maxOpen {
			c.closeLongestIdle()
		}
		c.addIdle(conn, timeout)
	case http.StateActive:
		// The head of a pipelined request was read before the connection became idle. If the host has closed the
		// connection since then, the relay handles the caller as disconnected.
		conn.begin()
	case http.StateIdle:
		if conn.end() {
			c.addIdle(conn, timeout)
		}
	case http.StateClosed, http.StateHijacked:
		c.open--
	}
}

// addIdle adds a connection to the idle list, or closes it if the host stops; the lock must be held.
func (c *callerConns) addIdle(conn *callerConn, timeout time.Duration) {
	if c.stopping {
		conn.closeIdle()
		return
	}
	c.elements[conn] = c.idle.PushBack(idleConn{conn, time.Now(), timeout})
}

// stop closes the idle connections, and from then on those that become idle. It returns the number of connections that
// are still open: their requests are arriving or in progress, or their responses are being written.
func (c *callerConns) stop() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stopping = true
	for conn := range c.elements {
		c.remove(conn)
		conn.closeIdle()
	}
	return c.open
}

// remove removes a connection from the idle list; the lock must be held.
func (c *callerConns) remove(conn *callerConn) {
	if e, ok := c.elements[conn]; ok {
		c.idle.Remove(e)
		delete(c.elements, conn)
	}
}

// closeLongestIdle closes the connection that has been idle for longest, if any is idle; the lock must be
// held.
func (c *callerConns) closeLongestIdle() {
	now := time.Now()
	for e := c.idle.Front(); e != nil; e = c.idle.Front() {
		if c.close(e.Value.(idleConn), now, closedForLimit) {
			return
		}
	}
}

// close removes a connection from the idle list and closes it unless bytes of a request have arrived; it
// reports whether it did. The lock must be held.
func (c *callerConns) close(conn idleConn, now time.Time, reason closeReason) bool {
	c.remove(conn.callerConn)
	if !conn.closeIdle() {
		c.kept++
		return false
	}
	c.closed[reason]++
	c.longestIdle = max(c.longestIdle, now.Sub(conn.since))
	return true
}

// closeExpired closes the connections that were idle for longer than idleTimeoutMargin plus the longer of
// the current idle timeout and the one in force when they became idle.
func (c *callerConns) closeExpired(now time.Time) {
	timeout := c.idleTimeout()
	c.mu.Lock()
	defer c.mu.Unlock()
	for e := c.idle.Front(); e != nil; {
		conn := e.Value.(idleConn)
		idle := now.Sub(conn.since)
		if idle <= timeout+idleTimeoutMargin {
			// The connections that follow have been idle for less.
			return
		}
		e = e.Next()
		if idle > conn.timeout+idleTimeoutMargin {
			c.close(conn, now, closedForIdleTimeout)
		}
	}
}

// logClosed logs how many idle connections were closed since the last call, if any.
func (c *callerConns) logClosed() {
	c.mu.Lock()
	counts, longestIdle := map[closeReason]int64{}, c.longestIdle
	for reason, total := range c.closed {
		if count := total - c.loggedClosed[reason]; count > 0 {
			counts[reason], c.loggedClosed[reason] = count, total
		}
	}
	c.longestIdle = 0
	c.mu.Unlock()
	if len(counts) > 0 {
		logrus.WithFields(logrus.Fields{"closed": counts, "longest-idle": longestIdle.String(), "timeout": c.idleTimeout().String()}).Info("entry: Closed idle connections of callers.")
	}
}
