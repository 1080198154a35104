package verdict

import (
	"fmt"
	"net/http"
	"strings"
	"time"
)

// The bounds of the guarantees. Those that hosts have settings for are the same there.
const (
	// SettleTime is how long after a fault the time bounds apply again.
	SettleTime = 3 * time.Second
	// MaxConfigDelay is how long a host may act on an outdated configuration.
	MaxConfigDelay = 2 * time.Second
	// MaxRevocationDelay is how long any host may accept a revoked key.
	MaxRevocationDelay = 5 * time.Second
	// MaxDrainDelay is how long a draining upstream may get new requests.
	MaxDrainDelay = 2 * time.Second
	// MaxEvacuationDelay is how long the upstreams of an evacuated failure domain may get requests.
	MaxEvacuationDelay = 3 * time.Second
	// MaxColdRequests is how many requests a cold upstream may get within a second.
	MaxColdRequests = 11
	// timingSlack is added to MaxConfigDelay and MaxDrainDelay, as all processes share one machine.
	timingSlack = 500 * time.Millisecond
	// MaxRetryRatio and retryBurst bound the retries of all hosts together.
	MaxRetryRatio = 0.2
	retryBurst    = 3
	// maxFalls, and a part of the upstreams more, is how often they may fall over while they are
	// brittle.
	maxFalls        = 2
	maxFallsDivisor = 10
	// maxPartCrashes is how many engines a part of prompts may crash until, SettleTime later, at most
	// maxLateParts requests with it reach engines.
	maxPartCrashes = 5
	maxLateParts   = 3
	// MaxRecoveryTime is how long the system may take to serve again after the last fault.
	MaxRecoveryTime = 6 * time.Second
	// LoadMultiple and loadAllowance bound the load of an upstream by the mean of its pool. A small
	// ratio of requests may exceed it, as hosts learn of each other's requests a second late.
	LoadMultiple      = 2
	loadAllowance     = 3
	minOverLimit      = 20
	maxOverLimitRatio = 0.03
	// MaxConvergenceTime is how long the views of hosts may take to converge after the last fault:
	// a host that started without the store retries to write its notice within 4.5 s, and readers
	// read the list of hosts at intervals of at most 16.5 s.
	MaxConvergenceTime = 24 * time.Second
	// minServedRatio is the ratio of requests that must be served after MaxRecoveryTime.
	minServedRatio = 0.95
)

// A Violation is a guarantee that was broken, and how.
type Violation struct {
	Guarantee string
	Detail    string
}

// String returns the guarantee and the detail.
func (v Violation) String() string { return v.Guarantee + ": " + v.Detail }

// Check returns all violations of the guarantees in a record.
func Check(r *Record) []Violation {
	checks := []func(*Record) []Violation{checkResponses, checkAtMostOnce, checkRefusals, checkRetries, checkDrain, checkRouteAdded, checkNoRollback, checkRevocation, checkEvacuation, checkColdUpstreams, checkRecovery, checkGracefulStop, checkLoadBound, checkConvergence, checkBrittleUpstreams, checkVersions, checkPartCrashes, checkSurges, checkAccepted}
	var all []Violation
	for _, check := range checks {
		all = append(all, check(r)...)
	}
	return all
}

// checkResponses checks that each complete 200 response is the full response to its own request.
func checkResponses(r *Record) (out []Violation) {
	for _, e := range r.Exchanges {
		if e.Status != http.StatusOK || e.Route == Probe || !e.Complete {
			continue
		}
		matches := strings.HasSuffix(e.Body, e.WantBody)
		if e.Route.Streams() {
			matches = e.Body == e.WantBody
		}
		if e.ResponseID != e.ID || !matches {
			out = append(out, Violation{"whole answers", fmt.Sprintf("%s got an answer to %q: %.80q where %.80q was due", e.ID, e.ResponseID, e.Body, e.WantBody)})
		}
	}
	return out
}

// checkVersions checks that no stream holds events of two software versions, whatever happened to the
// hosts.
func checkVersions(r *Record) (out []Violation) {
	for _, e := range r.Exchanges {
		if len(e.Versions) > 1 {
			out = append(out, Violation{"one version", fmt.Sprintf("%s, which resumes %q after event %d, holds events of %v", e.ID, e.Resumes, e.ResumeAfter, e.Versions)})
		}
	}
	return out
}

func executionsByID(r *Record) map[string][]Execution {
	executions := map[string][]Execution{}
	for _, execution := range r.Executions {
		executions[execution.ID] = append(executions[execution.ID], execution)
	}
	return executions
}

// checkAtMostOnce checks that requests of at-most-once routes are not executed twice.
func checkAtMostOnce(r *Record) (out []Violation) {
	executions := executionsByID(r)
	for _, e := range r.Exchanges {
		if n := len(executions[e.ID]); e.Route.AtMostOnce() && n > 1 {
			out = append(out, Violation{"at most once", fmt.Sprintf("%s (%s) ran %d times", e.ID, e.Route, n)})
		}
	}
	return out
}

