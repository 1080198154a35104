package entry

import (
	"net"
	"net/http"
	"sync"
	"time"
)

// idlePatience is added to the idle timeout that operators state, so that a
// request that was sent just within it does not meet a close.
const idlePatience = time.Second

// idleConns closes callers' connections that were idle for too long. The
// standard server's own timeout cannot change while it runs, and operators
// change theirs.
type idleConns struct {
	mu    sync.Mutex
	since map[net.Conn]time.Time
}

func newIdleConns() *idleConns {
	return &idleConns{since: map[net.Conn]time.Time{}}
}

// note takes in a connection's state.
func (i *idleConns) note(c net.Conn, state http.ConnState) {
	i.mu.Lock()
	defer i.mu.Unlock()
	switch state {
	case http.StateIdle, http.StateNew:
		i.since[c] = time.Now()
	default:
		delete(i.since, c)
	}
}

// sweep closes what has been idle for longer than the timeout.
func (i *idleConns) sweep(now time.Time, timeout time.Duration) {
	i.mu.Lock()
	defer i.mu.Unlock()
	for c, since := range i.since {
		if now.Sub(since) > timeout+idlePatience {
			// The caller notices, or is gone.
			_ = c.Close()
			delete(i.since, c)
		}
	}
}
