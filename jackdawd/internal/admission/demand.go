package admission

import (
	"math"
	"time"
)

const (
	// recentFor is the time over which requests count as what a workspace asks for now, and
	// usualFor the one over which they count as what it usually asks for.
	recentFor = 2 * time.Second
	usualFor  = 30 * time.Second
	// leastRecent is how many recent requests show a surge; with fewer it may be chance.
	leastRecent = 5
	// surgeOver is how many times more than that of all others a workspace's demand must have
	// grown to be a surge of its own.
	surgeOver = 1.5
	// forgottenBelow is the count of usual requests below which a workspace is forgotten.
	forgottenBelow = 0.01
	// sweepAbove is how many workspaces there must be for those to be looked for.
	sweepAbove = 64
)

// demand is what the workspaces ask of a pool at this host, now and usually.
//
// It answers a workspace that sends many times its usual: while upstreams are full, its
// requests are refused before those of workspaces that ask for what they always do. Large
// workspaces are no worse off for being large, nor is anyone when all grow together.
type demand struct {
	all         counts
	byWorkspace map[string]*counts
}

// counts are requests that fade with time.
type counts struct {
	recent, usual float64
	at            time.Time
}

func newDemand() demand { return demand{byWorkspace: map[string]*counts{}} }

// add takes in a request.
func (d *demand) add(now time.Time, workspace string) {
	c, ok := d.byWorkspace[workspace]
	if !ok {
		d.sweep(now)
		c = &counts{}
		d.byWorkspace[workspace] = c
	}
	c.add(now)
	d.all.add(now)
}

// surges reports whether a workspace's demand has grown far more than that of all others.
func (d *demand) surges(now time.Time, workspace string) bool {
	c, ok := d.byWorkspace[workspace]
	if !ok {
		return false
	}
	c.fade(now)
	d.all.fade(now)
	others := counts{recent: d.all.recent - c.recent, usual: d.all.usual - c.usual}
	return c.recent >= leastRecent && others.usual > forgottenBelow && c.growth() > surgeOver*others.growth()
}

// sweep forgets workspaces that ask for nothing any more.
func (d *demand) sweep(now time.Time) {
	if len(d.byWorkspace) < sweepAbove {
		return
	}
	for name, c := range d.byWorkspace {
		if c.fade(now); c.usual < forgottenBelow {
			delete(d.byWorkspace, name)
		}
	}
}

func (c *counts) add(now time.Time) {
	c.fade(now)
	c.recent++
	c.usual++
}

func (c *counts) fade(now time.Time) {
	age := now.Sub(c.at).Seconds()
	c.recent *= math.Exp(-age / recentFor.Seconds())
	c.usual *= math.Exp(-age / usualFor.Seconds())
	c.at = now
}

// growth returns how the recent requests compare with the usual ones; the same factor is
// in everybody's.
func (c *counts) growth() float64 { return c.recent / c.usual }