// checkRefusals checks that requests refused as not executed were not executed.
func checkRefusals(r *Record) (out []Violation) {
	executions := executionsByID(r)
	for _, e := range r.Exchanges {
		if e.Route.AtMostOnce() && claimsNotExecuted(e.Status) && len(executions[e.ID]) > 0 {
			out = append(out, Violation{"not run is true", fmt.Sprintf("%s (%s) was refused with %d and ran", e.ID, e.Route, e.Status)})
		}
	}
	return out
}

// checkRetries checks that the number of retries stays within the retry budget.
func checkRetries(r *Record) []Violation {
	executions := executionsByID(r)
	retries := 0
	for _, sameID := range executions {
		retries += len(sameID) - 1
	}
	// Each process of a host has its own burst for each of the two pools.
	processes := map[[2]int]bool{}
	for _, e := range r.Exchanges {
		processes[[2]int{e.Host, e.Incarnation}] = true
	}
	maxRetries := MaxRetryRatio*float64(len(r.Exchanges)) + retryBurst*2*float64(len(processes))
	if float64(retries) > maxRetries {
		return []Violation{{"retry budget", fmt.Sprintf("%d repeats of %d requests", retries, len(r.Exchanges))}}
	}
	return nil
}

// checkDrain checks that hosts that can read the store send no new requests to a draining upstream.
func checkDrain(r *Record) (out []Violation) {
	exchanges := map[string]Exchange{}
	for _, e := range r.Exchanges {
		exchanges[e.ID] = e
	}
	for _, c := range r.Changes {
		if c.DrainingUpstream == "" {
			continue
		}
		for _, execution := range r.Executions {
			e, known := exchanges[execution.ID]
			late := execution.Started.Sub(c.At) - MaxDrainDelay
			if execution.Upstream == c.DrainingUpstream && known && late > timingSlack && r.undisturbed(e.Host, execution.Started, SettleTime+MaxDrainDelay) {
				out = append(out, Violation{"drain", fmt.Sprintf("%s reached %s %s after it said that it leaves", e.ID, c.DrainingUpstream, execution.Started.Sub(c.At))})
			}
		}
	}
	return out
}

// checkRouteAdded checks that hosts that can read the store serve an added route in time.
func checkRouteAdded(r *Record) (out []Violation) {
	for _, c := range r.Changes {
		for _, e := range r.Exchanges {
			if c.RouteNumber > 0 && e.Route == Probe && e.RouteNumber == c.RouteNumber && e.Status == http.StatusNotFound &&
				e.Sent.Sub(c.At) > MaxConfigDelay+timingSlack && r.undisturbed(e.Host, e.Ended, SettleTime+MaxConfigDelay) {
				out = append(out, Violation{"in force", fmt.Sprintf("host %d does not know route %d %s after it was added", e.Host, c.RouteNumber, e.Sent.Sub(c.At))})
			}
		}
	}
	return out
}

// checkNoRollback checks that a process that has served an added route goes on knowing it.
func checkNoRollback(r *Record) (out []Violation) {
	type processRoute struct{ host, incarnation, routeNumber int }
	served := map[processRoute]time.Time{}
	for _, e := range r.Exchanges {
		key := processRoute{e.Host, e.Incarnation, e.RouteNumber}
		if at, ok := served[key]; e.Route == Probe && e.Status == http.StatusOK && (!ok || e.Ended.Before(at)) {
			served[key] = e.Ended
		}
	}
	for _, e := range r.Exchanges {
		at, ok := served[processRoute{e.Host, e.Incarnation, e.RouteNumber}]
		if e.Route == Probe && e.Status == http.StatusNotFound && ok && e.Sent.After(at) {
			out = append(out, Violation{"never back", fmt.Sprintf("host %d forgot route %d", e.Host, e.RouteNumber)})
		}
	}
	return out
}

// checkRevocation checks that no host accepts a revoked key after MaxRevocationDelay.
func checkRevocation(r *Record) (out []Violation) {
	executions := executionsByID(r)
	for _, c := range r.Changes {
		for _, e := range r.Exchanges {
			if c.RevokedKey != "" && e.Key == c.RevokedKey && e.Sent.Sub(c.At) > MaxRevocationDelay && len(executions[e.ID]) > 0 {
				out = append(out, Violation{"revocation", fmt.Sprintf("%s ran %s after its key was revoked", e.ID, e.Sent.Sub(c.At))})
			}
		}
	}
	return out
}

