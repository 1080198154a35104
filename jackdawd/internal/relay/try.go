package relay

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"jackdawhinge/common/traffic"
	"jackdawhinge/jackdawd/internal/control"
	"jackdawhinge/jackdawd/internal/exchange"
)

const (
	// silentTargets is how many times its target a repeatable request waits for a
	// silent upstream before it goes to another one.
	silentTargets = 2
	// leastSilence is the least time that such a request waits.
	leastSilence = 600 * time.Millisecond
	// wholeBytes is the size up to which an answer is gathered before it goes to the
	// caller, so that one that breaks off can be had from another upstream.
	wholeBytes = 256 << 10
	// chunkBytes is how much of an answer is read at once.
	chunkBytes = 16 << 10
)

// firstWithin returns how long an upstream may be silent before another is tried,
// or 0 where no other may be; sent counts the upstreams, that one included.
func (j *job) firstWithin(sent int) time.Duration {
	if !j.mayMove(sent) {
		return 0
	}
	return max(silentTargets*j.route.Target, leastSilence)
}

// fullShare is the part of its slots from which an upstream counts as full: hosts know
// of loads about a second late.
const fullShare = 0.9

// overloaded reports whether the upstream is known to be full, which explains that it is
// silent. A request that went elsewhere then would lose its place in the queue and what
// was read of its prompt, and find no shorter queue.
func (j *job) overloaded(u *traffic.Upstream) bool {
	return u.Slots > 0 && j.Loads.Estimate(time.Now(), u) >= fullShare*float64(u.Slots)
}

// mayMove reports whether the request may go on elsewhere after a number of upstreams.
func (j *job) mayMove(sent int) bool {
	return j.route.Repeatable() && sent < j.route.MaxUpstreams
}

// try sends the request to an upstream and its answer to the caller.
func (j *job) try(ctx context.Context, u *traffic.Upstream) result {
	j.tried = append(j.tried, u.Start())
	now := time.Now()
	j.triedAt = now
	j.Loads.Begin(now, u)
	j.Turnovers.Began(now, j.pool.Name)
	if j.cached {
		j.Balancer.Begin(j.key)
	}
	run := j.Admission.Send(now, j.admissionRequest(), u.Start(), j.delay)
	whole := false
	defer func() {
		now := time.Now()
		j.Loads.End(now, u)
		if whole {
			j.Turnovers.Ended(now, j.pool.Name, j.route.Name, now.Sub(j.triedAt))
		}
		if j.cached {
			j.Balancer.End(j.key)
		}
		run.Ended(now, whole)
	}()
	j.watch = j.watchOver(ctx, u)
	defer j.watch.stop()
	call := j.call(u)
	answer, err := j.Client.Do(ctx, call)
	if err != nil {
		return j.noAnswer(ctx, u, err)
	}
	defer answer.Close()
	j.sent++
	head := answer.Head()
	if head.Load != nil {
		j.Loads.Told(time.Now(), u, *head.Load)
	}
	replacedBy := head.NotRun && head.Upstream != "" && head.Upstream != u.ID
	if head.Leaving && !replacedBy {
		j.Members.Leaves(u.Start())
	}
	if head.WantsNoneFor > 0 && !replacedBy {
		j.Pauses.Ask(time.Now(), u.Start(), head.WantsNoneFor)
	}
	switch {
	case replacedBy:
		j.sent--
		j.Members.Lost(u.Start())
		return result{verdict: replaced}
	case head.NotRun:
		if head.Load == nil && u.Slots > 0 {
			// It tells no load but that it is full. Without this the next requests would be
			// sent there only to be turned away as well.
			j.Loads.Told(time.Now(), u, traffic.Load{Running: u.Slots, Waiting: u.Slots, Slots: u.Slots})
		}
		if head.WantsNoneFor == 0 {
			j.observe(ctx, u, control.Broken)
		}
		return result{verdict: rejected}
	}
	j.mayHaveRun = true
	run.Began(time.Now())
	streams := head.Events && answer.Status() == http.StatusOK
	switch {
	case answer.Status() < http.StatusMultipleChoices && !head.Sealed:
		return j.observed(ctx, u, result{verdict: broken, err: errUnsealed})
	case streams:
		r := j.stream(ctx, answer)
		whole = r.verdict == answered
		return j.observed(ctx, u, r)
	case j.begun:
		return j.observed(ctx, u, result{verdict: broken, err: errNoStream})
	}
	r := j.whole(ctx, answer)
	whole = r.verdict == answered
	return j.observed(ctx, u, r)
}

