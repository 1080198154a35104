package membership

import (
	"math/rand/v2"
	"slices"

	"jackdawhinge/common/traffic"
)

// maxRecentChanges is how many changes of upstreams a host keeps for its followers. A follower that
// has missed more gets the complete list.
const maxRecentChanges = 256

// A Position is how far a host has followed another host's changes.
type Position struct {
	// Epoch identifies the other host's process; after its restart positions begin anew.
	Epoch uint64
	// Next is the number of changes that have been seen in the epoch.
	Next int64
}

// Changes are what a host sends to its followers: the configuration in force and the changes of
// the upstreams. They are immutable.
type Changes struct {
	configuration *traffic.Configuration
	end           Position
	recent        []traffic.UpstreamEntry
	all           []traffic.UpstreamEntry
	superseded    chan struct{}
}

// Configuration returns the configuration in force, or nil before there is one.
func (c *Changes) Configuration() *traffic.Configuration { return c.configuration }

// End returns the position after the last change.
func (c *Changes) End() Position { return c.end }

// Superseded returns a channel that is closed when there are newer changes.
func (c *Changes) Superseded() <-chan struct{} { return c.superseded }

// Since returns the changes of the upstreams after a position, or the complete list if the position
// is of another epoch or too old.
func (c *Changes) Since(p Position) traffic.UpstreamChange {
	missed := c.end.Next - p.Next
	if p.Epoch != c.end.Epoch || missed < 0 || missed > int64(len(c.recent)) {
		return traffic.UpstreamChange{Complete: true, Entries: c.all}
	}
	return traffic.UpstreamChange{Entries: c.recent[int64(len(c.recent))-missed:]}
}

// changeLog collects changes; only the control goroutine uses it.
type changeLog struct {
	end    Position
	recent []traffic.UpstreamEntry
}

func newChangeLog() changeLog {
	return changeLog{end: Position{Epoch: rand.Uint64()}}
}

func (l *changeLog) add(e traffic.UpstreamEntry) {
	l.recent = append(l.recent, e)
	if len(l.recent) > maxRecentChanges {
		l.recent = l.recent[len(l.recent)-maxRecentChanges:]
	}
	l.end.Next++
}

func (l *changeLog) snapshot(c *traffic.Configuration, upstreams map[string]traffic.Upstream) *Changes {
	changes := &Changes{configuration: c, end: l.end, recent: slices.Clone(l.recent), superseded: make(chan struct{})}
	for _, u := range upstreams {
		changes.all = append(changes.all, traffic.ListedEntry(u))
	}
	return changes
}
