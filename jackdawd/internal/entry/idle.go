package entry

import (
	"container/list"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	// idlePatience is added to the idle timeout that operators state, so that a
	// request that was sent just within it does not meet a close.
	idlePatience = time.Second
	// callersShare is the part of a host's sockets that callers' connections may take. Upstreams,
	// other hosts and the store need a tenth at most; accepting pauses for up to a second when there
	// is none left, while requests wait unread.
	callersShare = 0.75
)

// mostCallers returns how many connections of callers a host keeps that may open so many sockets.
func mostCallers(sockets int) int { return int(callersShare * float64(sockets)) }

// idleConns closes callers' connections that were idle for too long, and those idle for longest when there are too many. The
// standard server's own timeout cannot change while it runs, and operators change theirs.
type idleConns struct {
	mu   sync.Mutex
	most int
	open int
	// idle holds the connections without a request, the one idle for longest first; at is where each stands.
	idle *list.List
	at   map[net.Conn]*list.Element
}

// idleConn is a connection that has been idle since a moment.
type idleConn struct {
	net.Conn
	since time.Time
}

// newIdleConns returns a keeper of so many connections at most.
func newIdleConns(most int) *idleConns {
	return &idleConns{most: most, idle: list.New(), at: map[net.Conn]*list.Element{}}
}

// count returns how many connections are open.
func (i *idleConns) count() int64 {
	i.mu.Lock()
	defer i.mu.Unlock()
	return int64(i.open)
}

// note takes in a connection's state.
func (i *idleConns) note(c net.Conn, state http.ConnState) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.remove(c)
	switch state {
	case http.StateNew:
		i.open++
		if first := i.idle.Front(); first != nil && i.open > i.most {
			i.close(first.Value.(idleConn))
		}
		i.at[c] = i.idle.PushBack(idleConn{c, time.Now()})
	case http.StateIdle:
		i.at[c] = i.idle.PushBack(idleConn{c, time.Now()})
	case http.StateClosed, http.StateHijacked:
		i.open--
	}
}

// remove takes a connection off the list of idle ones; the lock must be held.
func (i *idleConns) remove(c net.Conn) {
	if e, ok := i.at[c]; ok {
		i.idle.Remove(e)
		delete(i.at, c)
	}
}

// close closes an idle connection; the lock must be held.
func (i *idleConns) close(c idleConn) {
	// The caller notices, or is gone.
	_ = c.Close()
	i.remove(c.Conn)
}

// sweep closes what has been idle for longer than the timeout.
func (i *idleConns) sweep(now time.Time, timeout time.Duration) {
	i.mu.Lock()
	defer i.mu.Unlock()
	for e := i.idle.Front(); e != nil; e = i.idle.Front() {
		c := e.Value.(idleConn)
		if now.Sub(c.since) <= timeout+idlePatience {
			return
		}
		i.close(c)
	}
}
