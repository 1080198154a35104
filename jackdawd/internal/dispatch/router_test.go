package dispatch

import (
	"context"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/propagation"

	"jackdawhinge/common/peers"
	"jackdawhinge/common/roster"
	"jackdawhinge/common/upstream"
	"jackdawhinge/jackdawd/internal/routing"
	"jackdawhinge/jackdawd/internal/work"
)

func TestRouteThroughOwner(t *testing.T) {
	run(t, 3, 4, nil, func(t *testing.T, f *fleet) {
		text, err := f.answer(t.Context(), f.itemOwnedElsewhere(20), nil)
		require.NoError(t, err)
		require.Equal(t, words(20), text)
	})
}

// The caller sends trace context. The upstream receives the same trace, two hops on.
func TestTraceReachesUpstream(t *testing.T) {
	otel.SetTextMapPropagator(propagation.TraceContext{})
	var got string
	traced := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		got = r.Header.Get("Traceparent")
		encodeFrame(w, upstream.Frame{RequestID: r.Header.Get(upstream.RequestIDHeader), Finish: upstream.FinishStop})
	})
	run(t, 2, 1, map[string]http.Handler{"engine-0": traced}, func(t *testing.T, f *fleet) {
		sent := http.Header{"Traceparent": {"00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01"}}
		ctx := otel.GetTextMapPropagator().Extract(t.Context(), propagation.HeaderCarrier(sent))
		_, err := f.answer(ctx, f.itemOwnedElsewhere(1), nil)
		require.NoError(t, err)
		require.Contains(t, got, "0af7651916cd43dd8448eb211c80319c")
	})
}

// The owner's host dies in the middle of an answer. The caller sees the whole
// answer all the same: the entry host resumes it straight from the engine, at the
// position reached, and the engine generates it only once.
func TestOwnerDiesDuringAnswer(t *testing.T) {
	run(t, 3, 2, nil, func(t *testing.T, f *fleet) {
		item := f.itemOwnedElsewhere(50)
		name, owner := f.first(item)
		text, err := f.answer(t.Context(), item, func(position int) {
			if position == 10 {
				f.net.kill(owner + ":1")
			}
		})
		require.NoError(t, err)
		require.Equal(t, words(50), text)
		require.EqualValues(t, 1, f.engines[name].Started())
	})
}

// The owner's host is down before the request. The caller sees its answer: the
// connection is refused, which proves that nothing was passed on, and the host
// next in rank acts as owner.
func TestOwnerDownBefore(t *testing.T) {
	run(t, 3, 2, nil, func(t *testing.T, f *fleet) {
		item := f.itemOwnedElsewhere(5)
		_, owner := f.first(item)
		f.net.kill(owner + ":1")
		text, err := f.answer(t.Context(), item, nil)
		require.NoError(t, err)
		require.Equal(t, words(5), text)
	})
}

// The owner's host is in a planned stop. It refuses the item as not run, and the
// caller of a request that may not be repeated sees its answer through another.
func TestOwnerStopping(t *testing.T) {
	run(t, 3, 2, nil, func(t *testing.T, f *fleet) {
		item := f.itemOwnedElsewhere(5)
		item.Idempotent = false
		_, f.stopping = f.first(item)
		text, err := f.answer(t.Context(), item, nil)
		require.NoError(t, err)
		require.Equal(t, words(5), text)
		require.Empty(t, f.owners[f.stopping].queues)
	})
}

// An engine takes a request, closes the connection without a frame, and refuses to
// resume as "full". The caller must not read "not-run": that was said of resuming.
func TestRefusedResumeIsUnknown(t *testing.T) {
	cut := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodGet {
			w.WriteHeader(http.StatusTooManyRequests)
			return
		}
		panic(http.ErrAbortHandler)
	})
	run(t, 1, 1, map[string]http.Handler{"engine-0": cut}, func(t *testing.T, f *fleet) {
		item := newItem(1, 5)
		item.Idempotent = false
		_, err := f.answer(t.Context(), item, nil)
		require.Equal(t, work.Unknown, outcome(t, err))
	})
}

