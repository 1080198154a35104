package relay

import (
	"net/http"
	"time"

	"jackdawhinge/common/traffic"
	"jackdawhinge/jackdawd/internal/admission"
	"jackdawhinge/jackdawd/internal/work"
)

const (
	// patienceShare is the part of the time up to its target that a request may be expected to
	// wait. What hosts know of an engine's queue is half a second old, in which others have sent
	// as much again; and the shorter the queues, the sooner service is whole after a surge.
	// With all of the time, half and a quarter of it one kind of request in a surge of twelve
	// times the usual was answered in time 1,068, 1,103 and 1,154 times of 2,070.
	patienceShare = 0.25
	// servicePatienceShare is the same for plain services, which tell of their queues in each
	// answer, every few milliseconds.
	servicePatienceShare = 0.75
	// surgingShare is the part of that for requests of a workspace that sends many times its
	// usual. Queues are then no longer than it lets them, and all others find room.
	surgingShare = 0.5
	// surgingRanks is by how many ranks such requests are less urgent: half of those there are.
	surgingRanks = 5
	// latePatienceShare is the part of its whole target that a request may wait whose target
	// can hardly be met any more: it still has a use, but not in the place of one that can be in time.
	latePatienceShare = 0.0625
)

// tooLateReason is the reason for which a request that found no room was not tried.
const tooLateReason = "begins-too-late"

// admissionRequest returns what admission must know of the request.
func (j *job) admissionRequest() admission.Request {
	return admission.Request{Pool: j.pool.Name, Class: j.route.Name, Workspace: j.workspace.Name, Rank: j.urgency(), Target: j.route.Target}
}

// patience returns how long the request may wait at an upstream and still begin in time.
func (j *job) patience() time.Duration {
	if j.begun {
		// The rest of an answer that the caller has begun to read had its turn.
		return longestTime
	}
	inTime := j.route.Target - j.waited - time.Since(j.arrived) - j.Admission.Begins(j.route.Name)
	share := servicePatienceShare
	if j.pool.Engine {
		share = patienceShare
	}
	if j.precedence == admission.Surging {
		share *= surgingShare
	}
	return max(time.Duration(share*float64(inTime)), time.Duration(latePatienceShare*float64(j.route.Target)))
}

// setPrecedence finds out how the request stands to others that want the same upstreams.
func (j *job) setPrecedence() {
	// It was of another rank if its class was owed its least share at an earlier try.
	j.precedence = admission.Usual
	j.precedence = j.Admission.Precedence(time.Now(), j.admissionRequest())
}

// urgency returns the rank of the request: one of a class that is owed its least share is as
// urgent as any, and those of a workspace that surges come after all others, or engines that
// are full of them would begin with theirs first.
func (j *job) urgency() int {
	rank := urgency(j.workspace, j.route)
	switch j.precedence {
	case admission.Owed:
		return 0
	case admission.Surging:
		return min(rank+surgingRanks, lowestUrgency)
	}
	return rank
}

// delayAt returns how long the request would wait at an upstream.
func (j *job) delayAt(u *traffic.Upstream) time.Duration {
	now := time.Now()
	return j.Admission.Delay(now, j.admissionRequest(), u.Start(), j.Loads.Backlog(now, u))
}

// stuckAt reports whether requests of this host wait at an upstream while the pool has room.
// In an overload they wait everywhere, and prompts that went to and fro would be read again.
func (j *job) stuckAt(u *traffic.Upstream) bool {
	now := time.Now()
	return j.Admission.Overloaded(now, j.pool.Name) == 0 && j.Admission.Stuck(now, u.Start())
}

// beginsTooLate reports whether the request would wait at an upstream for longer than it
// may, or for as long as a more urgent one that was just refused there.
func (j *job) beginsTooLate(u *traffic.Upstream, patience time.Duration) bool {
	if j.begun {
		return false
	}
	return j.delay > patience || j.Admission.Behind(time.Now(), j.admissionRequest(), u.Start())
}

// overload returns the refusal of a request that would wait for too long.
func (j *job) overload(u *traffic.Upstream, delay time.Duration) *work.Refusal {
	now := time.Now()
	if j.precedence == admission.Surging {
		j.Admission.RefusedSurge(now, j.pool.Name)
	} else {
		j.Admission.Refused(now, j.admissionRequest(), u.Start())
	}
	after := max(delay, j.Admission.Overloaded(now, j.pool.Name), retryFull)
	return work.Refuse(http.StatusServiceUnavailable, work.Overloaded, "it would begin too late, after %s", delay.Round(time.Millisecond)).Retry(after)
}
