package relay

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"jackdawhinge/common/pause"
	"jackdawhinge/common/traffic"
	"jackdawhinge/jackdawd/internal/exchange"
	"jackdawhinge/platform/standin"
)

// silentStreamEvents is the number of events of the streams of upstreams that fall silent.
const silentStreamEvents = 5

// A silentUpstream falls silent for a time during its first request, and then goes on.
type silentUpstream struct {
	silence time.Duration
	// eventsBefore is the number of events that it sends before.
	eventsBefore int
	// onSilence is called as the silence begins; nil for nothing to call.
	onSilence func(u *standin.Runner)
	begun     atomic.Bool
}

// behavior returns the behavior of a runner, of which the first one with a request is the silent upstream.
func (s *silentUpstream) behavior(u *standin.Runner) standin.Behavior {
	return func(w http.ResponseWriter, r *http.Request, body []byte) bool {
		if s.begun.Swap(true) {
			return false
		}
		if s.eventsBefore > 0 {
			u.SetResponseHeaders(w.Header(), u.RecordRun(r, body).ID)
			w.Header().Set("Content-Type", "text/event-stream")
			_, _ = io.WriteString(w, eventRange(1, s.eventsBefore))
			_ = http.NewResponseController(w).Flush()
		}
		if s.onSilence != nil {
			s.onSilence(u)
		}
		select {
		case <-time.After(s.silence):
		case <-r.Context().Done():
			return true
		}
		if s.eventsBefore == 0 {
			return false
		}
		_, _ = io.WriteString(w, eventRange(s.eventsBefore+1, silentStreamEvents))
		return true
	}
}

// Guards against a host that ends the response of an upstream that is silent for a moment, although no other
// upstream takes the request over.
func TestSilentUpstreamIsNotLeftInVain(t *testing.T) {
	spendBudget := func(f *fixture, _ *standin.Runner) {
		for f.handler.RetryBudgets.TryWithdraw(time.Now(), "reader") || f.handler.RetryBudgets.TryWithdraw(time.Now(), "mailbox") {
		}
	}
	pauseOthers := func(f *fixture, silent *standin.Runner) {
		for _, u := range f.store.upstreams {
			if f.runners[u.ID] != silent {
				f.handler.Backoffs.Add(time.Now(), u.Instance(), time.Minute)
			}
		}
	}
	readers, mailboxes := []string{"reader-1", "reader-2"}, []string{"mailbox-1", "mailbox-2"}
	for name, test := range map[string]struct {
		path         string
		runners      []string
		silence      time.Duration
		eventsBefore int
		onSilence    func(f *fixture, silent *standin.Runner)
		oneVersion   bool
	}{
		"stream, no retries left":              {"/digest/x", readers, 1500 * time.Millisecond, 2, spendBudget, true},
		"stream, no other upstream":            {"/digest/x", readers[:1], 1500 * time.Millisecond, 2, nil, true},
		"stream, others want no requests":      {"/digest/x", readers, 1500 * time.Millisecond, 2, pauseOthers, true},
		"stream, others of other software":     {"/digest/x", readers, 1500 * time.Millisecond, 2, nil, false},
		"first event, no retries left":         {"/digest/x", readers, 1900 * time.Millisecond, 0, spendBudget, true},
		"first event, no other upstream":       {"/digest/x", readers[:1], 1900 * time.Millisecond, 0, nil, true},
		"first event, others want no requests": {"/digest/x", readers, 1900 * time.Millisecond, 0, pauseOthers, true},
		"response, no retries left":            {"/scan/x", mailboxes, 1500 * time.Millisecond, 0, spendBudget, true},
		"response, no other upstream":          {"/scan/x", mailboxes[:1], 1500 * time.Millisecond, 0, nil, true},
		"response, others want no requests":    {"/scan/x", mailboxes, 1500 * time.Millisecond, 0, pauseOthers, true},
	} {
		t.Run(name, func(t *testing.T) {
			runFixture(t, test.runners, func(t *testing.T, f *fixture) {
				silent := &silentUpstream{silence: test.silence, eventsBefore: test.eventsBefore}
				if test.onSilence != nil {
					silent.onSilence = func(u *standin.Runner) { test.onSilence(f, u) }
				}
				f.setBehaviors(silent.behavior)
				if !test.oneVersion {
					f.store.updateUpstreams(func(u *traffic.Upstream) { u.SoftwareVersion = "v" + u.ID })
				}
				req, want := f.request(http.MethodGet, test.path, "r1", ""), "mailbox"
				if test.path == "/digest/x" {
					req, want = f.streamRequest(test.path, "r1", silentStreamEvents), eventRange(1, silentStreamEvents)
				}
				got := f.do(req)
				require.NoError(t, got.err)
				require.Equal(t, http.StatusOK, got.status, got.body)
				require.Contains(t, got.body, want)
				require.Equal(t, 1, f.runCount("r1"))
			})
		})
	}
}

