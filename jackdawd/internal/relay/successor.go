package relay

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"jackdawhinge/common/traffic"
	"jackdawhinge/jackdawd/internal/exchange"
)

const (
	// reasonFull is the reason if the upstream that would take a request over is full.
	reasonFull = "upstreams-full"
	// reasonAvoided is the reason if all upstreams that could take a request over are avoided for recent failures.
	reasonAvoided = "upstreams-avoided"
	// reasonAttemptsBounded is the reason if the request was tried as often as it may be.
	reasonAttemptsBounded = "attempts-bounded"
	// reasonConnectionsBounded is the reason if this host uses its share of connections to the upstream.
	reasonConnectionsBounded = "connections-bounded"
	// reasonSuccessorPrefix precedes the verdict of an upstream that was asked to take a request over and did not.
	reasonSuccessorPrefix = "successor-"
	// reasonBudgetSpent is the reason if the budget allows no retry.
	reasonBudgetSpent = "budget-spent"
)

// A successor is an upstream that is asked to take a request over while the one before it, which is silent, goes on.
// The one before it is given up once the successor has accepted: it may be sound, and the successor may be full, gone
// or silent itself.
type successor struct {
	attempt *attempt
	// ready is set once the response's header was read, or the request has failed.
	ready atomic.Bool
	// done is closed after that.
	done chan struct{}
	err  error
}

// nextUpstream returns the upstream of the next attempt, or nil if there is none.
func (j *job) nextUpstream() *traffic.Upstream {
	if j.successor != nil {
		return j.successor.attempt.upstream
	}
	return j.place()
}

// handleSilence reports whether another upstream has accepted the request, for which the current one, which is silent, is
// to be given up. While none has, it asks one after the other. recheck makes it be called again at once.
func (j *job) handleSilence(ctx context.Context, recheck func()) bool {
	if s := j.successor; s != nil && s.ready.Load() {
		if <-s.done; s.err == nil && j.accepts(s.attempt.response) {
			return true
		}
		j.endFailedSuccessor(ctx)
	}
	if j.isFull(j.current.upstream) || j.isCallerBehind() || !j.mayFailOver(j.sendingCount()) || !j.isSuccessorSilent() {
		return false
	}
	if j.dropSuccessor(); j.mayFailOver(j.sendingCount()) {
		j.askSuccessor(ctx, recheck)
	}
	return false
}

// sendingCount returns the number of upstreams that were sent the request, or are being sent it.
func (j *job) sendingCount() int {
	n := j.sentCount
	if j.current.response == nil {
		n++
	}
	if j.successor != nil {
		n++
	}
	return n
}

// isSuccessorSilent reports whether the successor has been silent for too long, or there is none.
func (j *job) isSuccessorSilent() bool {
	s := j.successor
	return s == nil || !j.isFull(s.attempt.upstream) && time.Since(s.attempt.startedAt) >= j.firstByteTimeout(0)
}

// accepts reports whether a response is one for which another upstream is given up.
func (j *job) accepts(response *exchange.Response) bool {
	return !response.Head().NotExecuted && j.responseError(response) == nil && response.Status() < http.StatusInternalServerError && !claimsNotRun(response.Status())
}

// askSuccessor sends the request to another upstream if there is one that is likely to take it over.
func (j *job) askSuccessor(ctx context.Context, recheck func()) {
	c, release, reason := candidate{}, func() {}, reasonBudgetSpent
	// The budget is asked first: when many upstreams are silent, it is spent soon, and a look at all others takes time.
	if j.RetryBudgets.CanWithdraw(time.Now(), j.pool.Name) {
		c = j.findCandidate()
		release, reason = j.reserveSuccessor(c)
	}
	if reason != "" {
		j.addKeptStep(Step{Candidates: c.step.Candidates, Avoided: c.step.Avoided, Reason: reason})
		return
	}
	j.placeAt(c)
	exchangeCtx, cancel := context.WithCancel(ctx)
	s := &successor{attempt: j.startAttempt(c.upstream), done: make(chan struct{})}
	a := s.attempt
	a.release, a.cancel = release, cancel
	a.watchdog = j.startWatchdog(ctx, a.upstream)
	j.successor = s
	req := j.upstreamRequest(ctx, a, 0)
	go func() {
		defer close(s.done)
		a.response, s.err = j.Client.Do(exchangeCtx, req)
		s.ready.Store(true)
		recheck()
	}()
}

// addKeptStep adds the step that the current upstream is waited for, unless it was the last step already.
func (j *job) addKeptStep(s Step) {
	s.Decision, s.Upstream = Kept, j.current.upstream.ID
	if last := j.steps[len(j.steps)-1]; last.Decision != Kept || last.Reason != s.Reason {
		j.addStep(s)
	}
}

// endFailedSuccessor ends the attempt of a successor that did not accept the request.
func (j *job) endFailedSuccessor(ctx context.Context) {
	s := j.successor
	j.successor = nil
	r, ended := j.handleHead(ctx, s.attempt, s.err)
	if !ended {
		r = result{verdict: failed}
		if err := j.responseError(s.attempt.response); err != nil {
			r = result{verdict: broken, err: err}
		}
		r = j.conclude(ctx, s.attempt, r)
	}
	j.closeAttempt(s.attempt, false)
	j.addStep(s.attempt.step(r))
	j.addKeptStep(Step{Reason: reasonSuccessorPrefix + string(r.verdict)})
}

// dropSuccessor ends the attempt of a successor that is not needed, or is silent itself.
func (j *job) dropSuccessor() {
	s := j.successor
	if s == nil {
		return
	}
	j.successor = nil
	s.attempt.cancel()
	<-s.done
	if s.attempt.sent != nil {
		j.sentCount++
		j.mayHaveRun = true
	}
	j.closeAttempt(s.attempt, false)
	j.addStep(s.attempt.step(result{verdict: unneeded}))
}

// step returns the step of an attempt that has ended.
func (a *attempt) step(r result) Step {
	return Step{Decision: Tried, Upstream: a.upstream.ID, Verdict: string(r.verdict), Err: r.err, Connect: a.connectTime, Through: a.through}
}

// reserveSuccessor returns the reason why a candidate is not asked to take the request over, or "" if it is. It then
// takes all that the attempt needs; release gives a place at the candidate back.
func (j *job) reserveSuccessor(c candidate) (release func(), reason string) {
	_, quarantined := j.findQuarantined()
	switch {
	case quarantined:
		return nil, reasonQuarantined
	case len(j.attempted) >= maxAttempts:
		return nil, reasonAttemptsBounded
	case c.upstream == nil:
		return nil, reasonNoUpstream
	case c.avoided:
		return nil, reasonAvoided
	case j.isFull(c.upstream) || j.wouldStartTooLate(c.upstream, c.choice.MaxDelay):
		return nil, reasonFull
	case !j.Client.HasRoom(c.upstream.Address, j.maxConnections()):
		return nil, reasonConnectionsBounded
	}
	release, ok := j.takeBrittle(c.upstream, int(j.Loads.Load(time.Now(), c.upstream).Own)+1)
	// The budget and the limit come last, as they were not reached a moment ago and nothing gives them back.
	switch {
	case !ok:
		return nil, reasonBrittle
	case !j.RetryBudgets.TryWithdraw(time.Now(), j.pool.Name):
		release()
		return nil, reasonBudgetSpent
	case !j.takeCold(c):
		release()
		return nil, reasonCold
	}
	return release, ""
}
