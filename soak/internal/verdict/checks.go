package verdict

import (
	"fmt"
	"net/http"
	"strings"
	"time"
)

// The bounds of the promises; they are those of the settings that the hosts get.
const (
	// Settle is how long after a disturbance bounds hold again.
	Settle = 3 * time.Second
	// InForce is how long an old configuration may be acted on.
	InForce = 2 * time.Second
	// Revoke is how long a revoked key may be honored, by any host.
	Revoke = 5 * time.Second
	// Drain is how long a leaving upstream may be sent work.
	Drain = 2 * time.Second
	// slack is added to each bound for the machine that all processes share.
	slack = 500 * time.Millisecond
	// RetryRatio and retrySlack bound the repeats of all hosts together.
	RetryRatio = 0.2
	retrySlack = 3
	// Recover is how long after the last fault the system may take to serve again.
	Recover = 6 * time.Second
	// LoadMultiple and loadSlack bound the requests of an upstream by the mean of its pool;
	// some may find more, as hosts know of each other's a second late.
	LoadMultiple = 2
	loadSlack    = 3
	mostOver     = 20
	overShare    = 0.03
	// Acquaint is how long after the last fault hosts may take to know each other: one that started without the store
	// tries again to write its notice within 4.5 s, and readers read the list of hosts each 16.5 s at most.
	Acquaint = 24 * time.Second
	// servedShare is the share that must then be served.
	servedShare = 0.95
)

// A Violation is a promise that was broken.
type Violation struct {
	Promise string
	Detail  string
}

// String returns promise and detail.
func (v Violation) String() string { return v.Promise + ": " + v.Detail }

// Check returns the promises that a record breaks.
func Check(r *Record) []Violation {
	checks := []func(*Record) []Violation{wholeAnswers, atMostOnce, truthfulRefusals, retries, drained, inForce, neverBack, revoked, recovered, stoppedCleanly, bounded, acquainted}
	var all []Violation
	for _, check := range checks {
		all = append(all, check(r)...)
	}
	return all
}

// wholeAnswers: a success is the whole answer to its own request.
func wholeAnswers(r *Record) (out []Violation) {
	for _, e := range r.Exchanges {
		if e.Status != http.StatusOK || e.Route == Probe || !e.Whole {
			continue
		}
		right := strings.HasSuffix(e.Body, e.Want)
		if e.Route.Streams() {
			right = e.Body == e.Want
		}
		if e.AnswerID != e.ID || !right {
			out = append(out, Violation{"whole answers", fmt.Sprintf("%s got an answer to %q: %.80q where %.80q was due", e.ID, e.AnswerID, e.Body, e.Want)})
		}
	}
	return out
}

func runsByID(r *Record) map[string][]Run {
	runs := map[string][]Run{}
	for _, run := range r.Runs {
		runs[run.ID] = append(runs[run.ID], run)
	}
	return runs
}

// atMostOnce: what must not run twice does not.
func atMostOnce(r *Record) (out []Violation) {
	runs := runsByID(r)
	for _, e := range r.Exchanges {
		if n := len(runs[e.ID]); e.Route.Once() && n > 1 {
			out = append(out, Violation{"at most once", fmt.Sprintf("%s (%s) ran %d times", e.ID, e.Route, n)})
		}
	}
	return out
}

// truthfulRefusals: what is refused as not run was not run.
func truthfulRefusals(r *Record) (out []Violation) {
	runs := runsByID(r)
	for _, e := range r.Exchanges {
		if e.Route.Once() && promised(e.Status) && len(runs[e.ID]) > 0 {
			out = append(out, Violation{"not run is true", fmt.Sprintf("%s (%s) was refused with %d and ran", e.ID, e.Route, e.Status)})
		}
	}
	return out
}

// retries: repeats stay within the ratio.
func retries(r *Record) []Violation {
	runs := runsByID(r)
	repeats := 0
	for _, all := range runs {
		repeats += len(all) - 1
	}
	// Bursts are allowed to each host, in each of its lives and for each of two pools.
	lives := map[[2]int]bool{}
	for _, e := range r.Exchanges {
		lives[[2]int{e.Host, e.Life}] = true
	}
	most := RetryRatio*float64(len(r.Exchanges)) + retrySlack*2*float64(len(lives))
	if float64(repeats) > most {
		return []Violation{{"retry budget", fmt.Sprintf("%d repeats of %d requests", repeats, len(r.Exchanges))}}
	}
	return nil
}

