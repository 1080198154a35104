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
	runFleet(t, 3, 4, nil, func(t *testing.T, f *fleet) {
		text, err := f.route(t.Context(), f.itemOwnedElsewhere(20), nil)
		require.NoError(t, err)
		require.Equal(t, expectedText(20), text)
	})
}

// A caller's trace context must reach the upstream across two hops.
func TestTraceReachesUpstream(t *testing.T) {
	otel.SetTextMapPropagator(propagation.TraceContext{})
	var got string
	traced := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		got = r.Header.Get("Traceparent")
		encodeFrame(w, upstream.Frame{RequestID: r.Header.Get(upstream.RequestIDHeader), Finish: upstream.FinishStop})
	})
	runFleet(t, 2, 1, map[string]http.Handler{"engine-0": traced}, func(t *testing.T, f *fleet) {
		sent := http.Header{"Traceparent": {"00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01"}}
		ctx := otel.GetTextMapPropagator().Extract(t.Context(), propagation.HeaderCarrier(sent))
		_, err := f.route(ctx, f.itemOwnedElsewhere(1), nil)
		require.NoError(t, err)
		require.Contains(t, got, "0af7651916cd43dd8448eb211c80319c")
	})
}

// The owner dies in the middle of a response. The entry host resumes it directly from
// the engine at the position reached, without a second generation.
func TestOwnerDiesDuringResponse(t *testing.T) {
	runFleet(t, 3, 2, nil, func(t *testing.T, f *fleet) {
		item := f.itemOwnedElsewhere(50)
		name, owner := f.firstChoice(item)
		text, err := f.route(t.Context(), item, func(position int) {
			if position == 10 {
				f.net.Kill(owner + ":1")
			}
		})
		require.NoError(t, err)
		require.Equal(t, expectedText(50), text)
		require.EqualValues(t, 1, f.engines[name].Started())
	})
}

// The owner is down before the request. The refused connection proves that the request
// was not run, and the host next in rank acts as owner.
func TestOwnerUnreachable(t *testing.T) {
	runFleet(t, 3, 2, nil, func(t *testing.T, f *fleet) {
		item := f.itemOwnedElsewhere(5)
		_, owner := f.firstChoice(item)
		f.net.Kill(owner + ":1")
		text, err := f.route(t.Context(), item, nil)
		require.NoError(t, err)
		require.Equal(t, expectedText(5), text)
	})
}

// The owner is shutting down and refuses the item as not run, so that even a
// non-idempotent request is sent through another host.
func TestOwnerStopping(t *testing.T) {
	runFleet(t, 3, 2, nil, func(t *testing.T, f *fleet) {
		item := f.itemOwnedElsewhere(5)
		item.Idempotent = false
		_, f.stopping = f.firstChoice(item)
		text, err := f.route(t.Context(), item, nil)
		require.NoError(t, err)
		require.Equal(t, expectedText(5), text)
		require.Empty(t, f.owners[f.stopping].queues)
	})
}

// The caller disconnects in the middle of its response. The request is cancelled on the
// engine, and no host is recorded as failed.
func TestCallerDisconnects(t *testing.T) {
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
		ctx, cancel := context.WithCancel(t.Context())
		_, err := f.route(ctx, f.itemOwnedElsewhere(10), func(int) { cancel() })
		require.Error(t, err)
		<-cancelled
		f.failures.failed.Range(func(name, _ any) bool {
			t.Errorf("%s is recorded as failed because a caller disconnected", name)
			return true
		})
	})
}

// An item carries the loads of the engines that it was moved away from. The next owner
// must merge them, as they are newer than its own rows.
func TestOwnerMergesVisitedLoads(t *testing.T) {
	runFleet(t, 2, 3, nil, func(t *testing.T, f *fleet) {
		item := f.itemOwnedElsewhere(5)
		name, owner := f.firstChoice(item)
		pool, _ := f.views[owner].Pool(testModel)
		var notOwned *routing.Upstream
		for _, u := range pool.Upstreams() {
			if host, _ := f.views[owner].Owner(u.Hash()); host.Name() != owner {
				notOwned = u
			}
		}
		item.VisitedRows = []peers.UpstreamLoad{{Upstream: notOwned.Hash(), Load: 77_000}}
		_, err := f.owners[owner].Serve(t.Context(), item, name, 1, func(upstream.Frame) error { return nil })
		require.NoError(t, err)
		load, known := f.owners[owner].balancer.Load(time.Now(), notOwned)
		require.True(t, known)
		require.EqualValues(t, 77_000, load)
	})
}

// Every engine is down. Requests fail as "not-run", and the retries of a hundred of
// them stay within the budget, so that an outage does not multiply load.
func TestRetryBudgetInOutage(t *testing.T) {
	runFleet(t, 1, 8, nil, func(t *testing.T, f *fleet) {
		for name := range f.engines {
			f.net.Kill(name + ":1")
		}
		for chat := range uint64(100) {
			_, err := f.route(t.Context(), newItem(chat, 5), nil)
			require.Equal(t, work.NotRun, outcomeOf(t, err))
		}
		require.False(t, f.routers["entry-0"].budget.TryWithdraw())
	})
}

// An upstream at its limit cannot serve its queue in time. The caller is refused with
// "not-run" and a retry time before its deadline.
func TestOverloadIsRefusedEarly(t *testing.T) {
	hanging := http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		<-r.Context().Done()
	})
	runFleet(t, 1, 1, map[string]http.Handler{"engine-0": hanging}, func(t *testing.T, f *fleet) {
		big := newItem(1, 0)
		big.Messages[0].Content = string(make([]byte, 400_000))
		go func() { _, _ = f.route(t.Context(), big, nil) }()
		synctest.Wait()
		item := newItem(2, 5)
		begin := time.Now()
		_, err := f.route(t.Context(), item, nil)
		var refusal *work.Refusal
		require.ErrorAs(t, err, &refusal)
		require.Equal(t, work.NotRun, refusal.Outcome)
		require.Positive(t, refusal.RetryAfter)
		require.LessOrEqual(t, time.Since(begin), item.RemainingTarget)
		time.Sleep(5 * time.Minute)
	})
}

// A caller that reaches the address for entry hosts is refused without the fleet's secret.
func TestPeerNeedsSecret(t *testing.T) {
	runFleet(t, 2, 1, nil, func(t *testing.T, f *fleet) {
		peer := NewHTTPPeer(f.clients[0], "not-the-secret")
		_, err := peer.Serve(t.Context(), f.views["entry-0"].Hosts()[1], newItem(1, 1), "engine-0", 0, func(upstream.Frame) error { return nil })
		require.Equal(t, work.NotRun, outcomeOf(t, err))
	})
}