// Guards against a stream that a second upstream works on although the first one goes on after a short silence, or
// that the first one still works on 400 ms after it was resumed.
func TestStreamOfSilentUpstreamRunsOnce(t *testing.T) {
	const maxOverlap = 400 * time.Millisecond
	for name, test := range map[string]struct {
		silence time.Duration
		runs    int
	}{
		"short":   {time.Second, 1},
		"usual":   {1400 * time.Millisecond, 1},
		"longest": {1900 * time.Millisecond, 2},
	} {
		t.Run(name, func(t *testing.T) {
			runFixture(t, []string{"reader-1", "reader-2"}, func(t *testing.T, f *fixture) {
				var goesOnAt, resumedAt time.Time
				silent := &silentUpstream{silence: test.silence, eventsBefore: 2, onSilence: func(*standin.Runner) { goesOnAt = time.Now().Add(test.silence) }}
				f.setBehaviors(func(u *standin.Runner) standin.Behavior {
					behavior := silent.behavior(u)
					return func(w http.ResponseWriter, r *http.Request, body []byte) bool {
						resumedAt = time.Now()
						return behavior(w, r, body)
					}
				})
				got := f.do(f.streamRequest("/digest/x", "r1", silentStreamEvents))
				require.NoError(t, got.err)
				require.Equal(t, eventRange(1, silentStreamEvents), got.body)
				require.Equal(t, test.runs, f.runCount("r1"))
				if test.runs > 1 {
					require.LessOrEqual(t, goesOnAt.Sub(resumedAt), maxOverlap, "a silent upstream notices the closed connection as it goes on")
				}
			})
		})
	}
}

// Guards against a stream whose caller leaves because its host looked for another upstream only once before.
func TestLostUpstreamIsLeftOnceAnotherIsFree(t *testing.T) {
	runFixture(t, []string{"reader-1", "reader-2"}, func(t *testing.T, f *fixture) {
		lost := &silentUpstream{silence: time.Minute, eventsBefore: 2, onSilence: func(lost *standin.Runner) {
			for _, u := range f.store.upstreams {
				if f.runners[u.ID] != lost {
					f.handler.Backoffs.Add(time.Now(), u.Instance(), 1700*time.Millisecond) // and up to 1 s more
				}
			}
		}}
		f.setBehaviors(lost.behavior)
		start := time.Now()
		got := f.do(f.streamRequest("/digest/x", "r1", silentStreamEvents))
		require.NoError(t, got.err)
		require.Equal(t, eventRange(1, silentStreamEvents), got.body)
		require.Less(t, time.Since(start), 3200*time.Millisecond, "callers leave")
	})
}

// Guards against an event timeout that callers of some routes don't bear, or sound upstreams don't keep.
func TestEventTimeoutFollowsCallers(t *testing.T) {
	for name, test := range map[string]struct {
		target, gapTarget, want time.Duration
	}{
		"short targets":   {400 * time.Millisecond, 200 * time.Millisecond, 1500 * time.Millisecond},
		"longest pause":   {400 * time.Millisecond, 400 * time.Millisecond, 1600 * time.Millisecond},
		"response target": {1200 * time.Millisecond, 400 * time.Millisecond, 2400 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			j := &job{route: &traffic.Route{Kind: traffic.Streaming, Resumable: true, MaxUpstreams: 2, FirstByteTarget: test.target, EventIntervalTarget: test.gapTarget}}
			require.Equal(t, test.want, j.eventTimeout())
			require.Equal(t, test.want, j.firstByteTimeout(1), "the first event")
		})
	}
}

