package admission

import (
	"math"
	"time"
)

const (
	// recentWindow is the time over which a workspace's current demand is measured, and
	// baselineWindow the time over which its usual demand is.
	recentWindow   = 2 * time.Second
	baselineWindow = 30 * time.Second
	// minRecentRequests is the least number of recent requests in a surge. Fewer may be random.
	minRecentRequests = 5
	// surgeThreshold is the ratio of a workspace's growth to that of all others above which the
	// workspace surges.
	surgeThreshold = 1.5
	// minBaselineCount is the baseline below which a workspace is dropped.
	minBaselineCount = 0.01
	// sweepThreshold is the number of workspaces from which idle ones are searched for.
	sweepThreshold = 64
)

// demand tracks the current and usual demand of workspaces for a pool at this host.
//
// While upstreams are full, a workspace that sends many times its usual requests is refused before
// workspaces with their usual demand. Large workspaces have no disadvantage from their size, nor
// has any workspace when all grow together.
type demand struct {
	all         decayingCounts
	byWorkspace map[string]*decayingCounts
}

// decayingCounts are request counts that decay exponentially over the two windows.
type decayingCounts struct {
	recent, baseline float64
	updatedAt        time.Time
}

func newDemand() demand { return demand{byWorkspace: map[string]*decayingCounts{}} }

// add records a request.
func (d *demand) add(now time.Time, workspace string) {
	c, ok := d.byWorkspace[workspace]
	if !ok {
		d.sweep(now)
		c = &decayingCounts{}
		d.byWorkspace[workspace] = c
	}
	c.add(now)
	d.all.add(now)
}

// isSurging reports whether a workspace's demand has grown far more than that of all others.
func (d *demand) isSurging(now time.Time, workspace string) bool {
	c, ok := d.byWorkspace[workspace]
	if !ok {
		return false
	}
	c.decay(now)
	d.all.decay(now)
	others := decayingCounts{recent: d.all.recent - c.recent, baseline: d.all.baseline - c.baseline}
	return c.recent >= minRecentRequests && others.baseline > minBaselineCount && c.growth() > surgeThreshold*others.growth()
}

// sweep drops idle workspaces.
func (d *demand) sweep(now time.Time) {
	if len(d.byWorkspace) < sweepThreshold {
		return
	}
	for name, c := range d.byWorkspace {
		if c.decay(now); c.baseline < minBaselineCount {
			delete(d.byWorkspace, name)
		}
	}
}

func (c *decayingCounts) add(now time.Time) {
	c.decay(now)
	c.recent++
	c.baseline++
}

func (c *decayingCounts) decay(now time.Time) {
	age := now.Sub(c.updatedAt).Seconds()
	c.recent *= math.Exp(-age / recentWindow.Seconds())
	c.baseline *= math.Exp(-age / baselineWindow.Seconds())
	c.updatedAt = now
}

// growth returns the ratio of recent to baseline requests. It is not normalized by the windows, as
// this factor is the same for all workspaces.
func (c *decayingCounts) growth() float64 { return c.recent / c.baseline }
