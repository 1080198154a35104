package overload

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"strings"
	"time"

	"github.com/sirupsen/logrus"
)

const (
	// minLoggedChange is the least change of a rank's ratio that is logged.
	minLoggedChange = 0.1
	// maxLogGap is the time without computed levels after which the logged ones are forgotten: another host has been
	// the root.
	maxLogGap = 2 * time.Second
	// maxLoggedWorkspaces bounds the workspaces that a line names.
	maxLoggedWorkspaces = 4
)

// A levelLog logs the changes of levels at the host that computes them.
type levelLog struct {
	updatedAt time.Time
	limited   map[rankKey]loggedRank
}

type rankKey struct {
	pool uint32
	rank int
}

// A loggedRank is what was logged last of a rank that is limited.
type loggedRank struct {
	ratio float64
	since time.Time
}

// update logs the ranks that became limited or free, and those whose ratio changed by minLoggedChange or more; nil
// stands for levels without pools.
func (l *levelLog) update(now time.Time, levels *Levels, names *Names) {
	if now.Sub(l.updatedAt) > maxLogGap {
		l.limited = map[rankKey]loggedRank{}
	}
	l.updatedAt = now
	if levels == nil {
		levels = &Levels{}
	}
	l.logFreed(now, levels, names)
	for _, pool := range slices.Sorted(maps.Keys(levels.Pools)) {
		p := levels.Pools[pool]
		for _, rank := range slices.Sorted(maps.Keys(p.Ranks)) {
			l.logLimited(now, rankKey{pool, rank}, p, names)
		}
	}
}

// logFreed logs the ranks that are no longer limited.
func (l *levelLog) logFreed(now time.Time, levels *Levels, names *Names) {
	keys := slices.SortedFunc(maps.Keys(l.limited), func(x, y rankKey) int {
		return cmp.Or(cmp.Compare(x.pool, y.pool), cmp.Compare(x.rank, y.rank))
	})
	for _, key := range keys {
		logged := l.limited[key]
		if p := levels.Pools[key.pool]; p != nil {
			if _, limited := p.Ranks[key.rank]; limited {
				continue
			}
		}
		delete(l.limited, key)
		logrus.WithFields(logrus.Fields{"pool": names.Pool(key.pool), "rank": key.rank, "limited-for": now.Sub(logged.since).String()}).Info("overload: A rank is no longer limited.")
	}
}

func (l *levelLog) logLimited(now time.Time, key rankKey, p *PoolLevels, names *Names) {
	ratio := p.lowestRatio(key.rank)
	logged, wasLimited := l.limited[key]
	message := "overload: The admitted ratio of a rank changed."
	switch {
	case !wasLimited:
		logged.since, message = now, "overload: A rank is limited."
	case math.Abs(ratio-logged.ratio) < minLoggedChange:
		return
	}
	logged.ratio = ratio
	l.limited[key] = logged
	limited := p.LimitedWorkspaces()
	var workspaces []string
	for _, id := range limited[:min(len(limited), maxLoggedWorkspaces)] {
		workspaces = append(workspaces, names.Workspace(id))
	}
	level := p.Ranks[key.rank]
	logrus.WithFields(logrus.Fields{
		"pool": names.Pool(key.pool), "rank": key.rank, "ratio": roundToHundredth(ratio), "share": finite(level.Share),
		"others": roundToHundredth(level.Others), "late": roundToHundredth(level.Late), "excess": roundToHundredth(level.Excess),
		"limited-workspaces": len(limited), "workspaces": strings.Join(workspaces, ","), "retry-after": p.RetryAfter.String(),
		"budget": math.Round(p.basis.budget), "demand": math.Round(p.basis.demand), "running": p.basis.running, "slots": p.basis.slots,
	}).Info(message)
}

func roundToHundredth(v float64) float64 { return math.Round(v*100) / 100 }

// finite returns a rounded value for logs, which can't hold infinite ones.
func finite(v float64) any {
	if math.IsInf(v, 0) {
		return "unlimited"
	}
	return roundToHundredth(v)
}