// Guards against cold upstreams that get no requests as those that wait at a silent one use up their limits without
// being sent there.
func TestKeptRequestUsesNoColdLimit(t *testing.T) {
	runFixture(t, []string{"reader-1", "reader-2"}, func(t *testing.T, f *fixture) {
		silent := &silentUpstream{silence: 1900 * time.Millisecond, eventsBefore: 2, onSilence: func(silent *standin.Runner) {
			for f.handler.RetryBudgets.TryWithdraw(time.Now(), "reader") {
			}
			f.store.mu.Lock()
			defer f.store.mu.Unlock()
			for i := range f.store.upstreams {
				if u := &f.store.upstreams[i]; f.runners[u.ID] != silent {
					u.ColdFor, u.Sequence = 3*time.Second, u.Sequence+1
				}
			}
		}}
		f.setBehaviors(silent.behavior)
		got := f.do(f.streamRequest("/digest/x", "r1", silentStreamEvents))
		require.NoError(t, got.err)
		require.Equal(t, eventRange(1, silentStreamEvents), got.body)
		snapshot := f.handler.Membership.Snapshot()
		pool, _ := snapshot.Configuration().Pool("reader")
		cold := 0
		for _, u := range snapshot.ReadyUpstreams("reader") {
			if snapshot.ColdUntil(u.ID).After(time.Now()) {
				cold++
				require.True(t, f.handler.ColdLimiter.Accepts(time.Now(), u, pool.ColdRate))
			}
		}
		require.Equal(t, 1, cold)
	})
}

// Guards against an upstream that is given up for a silence that its caller does not notice, as it still has events to
// read, and against a request that goes to an upstream that was chosen seconds before and wants no requests by then.
func TestSilenceBehindHeldEventsIsWaitedFor(t *testing.T) {
	const eventsBefore, events = 2000, 2010
	runFixture(t, []string{"reader-1", "reader-2"}, func(t *testing.T, f *fixture) {
		f.enableReadAhead(16 << 20)
		begun := false
		f.setBehaviors(func(u *standin.Runner) standin.Behavior {
			return func(w http.ResponseWriter, r *http.Request, body []byte) bool {
				if begun {
					return false
				}
				begun = true
				u.SetResponseHeaders(w.Header(), u.RecordRun(r, body).ID)
				w.Header().Set("Content-Type", "text/event-stream")
				_, _ = io.WriteString(w, eventRange(1, eventsBefore))
				_ = http.NewResponseController(w).Flush()
				time.Sleep(1900 * time.Millisecond)
				_, _ = io.WriteString(w, eventRange(eventsBefore+1, events))
				return true
			}
		})
		resp := f.open(f.streamRequest("/digest/x", "r1", events))
		time.Sleep(3 * time.Second)
		for _, u := range f.store.upstreams {
			f.handler.Backoffs.Add(time.Now(), u.Instance(), time.Minute)
		}
		time.Sleep(2 * time.Second)
		got, err := io.ReadAll(resp.Body)
		require.NoError(t, err)
		require.Equal(t, eventRange(1, events), string(got))
		require.Equal(t, 1, f.runCount("r1"))
	})
}

// deniableLeases grant nothing once denied is set, whoever gives a slot back.
type deniableLeases struct {
	*fakeLeases
	denied atomic.Bool
}

// AcquireSlot grants a slot unless all are denied.
func (l *deniableLeases) AcquireSlot(u *traffic.Upstream, slots int, ttl time.Duration) (release func(), granted bool, err error) {
	if l.denied.Load() {
		return nil, false, nil
	}
	return l.fakeLeases.AcquireSlot(u, slots, ttl)
}

