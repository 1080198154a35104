package transit

import (
	"bufio"
	"encoding/binary"
	"errors"
	"io"
	"net"
)

// A Conn is a connection to an upstream through another host.
type Conn struct {
	net.Conn
	peer   string
	reader *bufio.Reader
	// remaining is how much of the current frame has not been read.
	remaining int
	ended     bool
	// leaving is set once the host has announced that it is shutting down.
	leaving bool
	// isNeeded reports whether the upstream is still not reached directly.
	isNeeded func() bool
	// onTimeout is called when the connection is silent for too long.
	onTimeout func()
}

// Peer returns the name of the host that the connection leads through.
func (c *Conn) Peer() string { return c.peer }

// NetConn returns the connection to that host.
func (c *Conn) NetConn() net.Conn { return c.Conn }

// Reusable reports whether another request may be sent on the connection, and should be.
func (c *Conn) Reusable() bool {
	return c.isNeeded() && !c.ended && !c.leaving && c.remaining == 0 && c.reader.Buffered() == 0
}

// ReportTimeout records that a response on the connection did not come in time.
func (c *Conn) ReportTimeout() { c.onTimeout() }

// Read reads what the upstream sent. It returns io.EOF only if the upstream has ended the connection.
func (c *Conn) Read(p []byte) (int, error) {
	for c.remaining == 0 && !c.ended {
		if err := c.readFrameHeader(); err != nil {
			return 0, err
		}
	}
	if c.ended {
		return 0, io.EOF
	}
	n, err := c.reader.Read(p[:min(len(p), c.remaining)])
	c.remaining -= n
	return n, unexpectedEOF(err)
}

// readFrameHeader reads the next frame's header. If that times out, it can be called again.
func (c *Conn) readFrameHeader() error {
	header, err := c.reader.Peek(frameHeaderBytes)
	if err != nil {
		return unexpectedEOF(err)
	}
	switch n := binary.BigEndian.Uint16(header); n {
	case endOfStream:
		c.ended = true
	case leavingNotice:
		c.leaving = true
	default:
		c.remaining = int(n)
	}
	_, err = c.reader.Discard(frameHeaderBytes)
	return err
}

// unexpectedEOF returns io.ErrUnexpectedEOF in place of io.EOF.
func unexpectedEOF(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}
