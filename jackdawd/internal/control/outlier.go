package control

import (
	"maps"
	"time"
)

// Result is the result of one request to another host or upstream.
type Result string

// The results.
const (
	// Succeeded means that the request succeeded.
	Succeeded Result = "good"
	// Failed means an error response, whose cause may be the request itself.
	Failed Result = "failed"
	// TimedOut means that the response did not begin, or paused, for longer than the timeout.
	TimedOut Result = "silent"
	// ConnectionFailed means that the connection failed or was lost.
	ConnectionFailed Result = "broken"
)

const (
	// avoidThreshold is the score from which a host is avoided: three failures in a
	// row, or more with successes in between.
	avoidThreshold = 3
	// successCredit is what one success subtracts from the score. With it the score of a
	// host that fails less than one request in three stays near zero, and that of one
	// that fails three in five reaches avoidThreshold after about ten requests.
	successCredit = 0.5
	// scoreAfterAvoidance is the score a host gets when it is avoided: afterwards one
	// success and one failure avoid it again; further successes make that less likely.
	scoreAfterAvoidance = avoidThreshold - successCredit
	// successesToReset is how many successes in a row clear a host's record.
	successesToReset = 20
	// An avoidance lasts minAvoidance at first and doubles each time, up to maxAvoidance.
	minAvoidance = time.Second
	maxAvoidance = 30 * time.Second
	// maxCredit is how far successes can take the score below zero, so that a host that
	// answers here needs more failures before peer scores make it avoided.
	maxCredit = 2
	// peerScoreFactor weights the sum of peers' scores that is added to this host's own
	// score, up to maxPeerScore. Without a failure of its own a host avoids no other;
	// otherwise peers with a failing network could make all hosts avoid an upstream.
	peerScoreFactor = 0.5
	maxPeerScore    = scoreAfterAvoidance
	// minReportedScore is the score from which peers are told; reportWindow is how long
	// after the last failure.
	minReportedScore = 1
	reportWindow     = 3 * time.Second
	// maxAvoidedDivisor limits the avoided hosts of a group to 1 in 3, not counting those
	// that do not answer at all.
	maxAvoidedDivisor = 3
	// maxSilence is how long a sound host may be silent, from the first timeout until requests that
	// are sent after its avoidance succeed.
	maxSilence = 3 * time.Second
	// successWindow is how long a success shows that this host's own network works: twice
	// the target of the slowest classes.
	successWindow = 2 * time.Second
)

// scoreWeights is what each result adds to the score. Up to a tenth of some callers'
// requests fail wherever they run; those alone never reach avoidThreshold.
var scoreWeights = map[Result]float64{Failed: 0.8, TimedOut: 1, ConnectionFailed: 1}

// An OutlierDetector detects failing hosts from the results of this host's own calls and from
// the scores that peers report. It is not safe for concurrent use.
type OutlierDetector struct {
	hosts map[string]*hostRecord
	// peerScores are the sums of the scores that peers reported.
	peerScores map[string]float64
	// lastSuccess is the time of each host's last success.
	lastSuccess map[string]time.Time
}

// hostRecord holds the results of calls to one host.
type hostRecord struct {
	score                float64
	consecutiveSuccesses int
	// consecutiveUnanswered counts the latest requests without any response.
	consecutiveUnanswered int
	lastFailure           time.Time
	avoidance             time.Duration
	avoidedUntil          time.Time
	// silence is the silence that lasts; nil if the host has responded, or failed otherwise, since.
	silence *silence
}

// silence is a time in which requests timed out and none succeeded, and the record before it.
type silence struct {
	start     time.Time
	score     float64
	avoidance time.Duration
}

// beginSilence records the first timeout after a response of a host without recent failures.
func (r *hostRecord) beginSilence(now time.Time) {
	if r.silence == nil && r.consecutiveUnanswered == 0 && r.score < scoreWeights[TimedOut] {
		r.silence = &silence{start: now, score: r.score, avoidance: r.avoidance}
	}
}

// endSilence makes a short silence count as one failure, however many requests waited meanwhile.
func (r *hostRecord) endSilence(now time.Time) {
	if s := r.silence; s != nil && now.Sub(s.start) < maxSilence {
		r.score, r.avoidance = min(s.score+scoreWeights[TimedOut], scoreAfterAvoidance), s.avoidance
	}
	r.silence = nil
}

