package relay

import (
	"net/http"
	"time"

	"jackdawhinge/common/traffic"
	"jackdawhinge/jackdawd/internal/admission"
	"jackdawhinge/jackdawd/internal/placement"
	"jackdawhinge/jackdawd/internal/work"
)

const (
	// engineMaxDelayRatio is the fraction of the time left until its target that a request may be
	// expected to queue at an engine. Load reports of engines are half a second old, and other
	// hosts send about as many requests again in that time; shorter queues also drain sooner after
	// a surge. With ratios of 1, 0.5 and 0.25, a surge of twelve times the usual load had 1,068,
	// 1,103 and 1,154 of 2,070 requests of one kind answered on time.
	engineMaxDelayRatio = 0.25
	// serviceMaxDelayRatio is the same fraction for plain services, which report their queues in
	// each response, every few milliseconds.
	serviceMaxDelayRatio = 0.75
	// surgingMaxDelayRatio reduces the maximum delay for a workspace that sends many times its usual
	// load. It bounds the queues that such a workspace builds, so that the requests of others still
	// find room.
	surgingMaxDelayRatio = 0.5
	// surgingUrgencyPenalty is added to the urgency rank of such requests: half of all ranks.
	surgingUrgencyPenalty = 5
	// lateMaxDelayRatio is the fraction of its whole target that a request may queue when it can
	// hardly meet the target any more. A late response is still of use, but must not displace one
	// that can be on time.
	lateMaxDelayRatio = 0.0625
)

// reasonTooLate is the reason of a request that was refused because it would queue for too long.
const reasonTooLate = "begins-too-late"

// admissionRequest returns the attributes of the request that admission control decides by.
func (j *job) admissionRequest() admission.Request {
	return admission.Request{Pool: j.pool.Name, Class: j.route.Name, Workspace: j.workspace.Name, Rank: j.urgency(), Target: j.route.FirstByteTarget}
}

// maxDelay returns how long the request may queue at an upstream and still start on time.
func (j *job) maxDelay() time.Duration {
	switch {
	case j.headerSent:
		// The rest of a response that the caller already reads was admitted with its start.
		return defaultTimeout
	case j.software != 0:
		// A stream that its caller takes up again can go to fewer upstreams than a new one.
		return j.route.FirstByteTarget
	}
	untilTarget := j.route.FirstByteTarget - j.priorWait - time.Since(j.arrived) - j.Admission.TimeToFirstByte(j.route.Name)
	ratio := serviceMaxDelayRatio
	if j.pool.Engine && !j.pooled.Known {
		ratio = engineMaxDelayRatio
	}
	if j.precedence == admission.Surging {
		ratio *= surgingMaxDelayRatio
	}
	return max(time.Duration(ratio*float64(untilTarget)), time.Duration(lateMaxDelayRatio*float64(j.route.FirstByteTarget)))
}

// setPrecedence sets the precedence of the request over others to the same upstreams.
func (j *job) setPrecedence() {
	// Reset first, because urgency depends on the precedence of the previous attempt.
	j.precedence = admission.Usual
	if j.pooled.Known {
		if j.pooled.Excess {
			j.precedence = admission.Surging
		}
		return
	}
	j.precedence = j.Admission.Precedence(time.Now(), j.admissionRequest())
}

// urgency returns the urgency rank of the request, 0 being the most urgent. A class below its
// minimum share is as urgent as any. A surging workspace comes after all others, because engines
// whose queues it fills would otherwise start its requests first.
func (j *job) urgency() int {
	rank := baseUrgency(j.workspace, j.route)
	switch j.precedence {
	case admission.BelowMinShare:
		return 0
	case admission.Surging:
		return min(rank+surgingUrgencyPenalty, lowestUrgency)
	}
	return rank
}

// expectedDelay returns how long the request would queue at an upstream.
func (j *job) expectedDelay(u *traffic.Upstream) time.Duration {
	return j.Admission.Delay(time.Now(), j.admissionRequest(), u.Instance(), j.backlog(u))
}

// backlog returns the backlog of an upstream. Under pool-wide admission a report counts for as long as the pool's
// requests take, as the queue is another one after that, and the mean of the pool's upstreams decides.
func (j *job) backlog(u *traffic.Upstream) placement.Backlog {
	if !j.pooled.Known {
		return j.Loads.Backlog(time.Now(), u)
	}
	return j.Loads.RecentBacklog(time.Now(), u, j.Admission.ServiceTime(j.pool.Name), j.meanBacklog)
}

// isStuck reports whether requests of this host are stuck at an upstream while the pool has
// capacity. In an overload they queue at every upstream, and moving a prompt would only make
// another engine process it again.
func (j *job) isStuck(u *traffic.Upstream) bool {
	now := time.Now()
	return j.Admission.OverloadDuration(now, j.pool.Name) == 0 && j.Admission.IsStuck(now, u.Instance())
}

// wouldStartTooLate reports whether the request would queue at an upstream for more than maxDelay,
// or follows a more urgent request that was just refused there.
func (j *job) wouldStartTooLate(u *traffic.Upstream, maxDelay time.Duration) bool {
	switch {
	case j.headerSent:
		return false
	case j.software != 0 || j.pooled.Known:
		return j.delay > maxDelay
	}
	return j.delay > maxDelay || j.Admission.MoreUrgentRefused(time.Now(), j.admissionRequest(), u.Instance())
}

// refuseOverload records that the request is refused for lack of capacity at an upstream and
// returns the refusal.
func (j *job) refuseOverload(u *traffic.Upstream, delay time.Duration) *work.Refusal {
	now := time.Now()
	if j.precedence == admission.Surging {
		j.Admission.RecordSurgeRefusal(now, j.pool.Name)
	} else {
		j.Admission.RecordRefusal(now, j.admissionRequest(), u.Instance())
	}
	retryAfter := max(delay, j.Admission.OverloadDuration(now, j.pool.Name), retryAfterFull)
	return work.NewRefusal(http.StatusServiceUnavailable, work.Overloaded, "it would begin too late, after %s", delay.Round(time.Millisecond)).WithRetryAfter(retryAfter)
}
