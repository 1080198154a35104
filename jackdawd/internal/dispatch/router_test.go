package dispatch

import (
	"context"
	"io"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/propagation"

	"jackdawhinge/common/peers"
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
				f.net.Kill(owner + ":1")
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
		f.net.Kill(owner + ":1")
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

// Every engine is down. Callers see "not-run", and the tries made for a hundred
// of them stay within the retry budget, so that an outage does not multiply load.
func TestRetryBudgetInOutage(t *testing.T) {
	run(t, 1, 8, nil, func(t *testing.T, f *fleet) {
		for name := range f.engines {
			f.net.Kill(name + ":1")
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