// An engine answers only after the request was given up and answered by another.
// The caller sees one answer, and nothing of the late one.
func TestAnswerAfterTimeout(t *testing.T) {
	late := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		time.Sleep(time.Minute)
		encodeFrame(w, upstream.Frame{RequestID: r.Header.Get(upstream.RequestIDHeader), Text: "late", Finish: upstream.FinishStop})
	})
	run(t, 1, 2, map[string]http.Handler{"engine-0": late}, func(t *testing.T, f *fleet) {
		item := f.itemFirstAt("engine-0", 0)
		text, err := f.answer(t.Context(), item, nil)
		require.NoError(t, err)
		require.Equal(t, words(5), text)
		time.Sleep(5 * time.Minute)
	})
}

// An engine refuses connections. The caller sees its answer from the chat's next
// engine: a refused connection proves that the request was not run there.
func TestEngineDown(t *testing.T) {
	run(t, 2, 3, nil, func(t *testing.T, f *fleet) {
		item := newItem(7, 5)
		item.Idempotent = false
		name, _ := f.first(item)
		f.net.kill(name + ":1")
		text, err := f.answer(t.Context(), item, nil)
		require.NoError(t, err)
		require.Equal(t, words(5), text)
	})
}

// A chat was moved to an engine that then dies; one host owns that engine and the
// others. The caller sees its answer from a third engine: the host does not send
// the chat back to where it remembers it.
func TestMovedToEngineThatDies(t *testing.T) {
	run(t, 1, 3, nil, func(t *testing.T, f *fleet) {
		item := newItem(7, 5)
		item.Messages = append(item.Messages, item.Messages[0])
		home, _ := f.first(item)
		pool, _ := f.view["entry-0"].Pool(testModel)
		at, _ := pool.Find(home)
		board := f.owners["entry-0"].board
		board.Start(at, 90_000)
		_, to := board.Move(time.Now(), pool, routing.Candidate{Chat: item.Chat, At: at, Cost: 10, Returning: true})
		require.NotEqual(t, home, to.Name())
		board.Finish(at, 90_000)
		f.net.kill(to.Name() + ":1")
		text, err := f.answer(t.Context(), item, nil)
		require.NoError(t, err)
		require.Equal(t, words(5), text)
	})
}

// An engine takes the request and hangs: before its headers, or after them. The
// caller of an idempotent request sees an answer from another engine; that of a
// non-idempotent one sees "unknown", since the engine may have run it.
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
			hang := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				_, _ = io.Copy(io.Discard, r.Body)
				if test.headers {
					w.WriteHeader(http.StatusOK)
					w.(http.Flusher).Flush()
				}
				<-r.Context().Done()
			})
			run(t, 2, 2, map[string]http.Handler{"engine-0": hang}, func(t *testing.T, f *fleet) {
				item := f.itemFirstAt("engine-0", 0)
				item.Idempotent = test.idempotent
				text, err := f.answer(t.Context(), item, nil)
				if test.idempotent {
					require.NoError(t, err)
					require.Equal(t, words(5), text)
					return
				}
				require.Equal(t, work.Unknown, outcome(t, err))
				require.Empty(t, text)
			})
		})
	}
}

// An idempotent request hangs on one engine, and every other refuses it. The
// caller must not read "not-run": the first engine may have run it.
func TestHungThenRefusedIsUnknown(t *testing.T) {
	hang := http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		<-r.Context().Done()
	})
	full := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusTooManyRequests) })
	run(t, 1, 2, map[string]http.Handler{"engine-0": hang, "engine-1": full}, func(t *testing.T, f *fleet) {
		item := f.itemFirstAt("engine-0", 0)
		_, err := f.answer(t.Context(), item, nil)
		require.Equal(t, work.Unknown, outcome(t, err))
	})
}

