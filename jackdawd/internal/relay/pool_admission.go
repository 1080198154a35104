package relay

import (
	"net/http"
	"time"

	"jackdawhinge/common/traffic"
	"jackdawhinge/jackdawd/internal/overload"
	"jackdawhinge/jackdawd/internal/work"
)

// minReturnWait is how long before this attempt a caller must have sent its first one to count as returning. The time
// that callers have left varies by less between first attempts.
const minReturnWait = 100 * time.Millisecond

// reasonPoolPrefix precedes the reasons of pool-wide admission.
const reasonPoolPrefix = "pool-"

// admitByPool records the request for pool-wide admission and returns a refusal if it is not admitted. A stream that
// its caller resumes was admitted with its first attempt.
func (j *job) admitByPool() *work.Refusal {
	if j.PoolAdmission == nil {
		return nil
	}
	if j.AdmitsByPool != nil && j.AdmitsByPool() {
		j.PoolAdmission.Enable(j.pool.Name)
	}
	if !j.PoolAdmission.IsEnabled(j.pool.Name) {
		return nil
	}
	now, q := time.Now(), j.poolRequest()
	j.PoolAdmission.RecordArrival(now, q)
	j.pooled = j.PoolAdmission.Decide(now, q)
	if !j.pooled.Known || j.pooled.Admitted || j.request.ResumeAfter != "" {
		return nil
	}
	j.addStep(Step{Decision: Stopped, Reason: reasonPoolPrefix + string(j.pooled.Reason), AdmissionRatio: j.pooled.Ratio, Rank: q.Rank})
	refusal := work.NewRefusal(http.StatusServiceUnavailable, work.Overloaded, "the pool is full (%s)", j.pooled.Reason)
	refusal.RetryAfter = j.pooled.RetryAfter
	return refusal
}

// poolRequest returns the attributes of the request that pool-wide admission decides by.
func (j *job) poolRequest() overload.Request {
	return overload.Request{
		ID: j.request.ID, Pool: overload.PoolID(j.pool.Name), Workspace: overload.WorkspaceID(j.workspace.Name), Rank: baseUrgency(j.workspace, j.route),
		Returning: j.priorWait > minReturnWait, CanBeOnTime: j.priorWait+j.Admission.TimeToFirstByte(j.route.Name) < j.route.FirstByteTarget,
	}
}

// startInPool counts an attempt as in progress for pool-wide admission.
func (j *job) startInPool() {
	if j.PoolAdmission != nil {
		j.PoolAdmission.RecordStart(overload.PoolID(j.pool.Name))
	}
}

// endInPool counts an attempt as ended, with the time for which it occupied a slot unless the upstream rejected it.
func (j *job) endInPool(now time.Time, a *attempt) {
	if j.PoolAdmission == nil {
		return
	}
	inSlot := time.Duration(0)
	if a.sent != nil && !a.rejected {
		sentAt := a.startedAt.Add(a.connectTime)
		waited := now.Sub(sentAt)
		if !a.firstByteAt.IsZero() {
			waited = max(a.firstByteAt.Sub(sentAt)-j.Admission.TimeToFirstByte(j.route.Name), 0)
		}
		inSlot = max(now.Sub(sentAt)-waited, 1)
	}
	j.PoolAdmission.RecordEnd(now, overload.PoolID(j.pool.Name), baseUrgency(j.workspace, j.route), inSlot)
}

// enableByPace enables pool-wide admission for a pool whose upstreams report the pace of their machines: they share
// these with others, so that what a pool can do varies.
func (j *job) enableByPace(load *traffic.Load) {
	if j.PoolAdmission != nil && load.Pace > 0 {
		j.PoolAdmission.Enable(j.pool.Name)
	}
}
