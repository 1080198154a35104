package fleet

import (
	"fmt"
	"math"
	"slices"
	"testing"
	"time"

	"jackdawhinge/common/traffic"
	"jackdawhinge/jackdawd/internal/control"
)

// silentSpan is a time in which an upstream sends and does nothing.
type silentSpan struct{ from, until time.Time }

// silence makes upstreams silent, and schedules the next silence.
func (s *simulation) silence() {
	n := max(int(math.Round(s.load.silentRatio*float64(len(s.engines)))), 1)
	for _, i := range s.random.Perm(len(s.engines))[:n] {
		u := s.engines[i]
		s.silences[u] = append(s.silences[u], silentSpan{s.now, s.now.Add(s.load.silentFor)})
		if s.load.failover != nil {
			s.failOverFrom(u)
		}
	}
	if s.load.silentEvery > 0 {
		s.after(s.load.silentEvery, s.silence)
	}
}

// upstreamNow returns the time of an upstream's own clock, which stands still while it is silent.
func (s *simulation) upstreamNow(u *traffic.Upstream) time.Time {
	now := s.now
	for _, span := range s.silences[u] {
		now = now.Add(-min(s.now.Sub(span.from), span.until.Sub(span.from)))
	}
	return now
}

// remainingSilence returns how long an upstream will be silent.
func (s *simulation) remainingSilence(u *traffic.Upstream) time.Duration {
	spans := s.silences[u]
	if len(spans) == 0 {
		return 0
	}
	return max(spans[len(spans)-1].until.Sub(s.now), 0)
}

// upstreamAfter does something after a time by an upstream's own clock.
func (s *simulation) upstreamAfter(u *traffic.Upstream, d time.Duration, do func()) {
	due := s.upstreamNow(u).Add(d)
	var check func()
	check = func() {
		if rest := due.Sub(s.upstreamNow(u)); rest > 0 {
			s.after(rest+s.remainingSilence(u), check)
			return
		}
		do()
	}
	s.after(d+s.remainingSilence(u), check)
}

// simulatedFailover is what hosts do when an upstream sends nothing.
type simulatedFailover struct {
	// leaveAfter is when a request without a response leaves for another upstream, reportAfter when its upstream
	// is reported as silent, resumeAfter when a stream is resumed elsewhere.
	leaveAfter, reportAfter, resumeAfter time.Duration
	// breakAfter is when connections to a silent upstream break.
	breakAfter time.Duration
	// target is when responses are on time, patience when callers leave.
	target, patience time.Duration
}

// responseCounts counts requests by how they ended.
type responseCounts struct {
	requests, onTime, late, failed, retries int
	// overlapping counts attempts that upstreams worked on 400 ms after others had taken them over.
	overlapping int
}

// plus returns the sums of two counts.
func (c responseCounts) plus(o responseCounts) responseCounts {
	return responseCounts{c.requests + o.requests, c.onTime + o.onTime, c.late + o.late, c.failed + o.failed, c.retries + o.retries, c.overlapping + o.overlapping}
}

// simulatedAttempt is one attempt of a request.
type simulatedAttempt struct {
	host    *simulatedHost
	u       *traffic.Upstream
	kind    int
	key     uint64
	arrived time.Time
	// started is set once the response has begun, answered once an earlier attempt had begun it.
	started, answered, ended, isRetry bool
}

// startRequest starts a request whose host fails over.
func (s *simulation) startRequest(h *simulatedHost, kind int, key uint64) {
	s.responses.requests++
	h.retries.Deposit(s.now, simulatedPool)
	s.try(&simulatedAttempt{host: h, kind: kind, key: key, arrived: s.now}, nil)
}

// candidates returns the upstreams that a host may choose but for one.
func (s *simulation) candidates(h *simulatedHost, except *traffic.Upstream) []*traffic.Upstream {
	var names []string
	for _, u := range h.engines {
		names = append(names, u.ID)
	}
	avoided := h.outliers.Avoided(s.now, names)
	var eligible []*traffic.Upstream
	for _, u := range h.engines {
		if !avoided[u.ID] && u != except {
			eligible = append(eligible, u)
		}
	}
	if len(eligible) == 0 && except == nil {
		return h.engines
	}
	return eligible
}

// try sends an attempt to an upstream other than a given one.
func (s *simulation) try(a *simulatedAttempt, except *traffic.Upstream) {
	f := s.load.failover
	a.u = s.choose(a.host, s.candidates(a.host, except), a.kind, a.key)
	s.attempts[a.u] = append(s.attempts[a.u], a)
	delay, duration := s.begin(a.host, a.u, a.kind, a.key)
	begun := s.now
	// A plain service responds with the whole answer.
	if s.load.work.slots > 0 {
		delay = duration
	}
	s.upstreamAfter(a.u, delay, func() {
		if !a.ended && !a.answered {
			s.countResponse(a)
		}
		a.started, a.answered = true, true
	})
	s.upstreamAfter(a.u, duration, func() {
		s.endAtUpstream(a.u)
		if !a.ended {
			s.endAttempt(a, s.now.Sub(begun))
			a.host.outliers.Observe(s.now, a.u.ID, control.Succeeded)
		}
	})
	s.after(f.reportAfter, func() {
		if !a.started && !a.ended {
			a.host.outliers.Observe(s.now, a.u.ID, control.TimedOut)
		}
	})
	s.after(f.leaveAfter, func() { s.leave(a, f.leaveAfter/4, func() bool { return !a.started }) })
	s.after(f.breakAfter, func() {
		if !a.started && !a.ended && s.remainingSilence(a.u) > 0 {
			s.breakOff(a)
		}
	})
}