// NewOutlierDetector returns a detector without any results.
func NewOutlierDetector() *OutlierDetector {
	return &OutlierDetector{hosts: map[string]*hostRecord{}, lastSuccess: map[string]time.Time{}}
}

// Observe records the result of a request to a host, and reports whether the host is newly avoided.
func (d *OutlierDetector) Observe(now time.Time, name string, result Result) bool {
	if result == Succeeded {
		d.lastSuccess[name] = now
	}
	r, known := d.hosts[name]
	if !known {
		if result == Succeeded {
			return false
		}
		r = &hostRecord{}
		d.hosts[name] = r
	}
	if result == Succeeded {
		r.endSilence(now)
		r.score = max(r.score-successCredit, -maxCredit)
		r.consecutiveSuccesses++
		r.consecutiveUnanswered = 0
		// A flapping host also succeeds at times. Clearing its record at the first success
		// would move its chats back and forth with every flap.
		if r.consecutiveSuccesses >= successesToReset {
			delete(d.hosts, name)
		}
		return false
	}
	if result == TimedOut {
		r.beginSilence(now)
	} else {
		r.silence = nil
	}
	r.consecutiveSuccesses, r.lastFailure = 0, now
	r.consecutiveUnanswered++
	if result == Failed {
		r.consecutiveUnanswered = 0
	}
	if now.Before(r.avoidedUntil) {
		// Requests sent before the avoidance still fail, which is no new information.
		return false
	}
	r.score += scoreWeights[result]
	if r.score+min(peerScoreFactor*d.peerScores[name], maxPeerScore) < avoidThreshold {
		return false
	}
	r.score = scoreAfterAvoidance
	r.avoidance = min(max(2*r.avoidance, minAvoidance), maxAvoidance)
	r.avoidedUntil = now.Add(r.avoidance)
	return true
}

// Scores returns the scores of recently failing hosts, to be reported to peers.
func (d *OutlierDetector) Scores(now time.Time) map[string]float64 {
	scores := map[string]float64{}
	for name, r := range d.hosts {
		if r.score >= minReportedScore && now.Sub(r.lastFailure) < reportWindow {
			scores[name] = r.score
		}
	}
	return scores
}

// SetPeerScores replaces the peers' scores; each is the sum over all other hosts.
func (d *OutlierDetector) SetPeerScores(scores map[string]float64) { d.peerScores = scores }

// Avoided returns the names of the group's hosts to avoid: those that do not answer at
// all, and those that fail, unless these are more than a third of the rest.
func (d *OutlierDetector) Avoided(now time.Time, group []string) map[string]bool {
	avoided, failing := map[string]bool{}, map[string]bool{}
	networkUp := false
	for _, name := range group {
		r, ok := d.hosts[name]
		switch {
		case ok && now.Before(r.avoidedUntil) && r.consecutiveUnanswered >= avoidThreshold:
			avoided[name] = true
		case ok && now.Before(r.avoidedUntil):
			failing[name] = true
		}
		lastSuccess, known := d.lastSuccess[name]
		networkUp = networkUp || (!avoided[name] && known && now.Sub(lastSuccess) < successWindow)
	}
	// When this host's own network fails, all others seem down, and avoiding them all would
	// leave no upstream. While some answer, the network works and the others are down: when
	// the limit of a third applied then too, with six engines in ten lost, six requests in
	// ten were sent to them until their list entries lapsed.
	if !networkUp && len(avoided)*maxAvoidedDivisor > len(group) {
		avoided = map[string]bool{}
	}
	if len(failing)*maxAvoidedDivisor <= len(group)-len(avoided) {
		maps.Copy(avoided, failing)
	}
	return avoided
}

// Remove removes the data on a host that has restarted.
func (d *OutlierDetector) Remove(name string) {
	delete(d.hosts, name)
	delete(d.peerScores, name)
	delete(d.lastSuccess, name)
}

// RetainListed removes the data on hosts that are not in listed.
func (d *OutlierDetector) RetainListed(listed map[string]bool) {
	for name := range d.hosts {
		if !listed[name] {
			delete(d.hosts, name)
		}
	}
	for name := range d.lastSuccess {
		if !listed[name] {
			delete(d.lastSuccess, name)
		}
	}
}