// drained: a leaving upstream gets no new work, from hosts that can read the store.
func drained(r *Record) (out []Violation) {
	hosts := map[string]Exchange{}
	for _, e := range r.Exchanges {
		hosts[e.ID] = e
	}
	for _, c := range r.Changes {
		if c.Upstream == "" {
			continue
		}
		for _, run := range r.Runs {
			e, known := hosts[run.ID]
			late := run.At.Sub(c.At) - Drain
			if run.Upstream == c.Upstream && known && late > slack && r.calm(e.Host, run.At, Settle+Drain) {
				out = append(out, Violation{"drain", fmt.Sprintf("%s reached %s %s after it said that it leaves", e.ID, c.Upstream, run.At.Sub(c.At))})
			}
		}
	}
	return out
}

// inForce: a route that was added is served by hosts that can read the store.
func inForce(r *Record) (out []Violation) {
	for _, c := range r.Changes {
		for _, e := range r.Exchanges {
			if c.Number > 0 && e.Route == Probe && e.Number == c.Number && e.Status == http.StatusNotFound &&
				e.Sent.Sub(c.At) > InForce+slack && r.calm(e.Host, e.Ended, Settle+InForce) {
				out = append(out, Violation{"in force", fmt.Sprintf("host %d does not know route %d %s after it was added", e.Host, c.Number, e.Sent.Sub(c.At))})
			}
		}
	}
	return out
}

// neverBack: one process that has served a route does not forget it.
func neverBack(r *Record) (out []Violation) {
	type life struct{ host, life, number int }
	served := map[life]time.Time{}
	for _, e := range r.Exchanges {
		key := life{e.Host, e.Life, e.Number}
		if at, ok := served[key]; e.Route == Probe && e.Status == http.StatusOK && (!ok || e.Ended.Before(at)) {
			served[key] = e.Ended
		}
	}
	for _, e := range r.Exchanges {
		at, ok := served[life{e.Host, e.Life, e.Number}]
		if e.Route == Probe && e.Status == http.StatusNotFound && ok && e.Sent.After(at) {
			out = append(out, Violation{"never back", fmt.Sprintf("host %d forgot route %d", e.Host, e.Number)})
		}
	}
	return out
}

// revoked: a key is not honored for longer than the bound, by any host.
func revoked(r *Record) (out []Violation) {
	runs := runsByID(r)
	for _, c := range r.Changes {
		for _, e := range r.Exchanges {
			if c.Key != "" && e.Key == c.Key && e.Sent.Sub(c.At) > Revoke && len(runs[e.ID]) > 0 {
				out = append(out, Violation{"revocation", fmt.Sprintf("%s ran %s after its key was revoked", e.ID, e.Sent.Sub(c.At))})
			}
		}
	}
	return out
}

// recovered: after the last fault requests are served again.
func recovered(r *Record) []Violation {
	asked, served := 0, 0
	for _, e := range r.Exchanges {
		if e.Sent.Sub(r.FaultEnd) > Recover && e.Route != Probe && e.Status != http.StatusUnauthorized {
			asked++
			if e.Status == http.StatusOK && e.Whole {
				served++
			}
		}
	}
	if asked == 0 || float64(served) < servedShare*float64(asked) {
		return []Violation{{"recovery", fmt.Sprintf("%d of %d requests are served after the last fault", served, asked)}}
	}
	return nil
}

// stoppedCleanly: a graceful stop cuts off no request that was sent before it, unless
// another fault came in between.
func stoppedCleanly(r *Record) (out []Violation) {
	for _, s := range r.Stops {
		for _, e := range r.Exchanges {
			inProgress := e.Host == s.Host && e.Sent.Before(s.From) && e.Ended.After(s.From)
			if inProgress && !e.Whole && r.calmBut(s, e.Ended) {
				out = append(out, Violation{"graceful stop", fmt.Sprintf("%s was cut off", e.ID)})
			}
		}
	}
	return out
}

// calmBut reports whether nothing but a stop disturbed its host until a moment.
func (r *Record) calmBut(stop Span, at time.Time) bool {
	for _, d := range r.Disturbed {
		if d != stop && (d.Host == stop.Host || d.Host < 0) && d.From.Before(at) && d.To.After(stop.From.Add(-Settle)) {
			return false
		}
	}
	for _, u := range r.Upset {
		if u.From.Before(at) && u.To.After(stop.From.Add(-Settle)) {
			return false
		}
	}
	return true
}

// acquainted: after the last fault all hosts know each other and how often the store was restored.
func acquainted(r *Record) (out []Violation) {
	for n, known := range r.Known {
		if !r.agrees(known) {
			out = append(out, Violation{"hosts agree", fmt.Sprintf("host %d knows %d of %d hosts and %d of %d restores", n, known.Hosts, r.Hosts, known.Era, r.Era)})
		}
	}
	return out
}
