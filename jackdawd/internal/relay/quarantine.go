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

// barredReason is the reason for which a request under which upstreams crash is not tried again.
const barredReason = "crashes-upstreams"

// A Quarantine knows the requests under which upstreams crash.
type Quarantine interface {
	// Empty reports whether no upstream has crashed of late.
	Empty() bool
	// Barred reports whether a request is kept from upstreams, and for how long.
	Barred(now time.Time, f quarantine.Fingerprint) (time.Duration, bool)
	// Crashed takes in that an upstream, named by the short hash of its start, ended when it had had a request for a time.
	Crashed(now time.Time, f quarantine.Fingerprint, start uint32, ran time.Duration)
	// Answered takes in that an upstream has answered a request that it had run.
	Answered(now time.Time, f quarantine.Fingerprint)
}

// identify sets the fingerprint of the request. Each copy that a caller sends bears another identifier;
// without the fingerprint nobody could tell that upstreams broke off under copies of one request.
func (j *job) identify() {
	if j.fingerprint != 0 {
		return
	}
	j.fingerprint = quarantine.Content{
		Workspace: j.workspace.Name, Method: j.r.Method, Host: j.r.Host, Target: target(j.r), Body: j.body,
	}.Fingerprint()
}

// barred reports whether the request is kept from upstreams, and for how long.
func (j *job) barred() (time.Duration, bool) {
	if j.Quarantine.Empty() {
		return 0, false
	}
	j.identify()
	return j.Quarantine.Barred(time.Now(), j.fingerprint)
}

// checkQuarantine refuses a request that crashes each upstream that runs it. A caller who sends it again and
// again would else end one engine after the other, and with each the answers of all others there.
func (j *job) checkQuarantine() *work.Refusal {
	left, barred := j.barred()
	if !barred {
		return nil
	}
	j.suspected = true
	return work.Refuse(http.StatusServiceUnavailable, work.Quarantined, "upstreams have crashed under copies of this request").Retry(left)
}

// suspect takes in what a try says of the request: upstreams that end under it speak against it, one
// that answers speaks for it.
func (j *job) suspect(u *traffic.Upstream, r result) {
	switch {
	case r.verdict == broken && (exchange.Ended(r.err) || errors.Is(r.err, errCutEvent)):
		j.identify()
		j.suspected = true
		now := time.Now()
		j.Quarantine.Crashed(now, j.fingerprint, u.ShortHash(), now.Sub(j.triedAt))
	case (r.verdict == answered || r.verdict == failed) && !j.Quarantine.Empty():
		j.identify()
		j.Quarantine.Answered(time.Now(), j.fingerprint)
	}
}
