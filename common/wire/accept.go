package wire

import (
	"errors"
	"net"
	"sync"
	"syscall"
	"time"
)

const (
	minAcceptPause = 5 * time.Millisecond
	maxAcceptPause = time.Second
)

// passingAcceptErrors are errors of Accept after which it may succeed: a connection ended before it was accepted, or
// descriptors or memory are used up for now.
var passingAcceptErrors = []error{
	syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.ECONNABORTED, syscall.ECONNRESET, syscall.EPROTO,
	syscall.EPERM, syscall.EINTR, syscall.EAGAIN, syscall.ETIMEDOUT, syscall.ENETDOWN, syscall.ENETUNREACH, syscall.EHOSTDOWN, syscall.EHOSTUNREACH,
}

// RetryAccept returns a listener whose Accept tries again after errors that pass, with a pause that grows up to a second.
// onError is called with each of them.
func RetryAccept(l net.Listener, onError func(err error)) net.Listener {
	return &retryListener{Listener: l, onError: onError, closed: make(chan struct{})}
}

type retryListener struct {
	net.Listener
	onError   func(err error)
	closeOnce sync.Once
	closed    chan struct{}
}

// Accept returns the next connection, or an error that does not pass.
func (l *retryListener) Accept() (net.Conn, error) {
	for pause := minAcceptPause; ; pause = min(2*pause, maxAcceptPause) {
		conn, err := l.Listener.Accept()
		if err == nil || !passes(err) {
			return conn, err
		}
		l.onError(err)
		select {
		case <-l.closed:
			return nil, net.ErrClosed
		case <-time.After(pause):
		}
	}
}

// Close closes the listener and ends a pause.
func (l *retryListener) Close() error {
	l.closeOnce.Do(func() { close(l.closed) })
	return l.Listener.Close()
}

func passes(err error) bool {
	for _, passing := range passingAcceptErrors {
		if errors.Is(err, passing) {
			return true
		}
	}
	return false
}
