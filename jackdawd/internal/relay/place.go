package relay

import (
	"math/rand/v2"
	"net/http"
	"slices"
	"time"

	"jackdawhinge/common/traffic"
	"jackdawhinge/jackdawd/internal/placement"
	"jackdawhinge/jackdawd/internal/work"
)

// reasonBackoff is the reason if all upstreams of a request have asked this host to back off.
const reasonBackoff = "upstreams-pause"

// place selects an upstream that was not tried yet. It returns nil if there is none or the request
// would start too late there.
func (j *job) place() *traffic.Upstream {
	// Upstreams may have left while the request was tried elsewhere.
	j.snapshot = j.Membership.Snapshot()
	eligible, avoided, backoff := j.candidates()
	avoidedCount := len(avoided)
	if len(eligible) == 0 {
		eligible = avoided
	}
	step := Step{Candidates: len(eligible), Avoided: avoidedCount, Cacheable: j.cacheable}
	j.setPrecedence()
	choice := j.choice(eligible)
	upstream := placement.Choose(choice)
	if upstream == nil {
		step.Decision, step.Reason = Stopped, "no-upstream"
		if backoff > 0 {
			step.Reason = reasonBackoff
			j.placementRefusal = work.NewRefusal(http.StatusServiceUnavailable, work.Overloaded, "the upstreams want no requests for now").WithRetryAfter(backoff)
		}
		j.addStep(step)
		return nil
	}
	j.delay = j.expectedDelay(upstream)
	step.Upstream, step.Mean, step.Limit = upstream.ID, choice.Mean(), choice.Limit()
	step.Load = j.Loads.Load(time.Now(), upstream)
	step.PlanAge, step.HasPlan = choice.Plan.Age(time.Now())
	step.Delay, step.MaxDelay = j.delay, choice.MaxDelay
	if j.wouldStartTooLate(upstream, choice.MaxDelay) {
		j.placementRefusal = j.refuseOverload(upstream, j.delay)
		step.Decision, step.Reason = Stopped, reasonTooLate
		j.addStep(step)
		return nil
	}
	if j.fetchFrom = j.cacheSource(upstream); j.fetchFrom != nil {
		step.FetchFrom = j.fetchFrom.ID
	}
	step.Decision = Placed
	j.addStep(step)
	return upstream
}

// choice returns the inputs for the selection of an upstream.
func (j *job) choice(upstreams []*traffic.Upstream) placement.Choice {
	return placement.Choice{
		Upstreams: upstreams, Loads: j.Loads.All(time.Now(), upstreams), Key: j.affinityKey, Cacheable: j.cacheable,
		Delay: j.expectedDelay, Stuck: j.isStuck, MaxDelay: j.maxDelay(),
		FailureDomain: j.FailureDomain, LoadMultiple: j.LoadMultiple(), Hosts: j.HostCount(), Random: rand.Uint64(),
		Plan: j.Balancer.LocalPlan(time.Now()), Pool: j.pool.Name, ReportsLag: j.RequestStats.ReportsLag(time.Now(), j.pool.Name),
		Lifetime: j.RequestStats.MeanLifetime(time.Now(), j.pool.Name), SharedTokens: j.request.SharedTokens(), MeanDuration: j.RequestStats.MeanDuration(j.route.Name),
	}
}

// candidates returns the upstreams that may be tried, and separately those that are avoided for
// recent failures. Upstreams of another region are eligible only if this region has none: a round
// trip there takes longer than most targets allow, and the link between the regions fails at times.
// Upstreams that asked for a backoff are omitted; backoff is the shortest time that remains of
// theirs.
func (j *job) candidates() (eligible, avoided []*traffic.Upstream, backoff time.Duration) {
	var otherRegion []*traffic.Upstream
	backoffs := j.Backoffs.Remaining(time.Now())
	for _, u := range j.snapshot.ReadyUpstreams(j.pool.Name) {
		remaining := backoffs[u.Instance()]
		switch {
		case slices.Contains(j.attempted, u.Instance()) || !u.Serves(j.request.Model):
		case remaining > 0:
			if backoff == 0 || remaining < backoff {
				backoff = remaining
			}
		case j.snapshot.Avoided(u.ID):
			avoided = append(avoided, u)
		case !j.InSameRegion(u.FailureDomain):
			otherRegion = append(otherRegion, u)
		default:
			eligible = append(eligible, u)
		}
	}
	if len(eligible) == 0 {
		eligible = otherRegion
	}
	return eligible, avoided, backoff
}

// cacheSource returns the engine from which the given one may fetch the cached prompt, or nil.
func (j *job) cacheSource(dest *traffic.Upstream) *traffic.Upstream {
	if !j.cacheable {
		return nil
	}
	return j.CacheLocations.Source(time.Now(), j.affinityKey, dest, j.snapshot)
}