// endAttempt ends an attempt at its host.
func (s *simulation) endAttempt(a *simulatedAttempt, took time.Duration) {
	a.ended = true
	s.attempts[a.u] = slices.DeleteFunc(s.attempts[a.u], func(other *simulatedAttempt) bool { return other == a })
	s.endAtHost(a.host, a.u, a.kind, a.key, took)
}

// countResponse counts a response that begins now.
func (s *simulation) countResponse(a *simulatedAttempt) {
	switch f, took := s.load.failover, s.now.Sub(a.arrived); {
	case took <= f.target:
		s.responses.onTime++
	case took <= f.patience:
		s.responses.late++
	default:
		s.responses.failed++
	}
}

// leave moves an attempt to another upstream while its own one is awaited, or tries again later.
func (s *simulation) leave(a *simulatedAttempt, again time.Duration, awaited func() bool) {
	if a.ended || a.isRetry || !awaited() {
		return
	}
	if len(s.candidates(a.host, a.u)) == 0 || !a.host.retries.TryWithdraw(s.now, simulatedPool) {
		s.after(again, func() { s.leave(a, again, awaited) })
		return
	}
	s.move(a)
}

// move ends an attempt, for which a retry was taken from the budget, and tries another upstream.
func (s *simulation) move(a *simulatedAttempt) {
	s.responses.retries++
	if s.remainingSilence(a.u) > 400*time.Millisecond {
		s.responses.overlapping++
	}
	s.endAttempt(a, s.now.Sub(a.arrived))
	s.try(&simulatedAttempt{host: a.host, kind: a.kind, key: a.key, arrived: a.arrived, answered: a.answered, isRetry: true}, a.u)
}

// breakOff ends an attempt whose connection breaks.
func (s *simulation) breakOff(a *simulatedAttempt) {
	a.host.outliers.Observe(s.now, a.u.ID, control.ConnectionFailed)
	if !a.isRetry && len(s.candidates(a.host, a.u)) > 0 && a.host.retries.TryWithdraw(s.now, simulatedPool) {
		s.move(a)
		return
	}
	s.endAttempt(a, s.now.Sub(a.arrived))
	s.responses.failed++
}

// failOverFrom resumes the streams of an upstream that has fallen silent, or ends them as their connections break.
func (s *simulation) failOverFrom(u *traffic.Upstream) {
	f := s.load.failover
	for _, a := range s.attempts[u] {
		if !a.started {
			continue
		}
		s.after(f.resumeAfter, func() { s.leave(a, f.resumeAfter/4, func() bool { return s.remainingSilence(u) > 0 }) })
		s.after(f.breakAfter, func() {
			if !a.ended && s.remainingSilence(u) > 0 {
				s.breakOff(a)
			}
		})
	}
}

// BenchmarkLeavingSilentUpstreams counts, per thousand requests, responses that begin late or fail, retries, attempts
// that two upstreams work on, and prompts computed, by when requests without a response leave silent upstreams.
func BenchmarkLeavingSilentUpstreams(b *testing.B) {
	const lost = 5 * time.Second
	engines := simulatedLoad{hosts: 87, engines: 78, rate: 600}
	services := simulatedLoad{hosts: 87, engines: 8, rate: 392, work: documentWorkload, withoutPlans: true}
	for _, load := range []simulatedLoad{engines, services} {
		load.duration, load.silentFrom = 18*time.Second, 8*time.Second
		for _, load.silentFor = range []time.Duration{time.Second, 1500 * time.Millisecond, lost} {
			for _, load.silentRatio = range []float64{0.05, 0.2, 0.6, 1} {
				for _, leaveAfter := range []time.Duration{600 * time.Millisecond, 800 * time.Millisecond, 1200 * time.Millisecond, 1600 * time.Millisecond} {
					b.Run(fmt.Sprintf("slots=%d/silent=%s/ratio=%.2f/leave=%s", load.work.slots, load.silentFor, load.silentRatio, leaveAfter), func(b *testing.B) {
						load.failover = &simulatedFailover{leaveAfter: leaveAfter, reportAfter: 800 * time.Millisecond, resumeAfter: 1600 * time.Millisecond, breakAfter: 3 * time.Second, target: 400 * time.Millisecond, patience: 3200 * time.Millisecond}
						if load.work.slots > 0 {
							load.failover.reportAfter, load.failover.target, load.failover.patience = 600*time.Millisecond, 150*time.Millisecond, 2*time.Second
						}
						counts, reads := responseCounts{}, 0
						for i := range b.N {
							s := newSimulation(load, uint64(i))
							s.run()
							counts, reads = counts.plus(s.responses), reads+s.reads
						}
						for unit, n := range map[string]int{"late": counts.late, "failed": counts.failed, "retries": counts.retries, "twice": counts.overlapping, "reads": reads} {
							b.ReportMetric(1000*float64(n)/float64(counts.requests), unit+"/1000")
						}
					})
				}
			}
		}
	}
}
