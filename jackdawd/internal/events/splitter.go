package events

import (
	"bytes"
)

// maxPending bounds the bytes of an event that has not ended.
const maxPending = 1 << 20

// A Splitter gathers bytes until events are whole.
type Splitter struct {
	pending []byte
	lastID  string
	events  int
}

// Add takes in bytes and returns those that complete events, which are valid until the next call.
func (s *Splitter) Add(p []byte) []byte {
	s.pending = append(s.pending, p...)
	end := lastEventEnd(s.pending)
	if end == 0 {
		return nil
	}
	whole := bytes.Clone(s.pending[:end])
	s.pending = append(s.pending[:0], s.pending[end:]...)
	s.note(whole)
	return whole
}

// Pending returns how many bytes of an unfinished event have come.
func (s *Splitter) Pending() int { return len(s.pending) }

// Overlong reports whether an event has grown beyond any that is expected.
func (s *Splitter) Overlong() bool { return len(s.pending) > maxPending }

// Drop forgets the unfinished event, after its stream broke off.
func (s *Splitter) Drop() { s.pending = s.pending[:0] }

// LastID returns the identifier of the last whole event; empty if none had one.
func (s *Splitter) LastID() string { return s.lastID }

// Events returns how many whole events there were.
func (s *Splitter) Events() int { return s.events }

// note takes in the identifiers of whole events.
func (s *Splitter) note(whole []byte) {
	for line := range bytes.Lines(whole) {
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

// lastEventEnd returns the length up to the last blank line, or 0.
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
