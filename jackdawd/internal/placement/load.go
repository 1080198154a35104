package placement

import (
	"math"
	"time"
)

const (
	// newsWeight is how many requests of this host's own, against what was told of an upstream, say as much
	// as the news itself.
	newsWeight = 2
	// leastArrived stands for no requests at all where they are divided by.
	leastArrived = 1e-9
)

// A Load is what a host knows of an upstream's requests.
type Load struct {
	// Own are this host's, Others those that all other hosts had there some time ago, which is Age.
	Own    float64
	Others float64
	Age    time.Duration
}

// Requests returns how many requests the upstream is thought to have.
func (l Load) Requests() float64 { return l.Own + l.Others*remembered(l.Age) }

// remembered returns how much of what was told some time ago still counts.
func remembered(age time.Duration) float64 { return max(1-float64(age)/float64(toldLifetime), 0) }

// withOwnEvidence returns the load with more requests of others if this host has more than its part there: where it sends
// several, other hosts do, too, and the news tells of it only later.
func (l Load) withOwnEvidence(hosts int) Load {
	if hosts > 1 {
		l.Others *= max(1, (newsWeight+l.Own)/(newsWeight+l.Others/float64(hosts-1)))
	}
	return l
}

// since returns how many of other hosts' requests are still there, on average, and how many have arrived since then
// if they went on as before; lifetime is how long requests in progress usually last.
func (l Load) since(lifetime time.Duration) (remaining, arrived float64) {
	remaining = l.Others
	if lifetime > 0 {
		remaining *= math.Exp(-l.Age.Seconds() / lifetime.Seconds())
	}
	return remaining, l.Others - remaining
}

// acceptance returns the part of its requests that an upstream can go on taking without having more than the limit;
// 1 and more is all of them.
//
// What has ended since the news and what has arrived is known on average only, and scatters the wider the older the
// news is. So many standard deviations as the margin stay below the limit.
func (l Load) acceptance(limit, margin float64, lifetime time.Duration) float64 {
	remaining, arrived := l.since(lifetime)
	ending := 0.0
	if l.Others > 0 {
		ending = remaining * arrived / l.Others
	}
	// A part p leaves own + remaining + p*arrived requests with the variance v = ending + p*arrived. The largest v that
	// keeps them within the limit solves v + margin*sqrt(v) = limit - own - remaining + ending.
	room := max(limit-l.Own-remaining+ending, 0)
	deviation := (math.Sqrt(margin*margin+4*room) - margin) / 2
	return (deviation*deviation - ending) / max(arrived, leastArrived)
}
