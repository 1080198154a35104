package placement

import (
	"math"
	"time"
)

const (
	// ownShareSmoothing is the pseudo-count that is added to this host's own requests and to the
	// reported ones before they are compared, so that one request alone is weak evidence.
	ownShareSmoothing = 2
	// minArrived replaces zero arrivals in a division.
	minArrived = 1e-9
)

// A Load is what a host knows of an upstream's requests.
type Load struct {
	// Own is the number of this host's requests. Others is the number of all other hosts' requests
	// as of the newest report, and Age is the age of that report.
	Own    float64
	Others float64
	Age    time.Duration
}

// Requests returns the estimated number of the upstream's requests.
func (l Load) Requests() float64 { return l.Own + l.Others*reportWeight(l.Age) }

// reportWeight returns the weight of a report by its age: 1 when new, falling linearly to 0.
func reportWeight(age time.Duration) float64 { return ageWeight(age, reportTTL) }

// ageWeight returns the weight of a report by its age: 1 when new, falling linearly to 0 at ttl.
func ageWeight(age, ttl time.Duration) float64 {
	if age >= ttl {
		return 0
	}
	return 1 - float64(age)/float64(ttl)
}

// scaledByOwn returns the load with more requests of others if this host has more than its share of
// the requests there. Where this host sends several, other hosts do as well, and the reports only
// show it later.
func (l Load) scaledByOwn(hosts int) Load {
	if hosts > 1 {
		l.Others *= max(1, (ownShareSmoothing+l.Own)/(ownShareSmoothing+l.Others/float64(hosts-1)))
	}
	return l
}

// project returns how many of the other hosts' requests are expected to remain since the report,
// and how many to have arrived if the rate is unchanged. lifetime is the mean duration of requests
// in progress.
func (l Load) project(lifetime time.Duration) (remaining, arrived float64) {
	remaining = l.Others
	if lifetime > 0 {
		remaining *= math.Exp(-l.Age.Seconds() / lifetime.Seconds())
	}
	return remaining, l.Others - remaining
}

// acceptRatio returns the ratio of its requests that an upstream can go on accepting without
// exceeding the limit; 1 and more means all of them.
//
// The numbers of requests that have ended and arrived since the report are known on average only,
// with a variance that grows with the report's age. The margin is the distance to keep from the
// limit, in standard deviations.
func (l Load) acceptRatio(limit, margin float64, lifetime time.Duration) float64 {
	remaining, arrived := l.project(lifetime)
	endVariance := 0.0
	if l.Others > 0 {
		endVariance = remaining * arrived / l.Others
	}
	// A ratio p results in own + remaining + p*arrived requests with the variance
	// v = endVariance + p*arrived. The largest v that keeps them within the limit solves
	// v + margin*sqrt(v) = limit - own - remaining + endVariance.
	room := max(limit-l.Own-remaining+endVariance, 0)
	deviation := (math.Sqrt(margin*margin+4*room) - margin) / 2
	return (deviation*deviation - endVariance) / max(arrived, minArrived)
}
