package transit

import (
	"bufio"
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"time"
)

// StreamName is the name under which hosts serve tunnels to each other.
const StreamName = "transit"

// openRequest asks a host for a connection to an upstream.
type openRequest struct {
	Address string `json:"address"`
}

// openReply answers an openRequest; an empty problem means that the connection is open.
type openReply struct {
	Problem problem `json:"problem,omitempty"`
}

// A problem is why a host does not connect another one to an upstream.
type problem string

// The problems.
const (
	// unknownUpstream: the host does not list an upstream with this address.
	unknownUpstream problem = "unknown-upstream"
	// notReached: the host does not reach the upstream itself.
	notReached problem = "not-reached"
	// tooManyTunnels: the host serves as many tunnels as it may.
	tooManyTunnels problem = "too-many-tunnels"
	// stopping: the host is shutting down.
	stopping problem = "stopping"
)

// A ProblemError reports why a host did not connect this one to an upstream.
type ProblemError struct {
	Peer    string
	Problem string
}

// Error returns the host and the problem.
func (e *ProblemError) Error() string { return fmt.Sprintf("host %s: %s", e.Peer, e.Problem) }

const (
	// maxMessageBytes bounds an openRequest or openReply.
	maxMessageBytes = 512
	// openTimeout is how long a host waits for an openRequest.
	openTimeout = 2 * time.Second
)

var errMessageTooLong = errors.New("message too long")

// writeMessage writes a message as one line of JSON.
func writeMessage(w io.Writer, message any) error {
	encoded, err := json.Marshal(message)
	if err != nil {
		return fmt.Errorf("encode message: %w", err)
	}
	if _, err := w.Write(append(encoded, '\n')); err != nil {
		return fmt.Errorf("write message: %w", err)
	}
	return nil
}

// readMessage reads a message that writeMessage wrote.
func readMessage(r *bufio.Reader, message any) error {
	line, err := r.ReadSlice('\n')
	switch {
	case errors.Is(err, bufio.ErrBufferFull) || len(line) > maxMessageBytes:
		return errMessageTooLong
	case err != nil:
		return fmt.Errorf("read message: %w", err)
	}
	if err := json.Unmarshal(line, message); err != nil {
		return fmt.Errorf("decode message: %w", err)
	}
	return nil
}

// The upstream's bytes are sent in frames, each preceded by its length. Without them a host that
// dies would end a response whose end is that of its connection as if it were complete.
const (
	// frameHeaderBytes is the size of a frame's length.
	frameHeaderBytes = 2
	// maxFrameBytes is the maximum size of a frame.
	maxFrameBytes = 16 << 10
	// endOfStream in place of a length means that the upstream has ended the connection properly.
	endOfStream = 0
	// leavingNotice in place of a length means that the host is shutting down: no further request
	// should be sent on the connection.
	leavingNotice = 0xffff
)

// frameHeader returns the header of a frame of n bytes.
func frameHeader(n int) []byte { return binary.BigEndian.AppendUint16(nil, uint16(n)) }

// closeBoth closes both connections of a tunnel.
func closeBoth(a, b net.Conn) {
	// An error means that a connection is closed already.
	_ = a.Close()
	_ = b.Close()
}
