package trace

import (
	"bufio"
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"
)

// The fields that each log line has.
const (
	requestField  = "request"
	hostField     = "host"
	upstreamField = "upstream"
	messageField  = "msg"
	timeField     = "time"
	levelField    = "level"
)

// beliefPrefixes begin the messages on what a host believes, and whom it learns it from.
var beliefPrefixes = []string{"membership: ", "fleet: "}

// maxLineBytes bounds one log line.
const maxLineBytes = 1 << 20

// A Line is one line of a host's log.
type Line struct {
	at     time.Time
	fields map[string]any
}

// At returns when the line's event was.
func (l Line) At() time.Time { return l.at }

// Text returns a field as text; empty if the line lacks it.
func (l Line) Text(field string) string {
	v, ok := l.fields[field]
	if !ok {
		return ""
	}
	return fmt.Sprint(v)
}

// Log is the lines of several hosts that matter for one request.
type Log struct {
	request string
	story   []Line
	beliefs []Line
	skipped int
}

// NewLog returns a log of nothing on a request.
func NewLog(request string) *Log {
	return &Log{request: request}
}

// Read takes in the lines of a log; those that are no JSON objects are counted and passed over.
func (l *Log) Read(r io.Reader) error {
	lines := bufio.NewScanner(r)
	lines.Buffer(nil, maxLineBytes)
	for lines.Scan() {
		// What collects logs may put something before each line.
		start := strings.IndexByte(lines.Text(), '{')
		if start < 0 {
			l.skipped++
			continue
		}
		var line Line
		if err := json.Unmarshal(lines.Bytes()[start:], &line.fields); err != nil {
			l.skipped++
			continue
		}
		at, err := time.Parse(time.RFC3339Nano, line.Text(timeField))
		if err != nil {
			l.skipped++
			continue
		}
		line.at = at
		l.take(line)
	}
	if err := lines.Err(); err != nil {
		return fmt.Errorf("read log: %w", err)
	}
	return nil
}

func (l *Log) take(line Line) {
	switch {
	case line.Text(requestField) == l.request:
		l.story = append(l.story, line)
	case isBelief(line.Text(messageField)):
		l.beliefs = append(l.beliefs, line)
	}
}

func isBelief(message string) bool {
	return slices.ContainsFunc(beliefPrefixes, func(prefix string) bool { return strings.HasPrefix(message, prefix) })
}

// Skipped returns how many lines could not be read.
func (l *Log) Skipped() int { return l.skipped }

// Story returns the request's lines in order, and between them the beliefs of its
// hosts that were in force: the last of each kind before the request arrived at
// that host, and what changed while it was there.
func (l *Log) Story() []Line {
	if len(l.story) == 0 {
		return nil
	}
	byTime := func(a, b Line) int { return a.at.Compare(b.at) }
	slices.SortStableFunc(l.story, byTime)
	slices.SortStableFunc(l.beliefs, byTime)
	out := slices.Clone(l.story)
	for host, span := range l.spans() {
		out = append(out, l.inForce(host, span)...)
	}
	slices.SortStableFunc(out, byTime)
	return out
}

// span is when a request was at a host, and which upstreams it met.
type span struct {
	from, to  time.Time
	upstreams map[string]bool
}

func (l *Log) spans() map[string]span {
	spans := map[string]span{}
	for _, line := range l.story {
		host := line.Text(hostField)
		s, ok := spans[host]
		if !ok {
			s = span{from: line.at, upstreams: map[string]bool{}}
		}
		s.to = line.at
		if u := line.Text(upstreamField); u != "" {
			s.upstreams[u] = true
		}
		spans[host] = s
	}
	return spans
}

// inForce returns the beliefs of a host that mattered: on the whole system, and on the upstreams met.
func (l *Log) inForce(host string, s span) []Line {
	last := map[string]Line{}
	var during []Line
	for _, b := range l.beliefs {
		upstream := b.Text(upstreamField)
		if b.Text(hostField) != host || (upstream != "" && !s.upstreams[upstream]) {
			continue
		}
		if b.at.After(s.to) {
			break
		}
		if b.at.After(s.from) {
			during = append(during, b)
			continue
		}
		last[subject(b)] = b
	}
	for _, b := range last {
		during = append(during, b)
	}
	slices.SortFunc(during, func(a, b Line) int {
		if c := a.at.Compare(b.at); c != 0 {
			return c
		}
		return cmp.Compare(a.Text(messageField), b.Text(messageField))
	})
	return during
}

// topics are what messages are about, by a part of their text; the first that fits counts.
var topics = []struct{ part, subject string }{
	{"configuration is in force", "configuration in force"},
	{"configuration may be older", "age of the configuration"},
	{"configuration is known in time", "age of the configuration"},
	{"configuration", "reads of the configuration"},
	{"upstreams", "reads of the upstreams"},
	{"reader", "reader"},
}

// subject returns what a belief is about, so that a later one on the same replaces it.
func subject(b Line) string {
	if u := b.Text(upstreamField); u != "" {
		return u
	}
	message := b.Text(messageField)
	for _, t := range topics {
		if strings.Contains(message, t.part) {
			return t.subject
		}
	}
	return message
}

// Write writes lines for a person to read.
func Write(w io.Writer, lines []Line) error {
	for _, line := range lines {
		names := make([]string, 0, len(line.fields))
		for name := range line.fields {
			switch name {
			case requestField, hostField, messageField, timeField, levelField:
			default:
				names = append(names, name)
			}
		}
		slices.Sort(names)
		var b strings.Builder
		fmt.Fprintf(&b, "%s  %-16s %s", line.at.UTC().Format("15:04:05.000"), line.Text(hostField), line.Text(messageField))
		for _, name := range names {
			fmt.Fprintf(&b, " %s=%s", name, line.Text(name))
		}
		if _, err := fmt.Fprintln(w, b.String()); err != nil {
			return err
		}
	}
	return nil
}
