package relay

import (
	"context"
	"errors"
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// connKey is the context key of a caller's connection.
type connKey struct{}

// WithConn returns a context that carries the connection of a caller. It is meant for
// http.Server.ConnContext.
func WithConn(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// HasDisconnected reports whether the caller has closed the connection that a context carries. The
// HTTP server only starts to watch the connection with the request, so that its context may still be
// valid for a caller that disconnected before.
func HasDisconnected(ctx context.Context) bool {
	c, ok := ctx.Value(connKey{}).(syscall.Conn)
	if !ok {
		return false
	}
	n, receiveErr, err := peek(c)
	return err != nil || receiveErr == nil && n == 0 || errors.Is(receiveErr, unix.ECONNRESET)
}

// HasUnreadBytes reports whether a caller has sent bytes that the server has not read from a connection. It is
// false for connections without a socket.
func HasUnreadBytes(conn net.Conn) bool {
	c, ok := conn.(syscall.Conn)
	if !ok {
		return false
	}
	n, receiveErr, err := peek(c)
	return err == nil && receiveErr == nil && n > 0
}

// peek receives the next byte of a connection and leaves it to the server's reader, which may be waiting for
// it. It returns the error of receiving, and the one of getting at the socket.
func peek(c syscall.Conn) (n int, receiveErr, err error) {
	raw, err := c.SyscallConn()
	if err != nil {
		return 0, nil, err
	}
	err = raw.Control(func(fd uintptr) {
		n, _, receiveErr = unix.Recvfrom(int(fd), make([]byte, 1), unix.MSG_PEEK|unix.MSG_DONTWAIT)
	})
	return n, receiveErr, err
}

// acknowledgedBytes returns how many bytes the kernel of the caller on the connection that a context carries has
// acknowledged. It takes no more once its buffer is full, until the caller reads. It returns 0 if that is not
// known.
func acknowledgedBytes(ctx context.Context) uint64 {
	c, ok := ctx.Value(connKey{}).(syscall.Conn)
	if !ok {
		return 0
	}
	raw, err := c.SyscallConn()
	if err != nil {
		return 0
	}
	var acknowledged uint64
	err = raw.Control(func(fd uintptr) {
		if info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO); err == nil {
			acknowledged = info.Bytes_acked
		}
	})
	if err != nil {
		return 0
	}
	return acknowledged
}