// Guards against a host that gives up a silent upstream for another one that it then does not or may not ask.
func TestSilentUpstreamIsNotLeftWithoutRoom(t *testing.T) {
	for name, test := range map[string]struct {
		runners int
		// replaced is how many upstreams respond that another one has their address now.
		replaced int32
		prepare  func(f *fixture)
		// onSilence is called as the silence begins.
		onSilence func(f *fixture, silent *standin.Runner)
	}{
		"no attempts left": {maxAttempts + 1, maxAttempts - 1, func(f *fixture) {
			for range 100 {
				f.handler.RetryBudgets.Deposit(time.Now(), "mailbox")
			}
		}, nil},
		"no connections left": {2, 0, func(f *fixture) {
			f.store.updateUpstreams(func(u *traffic.Upstream) { u.Slots = 0 })
		}, func(f *fixture, silent *standin.Runner) {
			for _, u := range f.store.upstreams {
				for n := 0; f.runners[u.ID] != silent && n < 100/hostConnectionDivisor; n++ {
					id := fmt.Sprint("other-", n)
					resp, err := f.handler.Client.Do(f.t.Context(), exchange.Request{Address: u.Address, ID: id, Method: http.MethodGet, Target: "/", Header: http.Header{standin.RequestIDHeader: {id}}})
					require.NoError(f.t, err)
					time.AfterFunc(3*time.Second, resp.Close)
				}
			}
		}},
		"no slot of a brittle upstream": {2, 0, func(f *fixture) {
			f.leases.free = 2
			f.handler.SlotLeases = &deniableLeases{fakeLeases: f.leases}
			for _, runner := range f.runners {
				runner.SetBrittle(1)
			}
			f.do(f.request(http.MethodGet, "/scan/x", "first", ""))
		}, func(f *fixture, _ *standin.Runner) { f.handler.SlotLeases.(*deniableLeases).denied.Store(true) }},
	} {
		t.Run(name, func(t *testing.T) {
			var runners []string
			for n := range test.runners {
				runners = append(runners, fmt.Sprint("mailbox-", n+1))
			}
			runFixture(t, runners, func(t *testing.T, f *fixture) {
				test.prepare(f)
				silent, asked := &silentUpstream{silence: 1500 * time.Millisecond}, atomic.Int32{}
				if test.onSilence != nil {
					silent.onSilence = func(u *standin.Runner) { test.onSilence(f, u) }
				}
				f.setBehaviors(func(u *standin.Runner) standin.Behavior {
					behavior := silent.behavior(u)
					return func(w http.ResponseWriter, r *http.Request, body []byte) bool {
						if asked.Add(1) > test.replaced {
							return behavior(w, r, body)
						}
						w.Header().Set(standin.UpstreamIDHeader, "another")
						w.WriteHeader(http.StatusMisdirectedRequest)
						return true
					}
				})
				got := f.do(f.request(http.MethodGet, "/scan/x", "r1", ""))
				require.NoError(t, got.err)
				require.Equal(t, http.StatusOK, got.status, got.body)
				require.Equal(t, 1, f.runCount("r1"))
			})
		})
	}
}

// A silentUpstreamFixture has a first upstream that is silent for a time, and others that get its request meanwhile.
type silentUpstreamFixture struct {
	*fixture
	silent *silentUpstream
	// asked counts the requests to the others, and stopped those that were given up.
	asked, stopped atomic.Int32
}

// setOthers sets how the others respond while the first upstream is silent or has gone on.
func (f *silentUpstreamFixture) setOthers(behavior standin.Behavior) {
	f.setBehaviors(func(u *standin.Runner) standin.Behavior {
		first := f.silent.behavior(u)
		return func(w http.ResponseWriter, r *http.Request, body []byte) bool {
			if !f.silent.begun.Load() {
				return first(w, r, body)
			}
			f.asked.Add(1)
			handled := behavior(w, r, body)
			if r.Context().Err() != nil {
				f.stopped.Add(1)
			}
			return handled
		}
	})
}

// rejectRequest responds that a request was not executed.
func rejectRequest(w http.ResponseWriter, _ *http.Request, _ []byte) bool {
	w.Header().Set(standin.NotExecutedHeader, "1")
	w.WriteHeader(http.StatusServiceUnavailable)
	return true
}

// after delays a behavior until a time has passed or the request is given up.
func after(d time.Duration, behavior standin.Behavior) standin.Behavior {
	return func(w http.ResponseWriter, r *http.Request, body []byte) bool {
		pause.For(r.Context(), d)
		return r.Context().Err() != nil || behavior(w, r, body)
	}
}

// respondAsReplaced responds that another upstream has the address now.
func respondAsReplaced(w http.ResponseWriter, _ *http.Request, _ []byte) bool {
	w.Header().Set(standin.UpstreamIDHeader, "another")
	w.WriteHeader(http.StatusMisdirectedRequest)
	return true
}

