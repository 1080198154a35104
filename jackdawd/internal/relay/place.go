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

const (
	// reasonBackoff is the reason if all upstreams of a request have asked this host to back off.
	reasonBackoff = "upstreams-pause"
	// reasonCold is the reason if all upstreams of a request are cold and have got as many requests
	// as they bear.
	reasonCold = "upstreams-cold"
	// reasonNoSoftware is the reason if no upstream has the software version that began the stream.
	reasonNoSoftware = "no-upstream-of-version"
	// reasonNoUpstream is the reason if no upstream takes requests.
	reasonNoUpstream = "no-upstream"
	// reasonBrittle is the reason if all upstreams of a request are brittle and this host uses its
	// share of each.
	reasonBrittle = "upstreams-brittle"
)

// A candidate is the upstream that a request would be sent to, with the inputs of its choice.
type candidate struct {
	// upstream is nil if none may get the request.
	upstream    *traffic.Upstream
	choice      placement.Choice
	temperature placement.Temperature
	left        leftOut
	// avoided is set if all upstreams are avoided for recent failures.
	avoided bool
	step    Step
}

// findCandidate finds an upstream that was not tried yet.
func (j *job) findCandidate() candidate {
	// Upstreams may have left while the request was tried elsewhere.
	j.snapshot = j.Membership.Snapshot()
	eligible, avoided, left := j.candidates()
	c := candidate{left: left, avoided: len(eligible) == 0}
	if c.avoided {
		eligible = avoided
	}
	c.step = Step{Candidates: len(eligible), Avoided: len(avoided), Cacheable: j.cacheable, Evacuated: j.snapshot.EvacuatedCount(j.pool.Name)}
	j.setPrecedence()
	if j.pooled.Known {
		j.meanBacklog = j.Loads.MeanBacklog(time.Now(), eligible, j.Admission.ServiceTime(j.pool.Name))
	}
	c.choice, c.temperature = j.choice(eligible), j.temperature(eligible)
	c.choice.IdleRatio = c.temperature.IdleRatio(c.step.Evacuated)
	c.upstream = j.choose(&c.choice, c.temperature)
	if c.upstream == nil {
		return c
	}
	j.delay = j.expectedDelay(c.upstream)
	c.step.Cold = c.temperature.Cold != nil && !j.snapshot.ColdUntil(c.upstream.ID).IsZero()
	c.step.Upstream, c.step.SoftwareVersion, c.step.Mean, c.step.Limit = c.upstream.ID, c.upstream.SoftwareVersion, c.choice.Mean(), c.choice.Limit()
	c.step.Load = j.Loads.Load(time.Now(), c.upstream)
	c.step.PlanAge, c.step.HasPlan = c.choice.Plan.Age(time.Now())
	c.step.Delay, c.step.MaxDelay = j.delay, c.choice.MaxDelay
	return c
}

// place selects an upstream that was not tried yet. It returns nil if there is none or the request
// would start too late there.
func (j *job) place() *traffic.Upstream {
	c := j.findCandidate()
	if c.upstream == nil || !j.takeCold(c) {
		c.step.Decision, c.step.Reason = Stopped, j.refuseWithoutUpstream(c.temperature, c.left)
		j.addStep(c.step)
		return nil
	}
	if j.wouldStartTooLate(c.upstream, c.choice.MaxDelay) {
		j.placementRefusal = j.refuseOverload(c.upstream, j.delay)
		c.step.Decision, c.step.Reason = Stopped, reasonTooLate
		j.addStep(c.step)
		return nil
	}
	j.placeAt(c)
	return c.upstream
}

// placeAt records that the next attempt is at a candidate.
func (j *job) placeAt(c candidate) {
	if j.fetchFrom = j.cacheSource(c.upstream); j.fetchFrom != nil {
		c.step.FetchFrom = j.fetchFrom.ID
	}
	c.step.Decision = Placed
	j.addStep(c.step)
}

// temperature tells warm and cold upstreams apart. Upstreams that bear as much while they are cold
// count as warm.
func (j *job) temperature(upstreams []*traffic.Upstream) placement.Temperature {
	now, coldRate := time.Now(), j.pool.ColdRate
	return placement.NewTemperature(upstreams, func(u *traffic.Upstream) bool {
		return coldRate > 0 && j.snapshot.ColdUntil(u.ID).After(now)
	}, func(u *traffic.Upstream) bool {
		return j.ColdLimiter.Accepts(now, u, coldRate)
	})
}

// choose returns the upstream for the request, or nil if there is none that may get it. A request
// that would start too late at a warm upstream goes to a cold one if that may get it.
func (j *job) choose(choice *placement.Choice, temperature placement.Temperature) *traffic.Upstream {
	usable, ok := temperature.Usable(choice.LoadMultiple, rand.Float64())
	if !ok {
		return nil
	}
	choice.Usable = usable
	upstream := j.chooseByPool(*choice)
	if upstream != nil && temperature.HasOpenCold() && choice.Full(upstream) {
		choice.Usable = temperature.Cold
		upstream = placement.Choose(*choice)
	}
	return upstream
}