// An engine mixes up two answers: after three frames it sends another request's.
// The caller sees none of it: the connection is dropped and the answer resumed.
func TestEngineSendsAnothersFrame(t *testing.T) {
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
	run(t, 1, 1, map[string]http.Handler{"engine-0": crossed}, func(t *testing.T, f *fleet) {
		text, err := f.answer(t.Context(), newItem(1, 6), nil)
		require.NoError(t, err)
		require.Equal(t, words(6), text)
	})
}

// An engine dies in the middle of an answer. The caller sees the part it had and
// an explicit error: another engine's text could not be spliced onto it.
func TestEngineDiesDuringAnswer(t *testing.T) {
	run(t, 2, 3, nil, func(t *testing.T, f *fleet) {
		item := newItem(3, 50)
		name, _ := f.first(item)
		text, err := f.answer(t.Context(), item, func(position int) {
			if position == 10 {
				f.net.kill(name + ":1")
			}
		})
		require.Equal(t, work.Unknown, outcome(t, err))
		require.Contains(t, words(50), text)
		for other, e := range f.engines {
			if other != name {
				require.Zero(t, e.Started(), "no other engine generates it again")
			}
		}
	})
}

// The caller leaves in the middle of its answer. The engine is told to stop, so
// that it does not generate for nobody.
func TestCallerLeaves(t *testing.T) {
	cancelled := make(chan struct{})
	slow := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodDelete {
			close(cancelled)
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		encodeFrame(w, upstream.Frame{RequestID: r.Header.Get(upstream.RequestIDHeader), Text: "w0 "})
		<-r.Context().Done()
	})
	synctest.Test(t, func(t *testing.T) {
		cancelled = make(chan struct{})
		f := newFleet(2, 1, map[string]http.Handler{"engine-0": slow})
		defer f.close()
		ctx, leave := context.WithCancel(t.Context())
		_, err := f.answer(ctx, f.itemOwnedElsewhere(10), func(int) { leave() })
		require.Error(t, err)
		<-cancelled
		f.evidence.against.Range(func(name, _ any) bool {
			t.Errorf("%s is blamed for a caller that left", name)
			return true
		})
	})
}

// The host list changes while a request is on its way: the owner no longer knows
// the engine that the entry host chose. The caller sees its answer; the leaving
// engine gets no new work.
func TestOwnerKnowsThatEngineLeft(t *testing.T) {
	run(t, 2, 3, nil, func(t *testing.T, f *fleet) {
		item := f.itemOwnedElsewhere(5)
		name, owner := f.first(item)
		f.view[owner] = without(f.view[owner], name)
		text, err := f.answer(t.Context(), item, nil)
		require.NoError(t, err)
		require.Equal(t, words(5), text)
		require.Zero(t, f.engines[name].Started())
	})
}

// A request waits for a full engine, and the engine is marked as leaving meanwhile.
// When room comes, the caller is answered by another: a leaving engine gets no new work.
func TestEngineLeavesWhileRequestWaits(t *testing.T) {
	run(t, 1, 2, nil, func(t *testing.T, f *fleet) {
		first := newItem(1, 1000)
		first.Messages[0].Content = strings.Repeat("x", 400_000)
		name, _ := f.first(first)
		done := make(chan struct{})
		go func() {
			defer close(done)
			_, _ = f.answer(t.Context(), first, nil)
		}()
		synctest.Wait()
		second := f.itemFirstAt(name, first.Chat)
		second.BeginWithin, second.Target = time.Minute, time.Minute
		second.Messages = append(second.Messages, second.Messages[0])
		answered := make(chan error, 1)
		go func() {
			_, err := f.answer(t.Context(), second, nil)
			answered <- err
		}()
		synctest.Wait()
		f.view["entry-0"] = without(f.view["entry-0"], name)
		require.NoError(t, <-answered)
		<-done
		require.EqualValues(t, 1, f.engines[name].Started())
	})
}