// failRequest responds with a server error.
func failRequest(w http.ResponseWriter, r *http.Request, _ []byte) bool {
	w.Header().Set(standin.RequestIDHeader, r.Header.Get(standin.RequestIDHeader))
	w.WriteHeader(http.StatusInternalServerError)
	return true
}

// Guards against a response of a sound upstream that is cut off as the one that was to take it over rejects the request,
// can't be reached, fails, or is silent itself.
func TestResponseSurvivesFailedSuccessor(t *testing.T) {
	killOthers := func(f *fixture, silent *standin.Runner) {
		for _, u := range f.store.upstreams {
			if f.runners[u.ID] != silent {
				f.net.Kill(u.Address)
			}
		}
	}
	for name, test := range map[string]struct {
		others standin.Behavior
		// onSilence is called as the silence begins.
		onSilence func(f *fixture, silent *standin.Runner)
		maxAsked  int32
	}{
		"rejects":              {rejectRequest, nil, 1},
		"rejects late":         {after(250*time.Millisecond, rejectRequest), nil, 1},
		"has been replaced":    {respondAsReplaced, nil, 2},
		"fails":                {failRequest, nil, 1},
		"is silent itself":     {after(time.Minute, rejectRequest), nil, 1},
		"can't be reached":     {rejectRequest, killOthers, 0},
		"responds after first": {after(500*time.Millisecond, func(http.ResponseWriter, *http.Request, []byte) bool { return false }), nil, 1},
	} {
		for kind, response := range map[string]struct {
			path, pool   string
			eventsBefore int
			silence      time.Duration
		}{
			"stream":      {"/digest/x", "reader", 2, 1900 * time.Millisecond},
			"first event": {"/digest/x", "reader", 0, 1900 * time.Millisecond},
			"response":    {"/scan/x", "mailbox", 0, 900 * time.Millisecond},
		} {
			t.Run(name+"/"+kind, func(t *testing.T) {
				runFixture(t, []string{response.pool + "-1", response.pool + "-2", response.pool + "-3"}, func(t *testing.T, base *fixture) {
					f := &silentUpstreamFixture{fixture: base, silent: &silentUpstream{silence: response.silence, eventsBefore: response.eventsBefore}}
					if test.onSilence != nil {
						f.silent.onSilence = func(u *standin.Runner) { test.onSilence(base, u) }
					}
					f.setOthers(test.others)
					req, want := f.request(http.MethodGet, response.path, "r1", ""), "mailbox"
					if response.pool == "reader" {
						req, want = f.streamRequest(response.path, "r1", silentStreamEvents), eventRange(1, silentStreamEvents)
					}
					got := f.do(req)
					require.NoError(t, got.err)
					require.Equal(t, http.StatusOK, got.status, got.body)
					require.Contains(t, got.body, want)
					require.Equal(t, test.maxAsked, f.asked.Load())
					f.requireNothingInProgress()
				})
			})
		}
	}
}

// requireNothingInProgress requires that no attempt counts as in progress.
func (f *fixture) requireNothingInProgress() {
	time.Sleep(10 * time.Millisecond)
	for _, upstreams := range f.handler.Membership.Snapshot().ReadyPools() {
		own, _ := f.handler.Loads.Total(time.Now(), upstreams)
		require.Zero(f.t, own)
	}
}

// Guards against an upstream that works on although the one before it went on or the caller has left.
func TestUnneededSuccessorIsStopped(t *testing.T) {
	for name, patience := range map[string]time.Duration{"first upstream goes on": 5 * time.Second, "caller leaves": 1800 * time.Millisecond} {
		t.Run(name, func(t *testing.T) {
			runFixture(t, []string{"reader-1", "reader-2"}, func(t *testing.T, base *fixture) {
				f := &silentUpstreamFixture{fixture: base, silent: &silentUpstream{silence: 1900 * time.Millisecond, eventsBefore: 2}}
				f.setOthers(after(time.Minute, rejectRequest))
				ctx, cancel := context.WithTimeout(t.Context(), patience)
				defer cancel()
				got := f.do(f.streamRequest("/digest/x", "r1", silentStreamEvents).WithContext(ctx))
				require.Equal(t, patience < 1900*time.Millisecond, got.err != nil)
				time.Sleep(100 * time.Millisecond)
				require.Equal(t, int32(1), f.asked.Load())
				require.Equal(t, int32(1), f.stopped.Load())
				f.requireNothingInProgress()
			})
		})
	}
}

