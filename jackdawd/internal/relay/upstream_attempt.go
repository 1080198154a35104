package relay

import (
	"time"

	"jackdawhinge/common/traffic"
	"jackdawhinge/jackdawd/internal/admission"
	"jackdawhinge/jackdawd/internal/exchange"
)

// An attempt is one upstream's work on the request.
type attempt struct {
	upstream  *traffic.Upstream
	startedAt time.Time
	// own counts this host's requests at the upstream, this one included.
	own int
	// admission and delay are the attributes of the request and the expected time in the upstream's queue.
	admission admission.Request
	delay     time.Duration
	// connectTime is how long the attempt took to get a connection; 0 if it got none.
	connectTime time.Duration
	// through is the host that the connection leads through; empty for none.
	through string
	// sent is the attempt as admission control counts it; nil before it has a connection.
	sent *admission.Attempt
	// response is nil before its header was read.
	response *exchange.Response
	// rejected is set if the upstream reported that it did not execute the request.
	rejected bool
	// firstByteAt is when the response began, firstEventAt when its first event came; zero before it.
	firstByteAt, firstEventAt time.Time
	// timedEvents is the number of the stream's events after which the timeout of the next one was set.
	timedEvents int
	// clearedParts is set once the attempt has lasted long enough to clear the parts of the prompt.
	clearedParts bool
	// endedAt is when the upstream was done; zero before it.
	endedAt time.Time
	// watchdog reports the upstream if it is silent for too long; nil if nothing was sent.
	watchdog *watchdog
	// release gives back the place at a brittle upstream, and cancel ends an exchange that has a context of its own;
	// nil for nothing to call.
	release, cancel func()
}

// startAttempt counts an attempt as in progress. The caller ends it.
func (j *job) startAttempt(u *traffic.Upstream) *attempt {
	now := time.Now()
	j.attempted = append(j.attempted, u.Instance())
	a := &attempt{upstream: u, startedAt: now, own: j.Loads.Begin(now, u), admission: j.admissionRequest(), delay: j.delay}
	j.RequestStats.RecordStart(now, j.pool.Name)
	if j.cacheable {
		j.Balancer.Begin(j.affinityKey)
	}
	j.startInPool()
	return a
}

// closeAttempt ends an attempt whose result is known.
func (j *job) closeAttempt(a *attempt, complete bool) {
	j.endAttempt(a, complete)
	if a.watchdog != nil {
		a.watchdog.stop()
	}
}

// endAttempt records that the upstream is done with an attempt and closes its response; complete is set if the whole
// response was received. Further calls have no effect.
func (j *job) endAttempt(a *attempt, complete bool) {
	if !a.endedAt.IsZero() {
		return
	}
	if a.response != nil {
		a.response.Close()
	}
	if a.cancel != nil {
		a.cancel()
	}
	if a.release != nil {
		a.release()
	}
	now := time.Now()
	a.endedAt = now
	j.endInPool(now, a)
	j.Loads.End(now, a.upstream)
	if complete {
		j.RequestStats.RecordEnd(now, j.pool.Name, j.route.Name, now.Sub(a.startedAt))
	}
	if j.cacheable {
		j.Balancer.End(j.affinityKey)
	}
	if a.sent != nil {
		a.sent.RecordEnd(now, complete)
	}
}