// takeCold counts a request to a candidate that is cold, and reports whether it may be sent.
func (j *job) takeCold(c candidate) bool {
	now := time.Now()
	return c.temperature.Cold == nil || !j.snapshot.ColdUntil(c.upstream.ID).After(now) || j.ColdLimiter.Take(now, c.upstream, j.pool.ColdRate)
}

// chooseByPool returns the upstream for the request, or nil if none is usable. Reports of engines are common to all
// hosts and half a second old; those of services are a host's own, and newer, and tell the pace of the machine.
func (j *job) chooseByPool(choice placement.Choice) *traffic.Upstream {
	switch {
	case !j.pool.Engine:
		return choice.Faster(placement.Choose(choice), j.backlog)
	case j.pooled.Known:
		return placement.Choose(choice.IgnoringFull())
	}
	return placement.Choose(choice)
}

// refuseWithoutUpstream sets the refusal of a request that no upstream may get, and returns the
// reason.
func (j *job) refuseWithoutUpstream(temperature placement.Temperature, left leftOut) string {
	switch {
	case left.brittle > 0:
		j.placementRefusal = work.NewRefusal(http.StatusServiceUnavailable, work.Overloaded, "the upstreams bear no more requests for now").WithRetryAfter(retryAfterFull)
		return reasonBrittle
	case temperature.AllCold():
		j.placementRefusal = work.NewRefusal(http.StatusServiceUnavailable, work.Overloaded, "the upstreams have just started").WithRetryAfter(retryAfterFull)
		return reasonCold
	case left.otherSoftware > 0 && left.backoff == 0:
		j.placementRefusal = work.NewRefusal(http.StatusServiceUnavailable, work.NoUpstream, "no upstream of the software version that began the stream takes requests").WithRetryAfter(retryAfterUnavailable)
		return reasonNoSoftware
	case left.backoff > 0:
		j.placementRefusal = work.NewRefusal(http.StatusServiceUnavailable, work.Overloaded, "the upstreams want no requests for now").WithRetryAfter(left.backoff)
		return reasonBackoff
	}
	return reasonNoUpstream
}

// choice returns the inputs for the selection of an upstream.
func (j *job) choice(upstreams []*traffic.Upstream) placement.Choice {
	return placement.Choice{
		Upstreams: upstreams, Loads: j.Loads.All(time.Now(), upstreams), Key: j.affinityKey, Cacheable: j.cacheable,
		Delay: j.expectedDelay, Stuck: j.isStuck, MaxDelay: j.maxDelay(),
		FailureDomain: j.FailureDomain, LoadMultiple: j.LoadMultiple(), Hosts: j.HostCount(), Random: rand.Uint64(),
		Plan: j.Balancer.LocalPlan(time.Now()), Pool: j.pool.Name, SlotBound: j.pooled.Limited, ReportsLag: j.RequestStats.ReportsLag(time.Now(), j.pool.Name),
		Lifetime: j.RequestStats.MeanLifetime(time.Now(), j.pool.Name), SharedTokens: j.request.SharedTokens(), MeanDuration: j.RequestStats.MeanDuration(j.route.Name),
	}
}

// candidates returns the upstreams that may be tried, and separately those that are avoided for
// recent failures. Upstreams of another region are eligible only if this region has none: a round
// trip there takes longer than most targets allow, and the link between the regions fails at times.
// Upstreams that asked for a backoff are omitted, and brittle ones of which this host uses its share.
func (j *job) candidates() (eligible, avoided []*traffic.Upstream, left leftOut) {
	var otherRegion []*traffic.Upstream
	now, share := time.Now(), j.brittleShare()
	backoffs := j.Backoffs.Remaining(now)
	for _, u := range j.snapshot.ReadyUpstreams(j.pool.Name) {
		remaining := backoffs[u.Instance()]
		switch {
		case slices.Contains(j.attempted, u.Instance()) || !u.Serves(j.request.Model):
		case j.software != 0 && u.Software() != j.software:
			left.otherSoftware++
		case remaining > 0:
			if left.backoff == 0 || remaining < left.backoff {
				left.backoff = remaining
			}
		case !j.Brittleness.Accepts(now, u, j.Loads.Load(now, u), share) && j.Brittleness.SpareSlots(now, u, j.Loads.Load(now, u), share) == 0:
			left.brittle++
		case j.snapshot.Avoided(u.ID) || j.IsUnreached(u.Address):
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
	return eligible, avoided, left
}

// leftOut says which upstreams were no candidates although they are ready.
type leftOut struct {
	// backoff is the shortest time that remains of their backoffs; 0 for none.
	backoff time.Duration
	// otherSoftware counts those of another software version than the one that began the stream.
	otherSoftware int
	// brittle counts brittle upstreams of which this host uses its share.
	brittle int
}

// brittleShare returns what determines this host's share of brittle upstreams.
func (j *job) brittleShare() placement.BrittleShare {
	return placement.BrittleShare{Hosts: j.HostCount(), MeanDuration: j.RequestStats.MeanDuration(j.route.Name)}
}

// cacheSource returns the engine from which the given one may fetch the cached prompt, or nil.
func (j *job) cacheSource(dest *traffic.Upstream) *traffic.Upstream {
	if !j.cacheable {
		return nil
	}
	return j.CacheLocations.Source(time.Now(), j.affinityKey, dest, j.snapshot)
}
