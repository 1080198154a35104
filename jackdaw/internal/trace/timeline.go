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

// The names of log fields.
const (
	requestField  = "request"
	hostField     = "host"
	upstreamField = "upstream"
	messageField  = "msg"
	poolField     = "pool"
	rankField     = "rank"
	timeField     = "time"
	levelField    = "level"
)

// statePrefixes are the prefixes of messages on a host's state: its view of the configuration and
// of the upstreams, the hosts that it gets them from, and the levels of pool-wide admission.
var statePrefixes = []string{"membership: ", "fleet: ", "overload: "}

// maxLineBytes limits the length of a log line.
const maxLineBytes = 1 << 20

// A Line is one structured line of a host's log.
type Line struct {
	timestamp time.Time
	fields    map[string]any
}

// Time returns the time at which the line was logged.
func (l Line) Time() time.Time { return l.timestamp }

// Text returns the value of a field as text, empty if the line does not have it.
func (l Line) Text(field string) string {
	v, ok := l.fields[field]
	if !ok {
		return ""
	}
	return fmt.Sprint(v)
}

// A Collector collects the log lines of several hosts that are relevant to one request.
type Collector struct {
	requestID    string
	requestLines []Line
	stateLines   []Line
	skipped      int
}

// NewCollector returns an empty collector for a request ID.
func NewCollector(requestID string) *Collector {
	return &Collector{requestID: requestID}
}

// Read adds the lines of a log. Lines that are not JSON objects with a valid time are counted and
// skipped.
func (c *Collector) Read(r io.Reader) error {
	lines := bufio.NewScanner(r)
	lines.Buffer(nil, maxLineBytes)
	for lines.Scan() {
		// Log collectors may add a prefix to each line.
		start := strings.IndexByte(lines.Text(), '{')
		if start < 0 {
			c.skipped++
			continue
		}
		var line Line
		if err := json.Unmarshal(lines.Bytes()[start:], &line.fields); err != nil {
			c.skipped++
			continue
		}
		timestamp, err := time.Parse(time.RFC3339Nano, line.Text(timeField))
		if err != nil {
			c.skipped++
			continue
		}
		line.timestamp = timestamp
		c.add(line)
	}
	if err := lines.Err(); err != nil {
		return fmt.Errorf("read log: %w", err)
	}
	return nil
}

func (c *Collector) add(line Line) {
	switch {
	case line.Text(requestField) == c.requestID:
		c.requestLines = append(c.requestLines, line)
	case isStateMessage(line.Text(messageField)):
		c.stateLines = append(c.stateLines, line)
	}
}

func isStateMessage(message string) bool {
	return slices.ContainsFunc(statePrefixes, func(prefix string) bool { return strings.HasPrefix(message, prefix) })
}

// Skipped returns the number of lines that could not be decoded.
func (c *Collector) Skipped() int { return c.skipped }

// Timeline returns the request's lines by time, merged with the state that its hosts based their
// decisions on: for each host the last line on each topic before the request's first line there,
// and all until its last line there. It is empty if there is no line on the request.
func (c *Collector) Timeline() []Line {
	if len(c.requestLines) == 0 {
		return nil
	}
	byTime := func(a, b Line) int { return a.timestamp.Compare(b.timestamp) }
	slices.SortStableFunc(c.requestLines, byTime)
	slices.SortStableFunc(c.stateLines, byTime)
	lines := slices.Clone(c.requestLines)
	for host, v := range c.visits() {
		lines = append(lines, c.stateDuring(host, v)...)
	}
	lines = append(lines, c.levelChanges()...)
	slices.SortStableFunc(lines, byTime)
	return lines
}

// levelChanges returns, for each line of the request that pool-wide admission refused, the last change of the level
// that it was refused by. The host that computes the levels logs these for the whole region.
func (c *Collector) levelChanges() []Line {
	var changes []Line
	for _, refused := range c.requestLines {
		if refused.Text(rankField) == "" {
			continue
		}
		isChange := func(line Line) bool {
			return isLevelChange(line) && line.Text(poolField) == refused.Text(poolField) && line.Text(rankField) == refused.Text(rankField)
		}
		for _, line := range slices.Backward(c.stateLines) {
			if isChange(line) && !line.timestamp.After(refused.timestamp) {
				changes = append(changes, line)
				break
			}
		}
	}
	return changes
}

// isLevelChange reports whether a line tells of a change of a level of pool-wide admission.
func isLevelChange(line Line) bool {
	return strings.HasPrefix(line.Text(messageField), "overload: ") && line.Text(rankField) != ""
}

// A visit is the time from a request's first to its last line on one host, and the upstreams named
// there.
type visit struct {
	from, to  time.Time
	upstreams map[string]bool
}

// visits returns the request's visit to each host by the host's name.
func (c *Collector) visits() map[string]visit {
	visits := map[string]visit{}
	for _, line := range c.requestLines {
		host := line.Text(hostField)
		v, ok := visits[host]
		if !ok {
			v = visit{from: line.timestamp, upstreams: map[string]bool{}}
		}
		v.to = line.timestamp
		if upstream := line.Text(upstreamField); upstream != "" {
			v.upstreams[upstream] = true
		}
		visits[host] = v
	}
	return visits
}

// stateDuring returns the lines on a host's state at and during a visit that concern the fleet or
// the visit's upstreams.
func (c *Collector) stateDuring(host string, v visit) []Line {
	latest := map[string]Line{}
	var during []Line
	for _, line := range c.stateLines {
		upstream := line.Text(upstreamField)
		if line.Text(hostField) != host || isLevelChange(line) || (upstream != "" && !v.upstreams[upstream]) {
			continue
		}
		if line.timestamp.After(v.to) {
			break
		}
		if line.timestamp.After(v.from) {
			during = append(during, line)
			continue
		}
		latest[topic(line)] = line
	}
	for _, line := range latest {
		during = append(during, line)
	}
	slices.SortFunc(during, func(a, b Line) int {
		if order := a.timestamp.Compare(b.timestamp); order != 0 {
			return order
		}
		return cmp.Compare(a.Text(messageField), b.Text(messageField))
	})
	return during
}

// topicPatterns maps parts of messages to their topics; the first match counts.
var topicPatterns = []struct{ part, topic string }{
	{"overload: ", "levels in force"},
	{"configuration is in force", "configuration in force"},
	{"configuration may be older", "age of the configuration"},
	{"configuration is known in time", "age of the configuration"},
	{"configuration", "reads of the configuration"},
	{"upstreams", "reads of the upstreams"},
	{"reader", "reader"},
}

// topic returns the topic of a line on a host's state; a later line on the same topic supersedes
// it.
func topic(line Line) string {
	if upstream := line.Text(upstreamField); upstream != "" {
		return upstream
	}
	message := line.Text(messageField)
	for _, pattern := range topicPatterns {
		if strings.Contains(message, pattern.part) {
			return pattern.topic
		}
	}
	return message
}

// Write writes lines as readable text, one per line, with the fields sorted by name.
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
		fmt.Fprintf(&b, "%s  %-16s %s", line.timestamp.UTC().Format("15:04:05.000"), line.Text(hostField), line.Text(messageField))
		for _, name := range names {
			fmt.Fprintf(&b, " %s=%s", name, line.Text(name))
		}
		if _, err := fmt.Fprintln(w, b.String()); err != nil {
			return err
		}
	}
	return nil
}
