package dispatch

import (
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"jackdawhinge/common/roster"
	"jackdawhinge/common/upstream"
	"jackdawhinge/jackdawd/internal/routing"
	"jackdawhinge/jackdawd/internal/work"
)

// An engine accepts a request, closes the connection without a frame and answers the
// resume with 429. That refuses only the resume, so the outcome is "unknown", not "not-run".
func TestRefusedResumeIsUnknown(t *testing.T) {
	broken := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodGet {
			w.WriteHeader(http.StatusTooManyRequests)
			return
		}
		panic(http.ErrAbortHandler)
	})
	runFleet(t, 1, 1, map[string]http.Handler{"engine-0": broken}, func(t *testing.T, f *fleet) {
		item := newItem(1, 5)
		item.Idempotent = false
		_, err := f.route(t.Context(), item, nil)
		require.Equal(t, work.Unknown, outcomeOf(t, err))
	})
}

// An engine answers after the request has timed out there and another engine has
// answered it. The late response must not reach the caller.
func TestLateResponseIsDiscarded(t *testing.T) {
	late := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		time.Sleep(time.Minute)
		encodeFrame(w, upstream.Frame{RequestID: r.Header.Get(upstream.RequestIDHeader), Text: "late", Finish: upstream.FinishStop})
	})
	runFleet(t, 1, 2, map[string]http.Handler{"engine-0": late}, func(t *testing.T, f *fleet) {
		item := f.itemWithFirstChoice("engine-0", 0)
		text, err := f.route(t.Context(), item, nil)
		require.NoError(t, err)
		require.Equal(t, expectedText(5), text)
		time.Sleep(5 * time.Minute)
	})
}

// An engine refuses connections, which proves that the request was not run there.
// Even a non-idempotent request is then retried on the chat's next engine.
func TestRetryAfterRefusedConnection(t *testing.T) {
	runFleet(t, 2, 3, nil, func(t *testing.T, f *fleet) {
		item := newItem(7, 5)
		item.Idempotent = false
		name, _ := f.firstChoice(item)
		f.net.Kill(name + ":1")
		text, err := f.route(t.Context(), item, nil)
		require.NoError(t, err)
		require.Equal(t, expectedText(5), text)
	})
}

// A chat was moved to an engine that then dies, and the same host owns all engines.
// The retry must reach a third engine rather than the remembered, dead one.
func TestRetryAfterMoveTargetDies(t *testing.T) {
	runFleet(t, 1, 3, nil, func(t *testing.T, f *fleet) {
		item := newItem(7, 5)
		item.Messages = append(item.Messages, item.Messages[0])
		to := f.moveChat(t, item)
		f.net.Kill(to.Name() + ":1")
		text, err := f.route(t.Context(), item, nil)
		require.NoError(t, err)
		require.Equal(t, expectedText(5), text)
	})
}

// An owner remembers a chat at an engine that the entry host's newer list no longer
// has. The Gone row makes it forget that, or the next turn would be sent there again.
func TestOwnerForgetsMoveToDelistedEngine(t *testing.T) {
	runFleet(t, 2, 3, nil, func(t *testing.T, f *fleet) {
		item := f.itemOwnedElsewhere(5)
		_, owner := f.firstChoice(item)
		to := f.moveChat(t, item)
		f.views["entry-0"] = withLeaving(f.views["entry-0"], to.Name())
		text, err := f.route(t.Context(), item, nil)
		require.NoError(t, err)
		require.Equal(t, expectedText(5), text)
		require.Zero(t, f.owners[owner].balancer.MovedChats())
	})
}

// An engine accepts the request and hangs, before or after its response headers. An
// idempotent request is retried on another engine; a non-idempotent one fails with
// "unknown", since the engine may have run it.
func TestEngineHangs(t *testing.T) {
	tests := map[string]struct {
		headers    bool
		idempotent bool
	}{
		"before headers, idempotent":     {idempotent: true},
		"after headers, idempotent":      {headers: true, idempotent: true},
		"before headers, non-idempotent": {},
		"after headers, non-idempotent":  {headers: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			hanging := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				_, _ = io.Copy(io.Discard, r.Body)
				if test.headers {
					w.WriteHeader(http.StatusOK)
					w.(http.Flusher).Flush()
				}
				<-r.Context().Done()
			})
			runFleet(t, 2, 2, map[string]http.Handler{"engine-0": hanging}, func(t *testing.T, f *fleet) {
				item := f.itemWithFirstChoice("engine-0", 0)
				item.Idempotent = test.idempotent
				text, err := f.route(t.Context(), item, nil)
				if test.idempotent {
					require.NoError(t, err)
					require.Equal(t, expectedText(5), text)
					return
				}
				require.Equal(t, work.Unknown, outcomeOf(t, err))
				require.Empty(t, text)
			})
		})
	}
}

