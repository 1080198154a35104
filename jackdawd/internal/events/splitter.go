package events

import (
	"bytes"
)

// maxPendingBytes bounds the size of an incomplete event.
const maxPendingBytes = 1 << 20

// A Splitter buffers the bytes of an event until the event is complete.
type Splitter struct {
	pending []byte
	lastID  string
	events  int
}

// Add appends p to the buffer and returns all complete events in it, nil if there is none. The
// result is valid until the next call.
func (s *Splitter) Add(p []byte) []byte {
	// Only the last bytes of what is pending may belong to the end of an event; looking through all of it for each part
	// would make a large event expensive.
	from := max(len(s.pending)-len("\n\r"), 0)
	s.pending = append(s.pending, p...)
	end := lastEventEnd(s.pending[from:])
	if end == 0 {
		return nil
	}
	end += from
	complete := bytes.Clone(s.pending[:end])
	s.pending = append(s.pending[:0], s.pending[end:]...)
	s.trackEvents(complete)
	return complete
}

// PendingBytes returns the number of buffered bytes of an incomplete event.
func (s *Splitter) PendingBytes() int { return len(s.pending) }

// IsPendingTooLarge reports whether the incomplete event exceeds the maximum size of an event.
func (s *Splitter) IsPendingTooLarge() bool { return len(s.pending) > maxPendingBytes }

// DiscardPending discards the incomplete event, whose stream broke off.
func (s *Splitter) DiscardPending() { s.pending = s.pending[:0] }

// LastEventID returns the ID of the last complete event that had one, empty if none had.
func (s *Splitter) LastEventID() string { return s.lastID }

// EventCount returns the number of complete events.
func (s *Splitter) EventCount() int { return s.events }

// trackEvents counts complete events and remembers the ID of the last one that has any.
func (s *Splitter) trackEvents(complete []byte) {
	for line := range bytes.Lines(complete) {
		line = bytes.TrimRight(line, "\r\n")
		if len(line) == 0 {
			s.events++
			continue
		}
		if id, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			s.lastID = string(bytes.TrimPrefix(id, []byte(" ")))
		}
	}
}

// lastEventEnd returns the length of p up to the end of its last blank line, 0 without a blank line.
func lastEventEnd(p []byte) int {
	lf := bytes.LastIndex(p, []byte("\n\n"))
	crlf := bytes.LastIndex(p, []byte("\n\r\n"))
	switch {
	case lf < 0 && crlf < 0:
		return 0
	case lf > crlf:
		return lf + 2
	default:
		return crlf + 3
	}
}