// checkEvacuation checks that hosts that can read the store send nothing to an evacuated failure
// domain.
func checkEvacuation(r *Record) (out []Violation) {
	exchanges := map[string]Exchange{}
	for _, e := range r.Exchanges {
		exchanges[e.ID] = e
	}
	for _, c := range r.Changes {
		for _, execution := range r.Executions {
			e, known := exchanges[execution.ID]
			late := execution.Started.Sub(c.At) > MaxEvacuationDelay+timingSlack && execution.Started.Before(c.EvacuatedUntil)
			if c.EvacuatedDomain != "" && execution.FailureDomain == c.EvacuatedDomain && known && late && r.undisturbed(e.Host, execution.Started, SettleTime+MaxEvacuationDelay) {
				out = append(out, Violation{"evacuation", fmt.Sprintf("%s reached %s %s after its failure domain was evacuated", e.ID, execution.Upstream, execution.Started.Sub(c.At))})
			}
		}
	}
	return out
}

// checkColdUpstreams checks that no cold upstream got more requests than it bears, whatever happened
// to the hosts.
func checkColdUpstreams(r *Record) (out []Violation) {
	for _, upstream := range r.ColdCrashes {
		out = append(out, Violation{"cold upstreams", upstream + " crashed because it got too many requests while it was cold"})
	}
	return out
}

// checkRecovery checks that requests are served again after the last fault.
func checkRecovery(r *Record) []Violation {
	sent, served := 0, 0
	for _, e := range r.Exchanges {
		if e.Sent.Sub(r.FaultEnd) > MaxRecoveryTime && e.Route != Probe && e.Status != http.StatusUnauthorized {
			sent++
			if e.Status == http.StatusOK && e.Complete {
				served++
			}
		}
	}
	if sent == 0 || float64(served) < minServedRatio*float64(sent) {
		return []Violation{{"recovery", fmt.Sprintf("%d of %d requests are served after the last fault", served, sent)}}
	}
	return nil
}

// checkGracefulStop checks that a graceful stop cuts off no request that was sent before it, unless
// another fault occurred around the stop.
func checkGracefulStop(r *Record) (out []Violation) {
	for _, s := range r.GracefulStops {
		for _, e := range r.Exchanges {
			inProgress := e.Host == s.Host && e.Sent.Before(s.From) && e.Ended.After(s.From)
			if inProgress && !e.Complete && r.undisturbedExcept(s, e.Ended) {
				out = append(out, Violation{"graceful stop", fmt.Sprintf("%s was cut off", e.ID)})
			}
		}
	}
	return out
}

// undisturbedExcept reports whether, from SettleTime before a stop until a time, no fault but the
// stop affected its host, and none affected an upstream.
func (r *Record) undisturbedExcept(stop Interval, at time.Time) bool {
	for _, d := range r.HostFaults {
		if d != stop && (d.Host == stop.Host || d.Host < 0) && d.From.Before(at) && d.To.After(stop.From.Add(-SettleTime)) {
			return false
		}
	}
	for _, u := range r.UpstreamFaults {
		if u.From.Before(at) && u.To.After(stop.From.Add(-SettleTime)) {
			return false
		}
	}
	return true
}

// checkBrittleUpstreams checks that hosts do not make brittle upstreams fall over.
func checkBrittleUpstreams(r *Record) (out []Violation) {
	for _, b := range r.BrittleTimes {
		if b.Falls > maxFalls+b.Upstreams/maxFallsDivisor {
			out = append(out, Violation{"brittle upstreams", fmt.Sprintf("%d upstreams of %s fell over %d times", b.Upstreams, b.Service, b.Falls)})
		}
	}
	return out
}

// checkPartCrashes checks that requests with a part that crashes engines no longer reach them.
func checkPartCrashes(r *Record) (out []Violation) {
	for _, p := range r.PartCrashes {
		if len(p.CrashedAt) < maxPartCrashes {
			continue
		}
		late := 0
		for _, execution := range r.Executions {
			host, known := p.Hosts[execution.ID]
			after := execution.Started.Sub(p.CrashedAt[maxPartCrashes-1]) > SettleTime+timingSlack
			if known && after && r.undisturbed(host, execution.Started, SettleTime) {
				late++
			}
		}
		if late > maxLateParts {
			out = append(out, Violation{"crashing part", fmt.Sprintf("%d requests with a part reached engines after it had crashed %d of them, %d in all", late, maxPartCrashes, len(p.CrashedAt))})
		}
	}
	return out
}

// checkConvergence checks that all hosts know each other and the number of store restores at the
// end of the run.
func checkConvergence(r *Record) (out []Violation) {
	for n, view := range r.HostViews {
		if !r.isCurrent(view) {
			out = append(out, Violation{"hosts agree", fmt.Sprintf("host %d knows %d of %d hosts and %d of %d restores", n, view.Hosts, r.Hosts, view.StoreRestores, r.StoreRestores)})
		}
	}
	return out
}
