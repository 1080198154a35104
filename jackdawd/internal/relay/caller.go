package relay

import (
	"context"
	"errors"
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// connKey is the key of a caller's connection in a context.
type connKey struct{}

// WithConn returns a context that carries the connection on which a caller's requests come.
func WithConn(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// HasHungUp reports whether the caller has closed the connection that a context carries. The server's own reader, which
// ends the context, begins with the request and loses the race against one whose caller had left before.
func HasHungUp(ctx context.Context) bool {
	c, ok := ctx.Value(connKey{}).(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := c.SyscallConn()
	if err != nil {
		return true
	}
	hungUp := false
	err = raw.Control(func(fd uintptr) {
		// A peek takes nothing from the server's reader, which may wait for the same bytes.
		n, _, err := unix.Recvfrom(int(fd), make([]byte, 1), unix.MSG_PEEK|unix.MSG_DONTWAIT)
		hungUp = err == nil && n == 0 || errors.Is(err, unix.ECONNRESET)
	})
	return hungUp || err != nil
}
