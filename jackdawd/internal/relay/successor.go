package relay

import (
	"time"

	"jackdawhinge/common/traffic"
)

const (
	// reasonFull is the reason if the upstream that would take a request over is full.
	reasonFull = "upstreams-full"
	// reasonAvoided is the reason if all upstreams that could take a request over are avoided for recent failures.
	reasonAvoided = "upstreams-avoided"
	// reasonAttemptsBounded is the reason if the request was tried as often as it may be.
	reasonAttemptsBounded = "attempts-bounded"
	// reasonConnectionsBounded is the reason if this host uses its share of connections to the upstream.
	reasonConnectionsBounded = "connections-bounded"
	// reasonBudgetSpent is the reason if the budget allows no retry.
	reasonBudgetSpent = "budget-spent"
)

// nextUpstream returns the upstream of the next attempt, or nil if there is none.
func (j *job) nextUpstream() *traffic.Upstream {
	successor := j.successor
	if successor == nil {
		return j.place()
	}
	j.successor = nil
	j.placeAt(*successor)
	return successor.upstream
}

// findSuccessor reports whether another upstream is to take the request over from the current one, which is silent.
// A sound upstream may be silent for a moment, so that the response is only given up for one that is likely to
// continue it.
func (j *job) findSuccessor() bool {
	c := j.findCandidate()
	reason := j.successorDenial(c)
	if reason == "" {
		j.successor = &c
		return true
	}
	if last := j.steps[len(j.steps)-1]; last.Decision == Kept && last.Reason == reason {
		return false
	}
	j.addStep(Step{Decision: Kept, Upstream: j.current.ID, Candidates: c.step.Candidates, Avoided: c.step.Avoided, Reason: reason})
	return false
}

// successorDenial returns the reason why a candidate does not take the request over, or "" if it does. It then takes
// all that the next attempt needs.
func (j *job) successorDenial(c candidate) string {
	_, quarantined := j.findQuarantined()
	switch {
	case quarantined:
		return reasonQuarantined
	case len(j.attempted) >= maxAttempts:
		return reasonAttemptsBounded
	case c.upstream == nil:
		return reasonNoUpstream
	case c.avoided:
		return reasonAvoided
	case j.isFull(c.upstream) || j.wouldStartTooLate(c.upstream, c.choice.MaxDelay):
		return reasonFull
	case !j.Client.HasRoom(c.upstream.Address, j.maxConnections()):
		return reasonConnectionsBounded
	case !j.RetryBudgets.Allows(time.Now(), j.pool.Name):
		return reasonBudgetSpent
	}
	return j.takeSuccessor(c)
}

// takeSuccessor takes a place at a candidate if it is brittle, a retry from the budget, and the candidate's limit if
// it is cold. It returns the reason why it can't, or "". The budget and the limit come last, as they were not reached a
// moment ago and nothing gives them back.
func (j *job) takeSuccessor(c candidate) string {
	release, ok := j.takeBrittle(c.upstream, int(j.Loads.Load(time.Now(), c.upstream).Own)+1)
	switch {
	case !ok:
		return reasonBrittle
	case !j.RetryBudgets.TryWithdraw(time.Now(), j.pool.Name):
		release()
		return reasonBudgetSpent
	case !j.takeCold(c):
		release()
		return reasonCold
	}
	j.reserved = release
	return ""
}

// releaseReserved gives back the place that was reserved for an attempt that did not take place.
func (j *job) releaseReserved() {
	if j.reserved != nil {
		j.reserved()
	}
}