// Guards against a stream that ends with its upstream although another one was asked to take it over and accepts later.
func TestPendingSuccessorTakesOver(t *testing.T) {
	runFixture(t, []string{"reader-1", "reader-2"}, func(t *testing.T, base *fixture) {
		f := &silentUpstreamFixture{fixture: base, silent: &silentUpstream{silence: time.Minute, eventsBefore: 2, onSilence: func(u *standin.Runner) {
			for _, upstream := range base.store.upstreams {
				if base.runners[upstream.ID] == u {
					time.AfterFunc(1700*time.Millisecond, func() { base.net.Kill(upstream.Address) })
				}
			}
		}}}
		f.setOthers(after(500*time.Millisecond, func(http.ResponseWriter, *http.Request, []byte) bool { return false }))
		got := f.do(f.streamRequest("/digest/x", "r1", silentStreamEvents))
		require.NoError(t, got.err)
		require.Equal(t, eventRange(1, silentStreamEvents), got.body)
		require.Equal(t, int32(1), f.asked.Load())
	})
}

// Guards against a request that is sent on to another upstream after its caller has left during a silence, and against
// one that must not run twice but does so because of a silence.
func TestSilenceStartsNoFurtherRuns(t *testing.T) {
	for name, test := range map[string]struct {
		path         string
		runners      []string
		eventsBefore int
		patience     time.Duration
		wantErr      bool
		runs         int
	}{
		"caller of a stream leaves":     {"/digest/x", []string{"reader-1", "reader-2"}, 2, 1500 * time.Millisecond, true, 1},
		"caller leaves before an event": {"/digest/x", []string{"reader-1", "reader-2"}, 0, 1500 * time.Millisecond, true, 0},
		"caller of a response leaves":   {"/scan/x", []string{"mailbox-1", "mailbox-2"}, 0, 500 * time.Millisecond, true, 0},
		"must not run twice":            {"/order/x", []string{"mailbox-1", "mailbox-2"}, 0, 5 * time.Second, false, 1},
		"stream that can't be resumed":  {"/sort/x", []string{"reader-1", "reader-2"}, 2, 5 * time.Second, false, 1},
	} {
		t.Run(name, func(t *testing.T) {
			runFixture(t, test.runners, func(t *testing.T, f *fixture) {
				f.setBehaviors((&silentUpstream{silence: 1900 * time.Millisecond, eventsBefore: test.eventsBefore}).behavior)
				ctx, cancel := context.WithTimeout(t.Context(), test.patience)
				defer cancel()
				req := f.request(http.MethodGet, test.path, "r1", "")
				if strings.HasPrefix(test.runners[0], "reader") {
					req = f.streamRequest(test.path, "r1", silentStreamEvents)
				}
				got := f.do(req.WithContext(ctx))
				require.Equal(t, test.wantErr, got.err != nil, got.err)
				time.Sleep(5 * time.Second)
				require.Equal(t, test.runs, f.runCount("r1"))
			})
		})
	}
}

// Guards against looks for a successor that use up the room of cold upstreams although no retry is left.
func TestSuccessorIsNotChosenInVain(t *testing.T) {
	runFixture(t, []string{"reader-1", "reader-2"}, func(t *testing.T, f *fixture) {
		silent := &silentUpstream{silence: 3 * time.Second, eventsBefore: 2, onSilence: func(*standin.Runner) {
			for f.handler.RetryBudgets.TryWithdraw(time.Now(), "reader") {
			}
		}}
		f.setBehaviors(silent.behavior)
		f.store.updateUpstreams(func(u *traffic.Upstream) { u.ColdFor = time.Minute })
		_ = f.do(f.streamRequest("/digest/x", "r1", silentStreamEvents))
		for _, step := range f.recorder.lastRecord().Steps {
			require.False(t, step.Decision == Kept && step.Candidates > 0, "an upstream was chosen")
		}
	})
}