// An idempotent request times out on one engine and is refused by every other. The
// outcome is "unknown", not "not-run": the first engine may have run it.
func TestTimeoutThenRefusalIsUnknown(t *testing.T) {
	hanging := http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		<-r.Context().Done()
	})
	full := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusTooManyRequests) })
	runFleet(t, 1, 2, map[string]http.Handler{"engine-0": hanging, "engine-1": full}, func(t *testing.T, f *fleet) {
		item := f.itemWithFirstChoice("engine-0", 0)
		_, err := f.route(t.Context(), item, nil)
		require.Equal(t, work.Unknown, outcomeOf(t, err))
	})
}

// An engine mixes up two responses and sends a frame of another request. It must not
// reach the caller: the connection is closed and the response resumed.
func TestFrameOfAnotherRequestIsDropped(t *testing.T) {
	crossed := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		id, from := r.Header.Get(upstream.RequestIDHeader), 0
		if r.Method == http.MethodGet {
			from = 3
		}
		for i := from; i < 6; i++ {
			f := upstream.Frame{RequestID: id, Position: i, Text: "w" + string(rune('0'+i)) + " "}
			if i == 5 {
				f.Finish = upstream.FinishStop
			}
			if i == 3 && r.Method == http.MethodPost {
				f.RequestID, f.Text = "request-of-another", "secret"
			}
			encodeFrame(w, f)
		}
	})
	runFleet(t, 1, 1, map[string]http.Handler{"engine-0": crossed}, func(t *testing.T, f *fleet) {
		text, err := f.route(t.Context(), newItem(1, 6), nil)
		require.NoError(t, err)
		require.Equal(t, expectedText(6), text)
	})
}

// An engine dies in the middle of a response. The caller gets the partial text and an
// error; no other engine is asked, as its text could not be appended.
func TestEngineDiesDuringResponse(t *testing.T) {
	runFleet(t, 2, 3, nil, func(t *testing.T, f *fleet) {
		item := newItem(3, 50)
		name, _ := f.firstChoice(item)
		text, err := f.route(t.Context(), item, func(position int) {
			if position == 10 {
				f.net.Kill(name + ":1")
			}
		})
		require.Equal(t, work.Unknown, outcomeOf(t, err))
		require.Contains(t, expectedText(50), text)
		for other, e := range f.engines {
			if other != name {
				require.Zero(t, e.Started(), "no other engine generates it again")
			}
		}
	})
}

// The host list changes while a request is in flight, and the owner no longer has the
// engine that the entry host chose. The request is answered elsewhere; the leaving
// engine gets no new work.
func TestOwnerRedirectsFromLeavingEngine(t *testing.T) {
	runFleet(t, 2, 3, nil, func(t *testing.T, f *fleet) {
		item := f.itemOwnedElsewhere(5)
		name, owner := f.firstChoice(item)
		f.views[owner] = withLeaving(f.views[owner], name)
		text, err := f.route(t.Context(), item, nil)
		require.NoError(t, err)
		require.Equal(t, expectedText(5), text)
		require.Zero(t, f.engines[name].Started())
	})
}

// A request is queued for a full engine when the engine is marked as leaving. Once
// there is room, the request must go to another engine.
func TestEngineLeavesWhileRequestWaits(t *testing.T) {
	runFleet(t, 1, 2, nil, func(t *testing.T, f *fleet) {
		first := newItem(1, 1000)
		first.Messages[0].Content = strings.Repeat("x", 400_000)
		name, _ := f.firstChoice(first)
		done := make(chan struct{})
		go func() {
			defer close(done)
			_, _ = f.route(t.Context(), first, nil)
		}()
		synctest.Wait()
		second := f.itemWithFirstChoice(name, first.Chat)
		second.RemainingTarget, second.FirstTokenTarget = time.Minute, time.Minute
		second.Messages = append(second.Messages, second.Messages[0])
		answered := make(chan error, 1)
		go func() {
			_, err := f.route(t.Context(), second, nil)
			answered <- err
		}()
		synctest.Wait()
		f.views["entry-0"] = withLeaving(f.views["entry-0"], name)
		require.NoError(t, <-answered)
		<-done
		require.EqualValues(t, 1, f.engines[name].Started())
	})
}

// withLeaving returns a copy of the view in which the named engine is leaving.
func withLeaving(v *routing.View, name string) *routing.View {
	var list []roster.Host
	pool, _ := v.Pool(testModel)
	for _, u := range pool.Upstreams() {
		state := roster.Live
		if u.Name() == name {
			state = roster.Leaving
		}
		list = append(list, roster.Host{Name: u.Name(), Role: roster.Upstream, State: state, FailureDomain: "r/a", Address: u.Address(), Models: []string{testModel}, CapacityTokens: u.Capacity()})
	}
	for _, h := range v.Hosts() {
		list = append(list, roster.Host{Name: h.Name(), Role: roster.EntryHost, State: roster.Live, FailureDomain: "r/a", Address: h.Address()})
	}
	return routing.NewView(routing.ViewInput{Self: v.Self(), Region: "r", Document: v.Document(), Hosts: list})
}