// An item was moved away from an engine. The next owner takes in the load that it
// met there, which is newer than any row.
func TestOwnerTakesInSeenLoads(t *testing.T) {
	run(t, 2, 3, nil, func(t *testing.T, f *fleet) {
		item := f.itemOwnedElsewhere(5)
		name, owner := f.first(item)
		pool, _ := f.view[owner].Pool(testModel)
		var far *routing.Upstream
		for _, u := range pool.Upstreams() {
			if host, _ := f.view[owner].Owner(u.Hash()); host.Name() != owner {
				far = u
			}
		}
		item.Seen = []peers.Row{{Upstream: far.Hash(), Load: 77_000}}
		_, err := f.owners[owner].Serve(t.Context(), item, name, 1, func(upstream.Frame) error { return nil })
		require.NoError(t, err)
		load, known := f.owners[owner].board.Load(time.Now(), far)
		require.True(t, known)
		require.EqualValues(t, 77_000, load)
	})
}

// without returns a view whose list has an engine as leaving.
func without(v *routing.View, name string) *routing.View {
	var list []roster.Host
	pool, _ := v.Pool(testModel)
	for _, u := range pool.Upstreams() {
		state := roster.Live
		if u.Name() == name {
			state = roster.Leaving
		}
		list = append(list, roster.Host{Name: u.Name(), Role: roster.Upstream, State: state, FailureDomain: "r/a", Address: u.Address(), Models: []string{testModel}, Capacity: u.Capacity()})
	}
	for _, h := range v.Hosts() {
		list = append(list, roster.Host{Name: h.Name(), Role: roster.EntryHost, State: roster.Live, FailureDomain: "r/a", Address: h.Address()})
	}
	return routing.NewView(routing.ViewInput{Self: v.Self(), Region: "r", Document: v.Document(), Hosts: list})
}

// Every engine is down. Callers see "not-run", and the tries made for a hundred
// of them stay within the retry budget, so that an outage does not multiply load.
func TestRetryBudgetInOutage(t *testing.T) {
	run(t, 1, 8, nil, func(t *testing.T, f *fleet) {
		for name := range f.engines {
			f.net.kill(name + ":1")
		}
		for chat := range uint64(100) {
			_, err := f.answer(t.Context(), newItem(chat, 5), nil)
			require.Equal(t, work.NotRun, outcome(t, err))
		}
		require.False(t, f.routers["entry-0"].budget.Spend())
	})
}

// An upstream at its limit has a queue that cannot be served in time. The caller
// is refused with "not-run" well before its deadline, and told when to come back.
func TestRefusedEarlyWhenFull(t *testing.T) {
	stuck := http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		<-r.Context().Done()
	})
	run(t, 1, 1, map[string]http.Handler{"engine-0": stuck}, func(t *testing.T, f *fleet) {
		big := newItem(1, 0)
		big.Messages[0].Content = string(make([]byte, 400_000))
		go func() { _, _ = f.answer(t.Context(), big, nil) }()
		synctest.Wait()
		item := newItem(2, 5)
		begin := time.Now()
		_, err := f.answer(t.Context(), item, nil)
		var refusal *work.Refusal
		require.ErrorAs(t, err, &refusal)
		require.Equal(t, work.NotRun, refusal.Outcome)
		require.Positive(t, refusal.RetryAfter)
		require.LessOrEqual(t, time.Since(begin), item.BeginWithin)
		time.Sleep(5 * time.Minute)
	})
}

// A caller finds the address meant for entry hosts. Without the fleet's secret it is refused.
func TestPeerNeedsSecret(t *testing.T) {
	run(t, 2, 1, nil, func(t *testing.T, f *fleet) {
		peer := NewHTTPPeer(f.clients[0], "not-the-secret")
		_, err := peer.Serve(t.Context(), f.view["entry-0"].Hosts()[1], newItem(1, 1), "engine-0", 0, func(upstream.Frame) error { return nil })
		require.Equal(t, work.NotRun, outcome(t, err))
	})
}
