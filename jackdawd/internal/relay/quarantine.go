package relay

import (
	"errors"
	"net/http"
	"time"

	"jackdawhinge/common/traffic"
	"jackdawhinge/jackdawd/internal/exchange"
	"jackdawhinge/jackdawd/internal/quarantine"
	"jackdawhinge/jackdawd/internal/work"
)

// reasonQuarantined is the reason if a request is not retried because it crashes upstreams.
const reasonQuarantined = "crashes-upstreams"

// A Quarantine holds the requests that crash upstreams.
type Quarantine interface {
	// Empty reports whether no upstream has crashed recently.
	Empty() bool
	// Quarantined reports whether a request is quarantined, and for how much longer.
	Quarantined(now time.Time, f quarantine.Fingerprint) (time.Duration, bool)
	// RecordCrash records that an upstream crashed after it had run a request for a time. The
	// upstream is identified by its ShortHash.
	RecordCrash(now time.Time, f quarantine.Fingerprint, upstream uint32, ran time.Duration)
	// RecordResponse records that an upstream executed a request and answered.
	RecordResponse(now time.Time, f quarantine.Fingerprint)
}

// setFingerprint computes the fingerprint of the request. The copies that a caller sends have
// different request IDs; only the fingerprint shows that upstreams crash on copies of one request.
func (j *job) setFingerprint() {
	if j.fingerprint != 0 {
		return
	}
	j.fingerprint = quarantine.Content{
		Workspace: j.workspace.Name, Method: j.r.Method, Host: j.r.Host, Target: requestTarget(j.r), Body: j.body,
	}.Fingerprint()
}

// quarantined reports whether the request is quarantined, and for how much longer.
func (j *job) quarantined() (time.Duration, bool) {
	if j.Quarantine.Empty() {
		return 0, false
	}
	j.setFingerprint()
	return j.Quarantine.Quarantined(time.Now(), j.fingerprint)
}

// checkQuarantine refuses a request that crashes each upstream that runs it. A caller that keeps
// sending it would otherwise crash one engine after the other, along with all other requests there.
func (j *job) checkQuarantine() *work.Refusal {
	remaining, quarantined := j.quarantined()
	if !quarantined {
		return nil
	}
	j.suspected = true
	return work.NewRefusal(http.StatusServiceUnavailable, work.Quarantined, "upstreams have crashed under copies of this request").WithRetryAfter(remaining)
}

// reportToQuarantine reports the result of an attempt to the quarantine: an upstream that
// crashes counts against the request, one that answers counts in its favor.
func (j *job) reportToQuarantine(u *traffic.Upstream, r result) {
	switch {
	case r.verdict == broken && (exchange.ClosedByPeer(r.err) || errors.Is(r.err, errTruncatedEvent)):
		j.setFingerprint()
		j.suspected = true
		now := time.Now()
		j.Quarantine.RecordCrash(now, j.fingerprint, u.ShortHash(), now.Sub(j.attemptStartedAt))
	case (r.verdict == answered || r.verdict == failed) && !j.Quarantine.Empty():
		j.setFingerprint()
		j.Quarantine.RecordResponse(time.Now(), j.fingerprint)
	}
}
