package membership

import (
	"math/rand/v2"
	"slices"

	"jackdawhinge/common/traffic"
)

// keptChanges is how many changes of upstreams a host can tell another one by one;
// one that is further behind is told all upstreams.
const keptChanges = 256

// A Position is how far a host has followed another one's changes.
type Position struct {
	// Epoch identifies the other host's process; after its restart positions begin anew.
	Epoch uint64
	Next  int64
}

// Changes are what one host can tell another: the configuration in force, and what
// has changed of the upstreams. They are immutable.
type Changes struct {
	configuration *traffic.Configuration
	end           Position
	recent        []traffic.UpstreamEntry
	listed        []traffic.UpstreamEntry
	superseded    chan struct{}
}

// Configuration returns the configuration in force, or nil before there is one.
func (c *Changes) Configuration() *traffic.Configuration { return c.configuration }

// End returns the position after the last change.
func (c *Changes) End() Position { return c.end }

// Superseded is closed when there are newer changes.
func (c *Changes) Superseded() <-chan struct{} { return c.superseded }

// Since returns what has changed of the upstreams after a position.
func (c *Changes) Since(p Position) traffic.UpstreamChange {
	missed := c.end.Next - p.Next
	if p.Epoch != c.end.Epoch || missed < 0 || missed > int64(len(c.recent)) {
		return traffic.UpstreamChange{Whole: true, Entries: c.listed}
	}
	return traffic.UpstreamChange{Entries: c.recent[int64(len(c.recent))-missed:]}
}

// changeLog gathers changes on the control goroutine.
type changeLog struct {
	end    Position
	recent []traffic.UpstreamEntry
}

func newChangeLog() changeLog {
	return changeLog{end: Position{Epoch: rand.Uint64()}}
}

func (l *changeLog) add(e traffic.UpstreamEntry) {
	l.recent = append(l.recent, e)
	if len(l.recent) > keptChanges {
		l.recent = l.recent[len(l.recent)-keptChanges:]
	}
	l.end.Next++
}

func (l *changeLog) changes(c *traffic.Configuration, listed map[string]traffic.Upstream) *Changes {
	out := &Changes{configuration: c, end: l.end, recent: slices.Clone(l.recent), superseded: make(chan struct{})}
	for _, u := range listed {
		out.listed = append(out.listed, traffic.Listed(u))
	}
	return out
}
