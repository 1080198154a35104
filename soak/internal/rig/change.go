package rig

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"jackdawhinge/common/traffic"
	"jackdawhinge/soak/internal/verdict"
)

// A change is a setting that operators change and restore.
type change string

// The changes. A new key stays.
const (
	lowerTimeouts    change = "lower-timeouts"
	changeWeights    change = "change-weights"
	removeScan       change = "remove-scan"
	removeDigest     change = "remove-digest"
	lowerIdleTimeout change = "lower-idle-timeout"
	addKey           change = "add-key"
)

const (
	usualIdleTimeout   = 15 * time.Second
	loweredIdleTimeout = time.Second
	// maxChangeInterval is the longest time between two changes.
	maxChangeInterval = 500 * time.Millisecond
)

// An idleTimeout is one that was published at a time.
type idleTimeout struct {
	publishedAt time.Time
	timeout     time.Duration
}

var changes = []change{lowerTimeouts, changeWeights, removeScan, removeDigest, lowerIdleTimeout, addKey}

// changeConfiguration changes settings and restores them, one after the other, and restores all at the end.
func (f *Fleet) changeConfiguration(target int, d time.Duration) {
	random := rand.New(rand.NewPCG(f.seed, uint64(target)))
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(time.Duration(random.Int64N(int64(maxChangeInterval)))) {
		f.operator.toggle(changes[random.IntN(len(changes))])
	}
	for _, c := range changes {
		if f.operator.isChanged(c) {
			f.operator.toggle(c)
		}
	}
}

func (o *operator) isChanged(c change) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.changes[c]
}

// toggle publishes a configuration with a change, or without it if it is in force.
func (o *operator) toggle(c change) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if c == addKey {
		o.addedKeys++
		o.keys = append(o.keys, fmt.Sprintf("added-%d", o.addedKeys))
	}
	o.changes[c] = c != addKey && !o.changes[c]
	o.publishNext()
	if c == lowerIdleTimeout {
		o.idleTimeouts = append(o.idleTimeouts, idleTimeout{time.Now(), o.idleTimeout()})
	}
}

// changeRoutes returns the routes as changed; the lock must be held.
func (o *operator) changeRoutes(routes []traffic.Route) []traffic.Route {
	for i := range routes {
		r := &routes[i]
		if o.changes[lowerTimeouts] {
			r.Timeout = verdict.Route(r.Name).LeastTimeout()
		}
		switch {
		case !o.changes[changeWeights]:
		case r.Name == string(verdict.Scan):
			r.Destinations = []traffic.Destination{{Pool: "mailbox", Weight: 3}, {Pool: "reader", Weight: 1}}
		default:
			r.Destinations[0].Weight = 3
		}
	}
	return slices.DeleteFunc(routes, func(r traffic.Route) bool {
		return (o.changes[removeScan] && r.Name == string(verdict.Scan)) || (o.changes[removeDigest] && r.Name == string(verdict.Digest))
	})
}

// idleTimeout returns the configured idle timeout; the lock must be held.
func (o *operator) idleTimeout() time.Duration {
	if o.changes[lowerIdleTimeout] {
		return loweredIdleTimeout
	}
	return usualIdleTimeout
}

// changesIdleTimeout reports whether the idle timeout is changed in this run.
func (o *operator) changesIdleTimeout() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return len(o.idleTimeouts) > 0
}

// maxKeepTime returns how long callers keep an idle connection: four fifths of the idle timeout that is in force on
// all hosts. They do not know of one that was lowered until then.
func (o *operator) maxKeepTime() time.Duration {
	o.mu.Lock()
	defer o.mu.Unlock()
	timeout := usualIdleTimeout
	for _, t := range o.idleTimeouts {
		if time.Since(t.publishedAt) >= verdict.MaxConfigDelay {
			timeout = t.timeout
		}
	}
	return timeout * 4 / 5
}
