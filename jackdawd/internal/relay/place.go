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

// pausedReason is the reason for which a request was not tried whose upstreams want none for now.
const pausedReason = "upstreams-pause"

// place chooses an upstream that was not tried yet, or nil if there is none or the request
// would begin too late there.
func (j *job) place() *traffic.Upstream {
	// A request may have been tried for seconds; upstreams have left meanwhile.
	j.snapshot = j.Members.Snapshot()
	fit, avoided, pause := j.candidates()
	spokenAgainst := len(avoided)
	if len(fit) == 0 {
		fit = avoided
	}
	step := Step{Candidates: len(fit), Avoided: spokenAgainst, Cached: j.cached}
	j.setPrecedence()
	choice := j.choice(fit)
	upstream := placement.Choose(choice)
	if upstream == nil {
		step.Decision, step.Reason = Stopped, "no-upstream"
		if pause > 0 {
			step.Reason = pausedReason
			j.full = work.Refuse(http.StatusServiceUnavailable, work.Overloaded, "the upstreams want no requests for now").Retry(pause)
		}
		j.note(step)
		return nil
	}
	j.delay = j.delayAt(upstream)
	step.Upstream, step.Mean, step.Limit = upstream.ID, choice.Mean(), choice.Limit()
	step.Load = j.Loads.Known(time.Now(), upstream)
	step.PlanAge, step.Planned = choice.Spread.Age(time.Now())
	step.Delay, step.Patience = j.delay, choice.Patience
	if j.beginsTooLate(upstream, choice.Patience) {
		j.full = j.overload(upstream, j.delay)
		step.Decision, step.Reason = Stopped, tooLateReason
		j.note(step)
		return nil
	}
	if j.fetchFrom = j.source(upstream); j.fetchFrom != nil {
		step.FetchFrom = j.fetchFrom.ID
	}
	step.Decision = Placed
	j.note(step)
	return upstream
}

// choice returns what the request is placed by.
func (j *job) choice(upstreams []*traffic.Upstream) placement.Choice {
	return placement.Choice{
		Upstreams: upstreams, Loads: j.Loads.All(time.Now(), upstreams), Key: j.key, Cached: j.cached,
		Delay: j.delayAt, Stuck: j.stuckAt, Patience: j.patience(),
		FailureDomain: j.FailureDomain, Multiple: j.LoadMultiple(), Hosts: j.Hosts(), Tie: rand.Uint64(),
		Spread: j.Balancer.Spread(time.Now()), Pool: j.pool.Name, Outpaced: j.Turnovers.Outpaced(time.Now(), j.pool.Name),
		Lifetime: j.Turnovers.InProgress(time.Now(), j.pool.Name), SharedTokens: j.request.SharedTokens(), Duration: j.Turnovers.Usually(j.route.Name),
	}
}

// candidates returns the upstreams that may be tried, and those of them that
// evidence speaks against. Another region's are among them only if this one has none:
// a request there and back takes longer than most targets allow, and the regions
// lose each other at times. Upstreams that want no requests are not among them; pause is
// when the first of these wants some again.
func (j *job) candidates() (fit, avoided []*traffic.Upstream, pause time.Duration) {
	var far []*traffic.Upstream
	paused := j.Pauses.Left(time.Now())
	for _, u := range j.snapshot.Upstreams(j.pool.Name) {
		left := paused[u.Start()]
		switch {
		case slices.Contains(j.tried, u.Start()) || !u.Serves(j.request.Model):
		case left > 0:
			if pause == 0 || left < pause {
				pause = left
			}
		case j.snapshot.Avoided(u.ID):
			avoided = append(avoided, u)
		case !j.Near(u.FailureDomain):
			far = append(far, u)
		default:
			fit = append(fit, u)
		}
	}
	if len(fit) == 0 {
		fit = far
	}
	return fit, avoided, pause
}

// source returns the engine that the one given may fetch the prompt from, or nil.
func (j *job) source(to *traffic.Upstream) *traffic.Upstream {
	if !j.cached {
		return nil
	}
	return j.Warmth.Source(time.Now(), j.key, to, j.snapshot)
}