// noAnswer judges a call that brought no head.
func (j *job) noAnswer(ctx context.Context, u *traffic.Upstream, err error) result {
	var notSent *exchange.NotSentError
	if errors.As(err, &notSent) {
		if !errors.Is(err, exchange.ErrBusy) {
			j.observe(ctx, u, control.Broken)
		}
		return result{verdict: unsent, err: err}
	}
	j.sent++
	j.mayHaveRun = true
	return j.observed(ctx, u, result{verdict: broken, err: err})
}

// observed tells what the try says of the upstream, and returns its result.
func (j *job) observed(ctx context.Context, u *traffic.Upstream, r result) result {
	if r.verdict == answered && j.cached {
		j.Warmth.Used(time.Now(), j.key, u.Start())
	}
	j.suspect(u, r)
	switch r.verdict {
	case callerLeft:
	case failed:
		j.observe(ctx, u, control.Failed)
	case broken:
		j.observe(ctx, u, control.Broken)
	default:
		j.observe(ctx, u, control.Good)
	}
	return r
}

// observe tells how the try went, once. A caller that left or a deadline that passed ends
// the call like a failure would, and speaks against nobody.
func (j *job) observe(ctx context.Context, u *traffic.Upstream, x control.Experience) {
	if j.watch.stop() && (x == control.Good || ctx.Err() == nil) {
		j.Members.Observe(u.Start(), x)
	}
}

// wholeAnswer is an answer that has been gathered.
type wholeAnswer struct {
	status int
	header http.Header
	body   []byte
}

// whole brings an answer that is no stream to the caller.
func (j *job) whole(ctx context.Context, a *exchange.Answer) result {
	body, err := io.ReadAll(io.LimitReader(a, wholeBytes))
	if err != nil {
		return result{verdict: broken, err: err}
	}
	answer := &wholeAnswer{status: a.Status(), header: a.Header(), body: body}
	if len(body) == wholeBytes {
		return j.long(ctx, a, answer)
	}
	if a.Status() >= http.StatusInternalServerError {
		return result{verdict: failed, answer: answer}
	}
	j.pass(answer)
	return result{verdict: answered}
}

var (
	errUnsealed = errors.New("a success without the upstream's signature")
	errNoStream = errors.New("no stream where one should go on")
)

// pass sends a gathered answer to the caller.
func (j *job) pass(a *wholeAnswer) {
	if len(a.body) > 0 {
		j.w.Header().Set("Content-Length", strconv.Itoa(len(a.body)))
	}
	j.begin(a.status, a.header)
	// A caller that has gone away needs no answer.
	_, _ = j.w.Write(a.body)
}

// begin sends the head of an answer.
func (j *job) begin(status int, header http.Header) {
	j.Protocol.Returned(j.w.Header(), header)
	if header.Get("Content-Type") == "" {
		// The server would else guess a type that the upstream did not send.
		j.w.Header()["Content-Type"] = nil
	}
	j.watch.heard(j.pauseWithin())
	j.begun, j.status, j.firstEvent = true, status, time.Since(j.arrived)
	j.w.WriteHeader(status)
}

// long passes on an answer that is too large to gather.
func (j *job) long(ctx context.Context, a *exchange.Answer, first *wholeAnswer) result {
	if a.Length() >= 0 {
		// With its length known the caller sees an answer that is cut.
		j.w.Header().Set("Content-Length", strconv.FormatInt(a.Length(), 10))
	}
	j.begin(first.status, first.header)
	if _, err := j.w.Write(first.body); err != nil {
		return result{verdict: callerLeft, err: err}
	}
	if _, err := io.CopyBuffer(onlyWriter{j.w}, onlyReader{a}, make([]byte, chunkBytes)); err != nil {
		if ctx.Err() != nil {
			return result{verdict: callerLeft, err: err}
		}
		return result{verdict: broken, err: err}
	}
	return result{verdict: answered}
}

// onlyWriter and onlyReader keep io.Copy to the buffer that it is given.
type onlyWriter struct{ io.Writer }

type onlyReader struct{ io.Reader }
