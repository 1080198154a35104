package relay

import (
	"context"
	"net/http"
	"time"

	"jackdawhinge/common/traffic"
	"jackdawhinge/jackdawd/internal/resumption"
	"jackdawhinge/jackdawd/internal/work"
)

// resumptionGrace is how long after the deadline of an attempt its stream may still be resumed. The
// caller does so in another attempt, with a deadline of its own, and may have been told to come back
// later.
const resumptionGrace = 30 * time.Second

// findSoftware finds out at which software version the request may run if it resumes an earlier stream,
// and refuses it if that is not known: what two versions write does not fit together, and upstreams do
// not check it.
func (j *job) findSoftware(ctx context.Context) *work.Refusal {
	if j.request.ResumeAfter == "" || j.route.Kind != traffic.Streaming {
		return nil
	}
	var key resumption.Key
	if j.request.ResumedID != "" {
		key = resumption.NewKey(j.workspace.Name, j.request.ResumedID)
	}
	origin := j.Streams.FindStream(ctx, j.pool.Name, key)
	pool, version := j.poolOf(origin.Software)
	j.addStep(Step{Decision: OriginFound, Origin: origin, SoftwareVersion: version})
	if origin.Software == 0 {
		return work.NewRefusal(http.StatusServiceUnavailable, work.NoUpstream, "the software version that began the stream is not known").WithRetryAfter(retryAfterUnavailable)
	}
	j.software = origin.Software
	if pool != "" && pool != j.pool.Name {
		j.pool, _ = j.snapshot.Configuration().Pool(pool)
	}
	return nil
}

// poolOf returns the pool of the route whose upstreams have a software, and the version; empty if there
// is none.
func (j *job) poolOf(software traffic.Software) (pool, version string) {
	for _, d := range j.route.Destinations {
		for _, u := range j.snapshot.AllUpstreams(d.Pool) {
			if u.Software() == software {
				return d.Pool, u.SoftwareVersion
			}
		}
	}
	return "", ""
}

// recordSoftware records which software began the stream, before the caller has any event of it. The
// first event waits until the record outlives this host.
func (j *job) recordSoftware() {
	if j.route.Kind != traffic.Streaming || !j.route.Resumable {
		return
	}
	j.software = j.current.upstream.Software()
	id := j.request.ID
	if j.request.ResumeAfter != "" && j.request.ResumedID != "" {
		id = j.request.ResumedID
	}
	j.Streams.RecordStream(j.pool.Name, resumption.Record{Key: resumption.NewKey(j.workspace.Name, id), Software: j.software, Expiry: j.callerDeadline().Add(resumptionGrace)})
}

// callerDeadline returns when the caller gives up this attempt, which may be after the route's timeout.
func (j *job) callerDeadline() time.Time {
	if j.request.TimeLeft > 0 {
		return j.arrived.Add(j.request.TimeLeft)
	}
	return j.deadline
}
