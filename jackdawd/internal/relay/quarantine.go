package relay

import (
	"errors"
	"fmt"
	"net/http"
	"time"

	"jackdawhinge/jackdawd/internal/exchange"
	"jackdawhinge/jackdawd/internal/quarantine"
	"jackdawhinge/jackdawd/internal/work"
)

// reasonQuarantined is the reason if a request is not retried because it crashes upstreams.
const reasonQuarantined = "crashes-upstreams"

// lastingStreamTime is how long a stream must last for its parts to be cleared: a part that crashes upstreams
// does so as soon as they begin to write a response.
const lastingStreamTime = 500 * time.Millisecond

// A Quarantine holds what requests that crash upstreams have in common.
type Quarantine interface {
	// Empty reports whether no upstream has crashed recently.
	Empty() bool
	// Find returns the first of a request's subjects that is quarantined, and false if none is.
	Find(now time.Time, subjects []quarantine.Subject) (quarantine.Match, bool)
	// RecordCrash records that an upstream crashed while it had a request with the given subjects.
	RecordCrash(now time.Time, subjects []quarantine.Subject, c quarantine.CrashRecord)
	// RecordResponse records that an upstream ran a request with the given subjects and lived on.
	RecordResponse(now time.Time, subjects []quarantine.Subject)
}

// Probes grant probes of quarantined subjects to the hosts of the fleet.
type Probes interface {
	// AcquireProbe reports whether a request of a quarantined subject may be tried.
	AcquireProbe(f quarantine.Fingerprint) bool
}

// setSubjects computes what the request has in common with others. The copies that a caller sends have
// different request IDs, and other requests that crash upstreams may share only a part of their
// prompts.
func (j *job) setSubjects() {
	if j.subjects != nil {
		return
	}
	content := quarantine.Content{
		Workspace: j.workspace.Name, Method: j.r.Method, Host: j.r.Host, Target: requestTarget(j.r), Body: j.body,
	}
	j.subjects = append([]quarantine.Subject{quarantine.RequestSubject(content)}, j.partSubjects()...)
}

// partSubjects returns the subjects of the parts of the prompt that other requests may share.
func (j *job) partSubjects() []quarantine.Subject {
	return quarantine.PartSubjects(j.workspace.Name, j.request.SharedPartIDs())
}

// findQuarantined returns the subject of the request that is quarantined, if any is.
func (j *job) findQuarantined() (quarantine.Match, bool) {
	if j.Quarantine.Empty() {
		return quarantine.Match{}, false
	}
	j.setSubjects()
	return j.Quarantine.Find(time.Now(), j.subjects)
}

// checkQuarantine refuses a request if upstreams crash whenever they run one like it. Callers that keep
// sending them would otherwise crash one engine after the other, along with all other requests there.
func (j *job) checkQuarantine() *work.Refusal {
	match, quarantined := j.findQuarantined()
	if !quarantined {
		return nil
	}
	j.suspect = match.Subject.Fingerprint
	reason := "upstreams have crashed under copies of this request"
	if match.Subject.Part != "" {
		reason = fmt.Sprintf("upstreams have crashed under requests with part %s of the prompt", match.Subject.Part)
	}
	// A probe may end the quarantine long before it expires.
	retryAfter := max(min(match.Remaining, match.NextProbe), retryAfterUnavailable)
	return work.NewRefusal(http.StatusServiceUnavailable, work.Quarantined, "%s", reason).WithRetryAfter(retryAfter)
}

// startProbe reports whether the quarantined request is sent to an upstream all the same. Without a probe
// now and then, what was quarantined by mistake would never get the response that clears it.
func (j *job) startProbe() bool {
	j.probing = j.Probes.AcquireProbe(j.suspect)
	return j.probing
}

// reportToQuarantine reports the result of an attempt to the quarantine: an upstream that
// crashes counts against the request, one that answers counts in its favor. A response without a frame
// counts for neither, as it ends in the same way if the upstream crashes.
func (j *job) reportToQuarantine(a *attempt, r result) {
	now := time.Now()
	ended := now
	if !a.endedAt.IsZero() {
		// The caller may have read the response long after the upstream has crashed.
		ended = a.endedAt
	}
	switch {
	case r.verdict == broken && (exchange.ClosedByPeer(r.err) || errors.Is(r.err, errTruncatedEvent)):
		j.setSubjects()
		j.suspect = j.subjects[0].Fingerprint
		j.Quarantine.RecordCrash(now, j.crashSubjects(a, ended), quarantine.CrashRecord{Start: a.upstream.ShortHash(), Ran: ended.Sub(a.startedAt)})
	case (r.verdict == answered || r.verdict == failed || r.verdict == unproven) && !r.unframed:
		j.setSubjects()
		j.Quarantine.RecordResponse(now, j.subjects)
	}
}

// crashSubjects returns the subjects of the request that may be why an upstream has crashed. Parts are
// not if the upstream had written the response for long.
func (j *job) crashSubjects(a *attempt, now time.Time) []quarantine.Subject {
	if a.isLastingStream(now) {
		return j.subjects[:1]
	}
	return j.subjects
}

// isLastingStream reports whether the attempt has brought events for longer than an upstream
// lives that writes a response on a part that crashes it.
func (a *attempt) isLastingStream(now time.Time) bool {
	return !a.firstEventAt.IsZero() && now.Sub(a.firstEventAt) >= lastingStreamTime
}

// clearPartsOfLastingStream reports to the quarantine that an upstream writes a response and lives on. While
// engines crash every few moments, few long streams reach their end.
func (j *job) clearPartsOfLastingStream() {
	now, a := time.Now(), j.current
	if a.clearedParts || !a.isLastingStream(now) {
		return
	}
	a.clearedParts = true
	j.Quarantine.RecordResponse(now, j.partSubjects())
}
