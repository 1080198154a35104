package relay

import (
	"context"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"jackdawhinge/platform/standin"
)

func TestRequestIsForwardedUnchanged(t *testing.T) {
	runFixture(t, []string{"mailbox-1"}, func(t *testing.T, f *fixture) {
		req := f.request(http.MethodPost, "/notice/a%2Fb//c?x=1&y=%20", "r1", "the body")
		req.Header.Set(standin.WorkspaceHeader, "somebody-else")
		req.Header.Set(standin.HoldHeader, "forged")
		req.Header.Set(standin.CacheSourceHeader, "10.9.9.9:1/forged")
		req.Header.Set("X-Own", "kept")
		req.Header.Set("Connection", "X-Hop")
		req.Header.Set("X-Hop", "dropped")
		got := f.do(req)
		require.NoError(t, got.err)
		require.Equal(t, http.StatusOK, got.status)
		require.Equal(t, "answer of mailbox-1 to r1", got.body)
		require.Equal(t, "seal-of-mailbox-1-r1", got.header.Get(standin.SealHeader))
		run := f.runners["mailbox-1"].Runs()[0]
		require.Equal(t, http.MethodPost, run.Method)
		require.Equal(t, "/notice/a%2Fb//c?x=1&y=%20", run.Target)
		require.Equal(t, "the body", run.Body)
		require.Equal(t, "mailroom", run.Header.Get(standin.WorkspaceHeader))
		require.Equal(t, "kept", run.Header.Get("X-Own"))
		for _, name := range []string{standin.AuthorizationHeader, standin.HoldHeader, standin.CacheSourceHeader, "X-Hop"} {
			require.Empty(t, run.Header.Get(name), name)
		}
		timeLeft, err := strconv.Atoi(run.Header.Get(standin.TimeoutHeader))
		require.NoError(t, err)
		require.LessOrEqual(t, timeLeft, 2000, "the route's timeout applies if the caller's is longer")
	})
}

func TestChunkedBodyIsForwarded(t *testing.T) {
	runFixture(t, []string{"mailbox-1"}, func(t *testing.T, f *fixture) {
		body := strings.Repeat("0123456789", 5000)
		req := f.request(http.MethodPost, "/notice/x", "r1", body)
		req.ContentLength = -1
		require.Equal(t, http.StatusOK, f.do(req).status)
		require.Equal(t, body, f.runners["mailbox-1"].Runs()[0].Body)
	})
}

func TestInvalidRequestIsRefused(t *testing.T) {
	tests := map[string]struct {
		path   string
		modify func(r *http.Request)
		status int
	}{
		"unknown route":    {"/nowhere/x", func(*http.Request) {}, http.StatusNotFound},
		"unknown host":     {"/scan/x", func(r *http.Request) { r.Host = "b.example" }, http.StatusNotFound},
		"unknown key":      {"/scan/x", func(r *http.Request) { r.Header.Set(standin.AuthorizationHeader, standin.Bearer("old")) }, http.StatusUnauthorized},
		"no key":           {"/scan/x", func(r *http.Request) { r.Header.Del(standin.AuthorizationHeader) }, http.StatusUnauthorized},
		"headers too big":  {"/scan/x", func(r *http.Request) { r.Header.Set("X-Big", strings.Repeat("x", 5000)) }, http.StatusRequestHeaderFieldsTooLarge},
		"invalid deadline": {"/scan/x", func(r *http.Request) { r.Header.Set(standin.TimeoutHeader, "soon") }, http.StatusBadRequest},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			runFixture(t, []string{"mailbox-1"}, func(t *testing.T, f *fixture) {
				req := f.request(http.MethodGet, test.path, "r1", "")
				test.modify(req)
				require.Equal(t, test.status, f.do(req).status)
				require.Zero(t, f.runCount("r1"))
			})
		})
	}
}

func TestOversizedBodyIsRefused(t *testing.T) {
	runFixture(t, []string{"mailbox-1"}, func(t *testing.T, f *fixture) {
		got := f.do(f.request(http.MethodPost, "/notice/x", "r1", strings.Repeat("x", 100001)))
		require.Equal(t, http.StatusRequestEntityTooLarge, got.status)
		require.Zero(t, f.runCount("r1"))
	})
}

func TestPublicRouteNeedsNoKey(t *testing.T) {
	runFixture(t, []string{"mailbox-1"}, func(t *testing.T, f *fixture) {
		req := f.request(http.MethodGet, "/open/x", "r1", "")
		req.Header.Del(standin.AuthorizationHeader)
		require.Equal(t, http.StatusOK, f.do(req).status)
	})
}

// While the store is unavailable, keys may be revoked and keys or routes added without this host's
// knowledge. Requests with keys must then be refused as not executed, never as unknown, while
// public routes stay available.
func TestKeysAreRefusedWhenStoreIsUnavailable(t *testing.T) {
	runFixture(t, []string{"mailbox-1"}, func(t *testing.T, f *fixture) {
		f.store.setUnavailable()
		time.Sleep(3 * time.Second)
		require.Equal(t, http.StatusOK, f.do(f.request(http.MethodGet, "/scan/x", "r1", "")).status, "a revoked key may be accepted for 5 s")
		time.Sleep(time.Second)
		unknown := f.request(http.MethodGet, "/scan/x", "r5", "")
		unknown.Header.Set(standin.AuthorizationHeader, standin.Bearer("perhaps-new"))
		require.Equal(t, http.StatusServiceUnavailable, f.do(unknown).status, "the key may have been added since")
		time.Sleep(2 * time.Second)
		got := f.do(f.request(http.MethodGet, "/scan/x", "r2", ""))
		require.Equal(t, http.StatusServiceUnavailable, got.status)
		require.NotEmpty(t, got.header.Get("Retry-After"))
		require.Zero(t, f.runCount("r2"))
		require.Equal(t, http.StatusServiceUnavailable, f.do(f.request(http.MethodGet, "/nowhere/x", "r3", "")).status)
		require.Equal(t, http.StatusOK, f.do(f.request(http.MethodGet, "/open/x", "r4", "")).status)
	})
}

// A draining host serves requests on kept connections for a while and closes each connection with
// the response; then it refuses requests as not executed.
func TestDrainClosesConnectionsThenRefuses(t *testing.T) {
	runFixture(t, []string{"mailbox-1"}, func(t *testing.T, f *fixture) {
		f.handler.Drain(time.Now().Add(2 * time.Second))
		req := f.request(http.MethodGet, "/scan/x", "r1", "")
		resp, err := f.client.Do(req)
		require.NoError(t, err)
		require.Equal(t, http.StatusOK, resp.StatusCode)
		require.True(t, resp.Close)
		require.NoError(t, resp.Body.Close())
		time.Sleep(3 * time.Second)
		require.Equal(t, http.StatusServiceUnavailable, f.do(f.request(http.MethodGet, "/scan/x", "r2", "")).status)
		require.Zero(t, f.runCount("r2"))
	})
}

// An engine must not go on generating for a caller that has disconnected: the host closes its
// connection to the engine immediately.
func TestUpstreamRequestIsCanceledWhenCallerDisconnects(t *testing.T) {
	runFixture(t, []string{"reader-1"}, func(t *testing.T, f *fixture) {
		ctx, disconnect := context.WithCancel(t.Context())
		resp, err := f.client.Do(f.streamRequest("/digest/x", "r1", 100).WithContext(ctx))
		require.NoError(t, err)
		time.Sleep(100 * time.Millisecond)
		disconnect()
		_ = resp.Body.Close()
		time.Sleep(50 * time.Millisecond)
		require.True(t, f.runners["reader-1"].Runs()[0].Cancelled)
	})
}

// If a service hangs, the caller gets a final response at the route's timeout, which does not claim
// that the request was not executed.
func TestRouteTimeout(t *testing.T) {
	runFixture(t, []string{"mailbox-1"}, func(t *testing.T, f *fixture) {
		f.setBehaviors(func(u *standin.Runner) standin.Behavior {
			return func(_ http.ResponseWriter, r *http.Request, body []byte) bool {
				u.RecordRun(r, body)
				<-r.Context().Done()
				return true
			}
		})
		start := time.Now()
		got := f.do(f.request(http.MethodPost, "/notice/x", "r1", "body"))
		require.Equal(t, http.StatusGatewayTimeout, got.status)
		require.Equal(t, 2*time.Second, time.Since(start))
	})
}

// A request beyond the maximum in progress is refused immediately as not executed, before the host
// runs out of memory.
func TestMaxRequestsInProgress(t *testing.T) {
	runFixture(t, []string{"mailbox-1"}, func(t *testing.T, f *fixture) {
		f.handler.inProgress.Store(maxInProgress)
		got := f.do(f.request(http.MethodGet, "/scan/x", "r1", ""))
		require.Equal(t, http.StatusServiceUnavailable, got.status)
		require.NotEmpty(t, got.header.Get("Retry-After"))
		f.handler.inProgress.Store(0)
		require.Equal(t, http.StatusOK, f.do(f.request(http.MethodGet, "/scan/x", "r2", "")).status)
	})
}

// Callers that disconnect one after the other must not cause a healthy engine to be avoided.
func TestDisconnectingCallersDoNotCountAgainstUpstream(t *testing.T) {
	runFixture(t, []string{"reader-1", "reader-2", "reader-3"}, func(t *testing.T, f *fixture) {
		f.setBehaviors(func(u *standin.Runner) standin.Behavior {
			return func(_ http.ResponseWriter, r *http.Request, body []byte) bool {
				u.RecordRun(r, body)
				<-r.Context().Done()
				return true
			}
		})
		for _, id := range []string{"r1", "r2", "r3", "r4", "r5"} {
			ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
			_, err := f.client.Do(f.streamRequest("/digest/x", id, 100).WithContext(ctx))
			require.Error(t, err)
			cancel()
			time.Sleep(10 * time.Millisecond)
		}
		for id := range f.runners {
			require.False(t, f.handler.Membership.Snapshot().Avoided(id), id)
		}
	})
}

// Bodies that are within the limit one by one could exhaust the host's memory together. Those
// beyond the total are refused as not executed, and the reservation is released afterwards.
func TestMaxBodyBytesInProgress(t *testing.T) {
	runFixture(t, []string{"mailbox-1"}, func(t *testing.T, f *fixture) {
		f.handler.bodyBytes.Store(f.handler.MaxTotalBodyBytes - 50_000)
		got := f.do(f.request(http.MethodPost, "/notice/x", "r1", strings.Repeat("x", 60_000)))
		require.Equal(t, http.StatusServiceUnavailable, got.status)
		chunked := f.request(http.MethodPost, "/notice/x", "r2", "short, without a length")
		chunked.ContentLength = -1
		require.Equal(t, http.StatusServiceUnavailable, f.do(chunked).status)
		require.Zero(t, f.runCount("r1")+f.runCount("r2"))
		require.Equal(t, http.StatusOK, f.do(f.request(http.MethodPost, "/notice/x", "r3", strings.Repeat("x", 40_000))).status)
		require.Equal(t, f.handler.MaxTotalBodyBytes-50_000, f.handler.bodyBytes.Load())
	})
}

// A caller that stops reading a large response must not hold its request beyond the deadline; such
// callers would use up the requests in progress of the host.
func TestRequestOfStalledCallerEndsAfterDeadline(t *testing.T) {
	runFixture(t, []string{"mailbox-1"}, func(t *testing.T, f *fixture) {
		f.setBehaviors(func(u *standin.Runner) standin.Behavior {
			return func(w http.ResponseWriter, r *http.Request, body []byte) bool {
				u.SetResponseHeaders(w.Header(), u.RecordRun(r, body).ID)
				_, _ = w.Write(make([]byte, 2*maxBufferedBytes))
				return true
			}
		})
		c, err := f.net.Dial(t.Context(), "tcp", listenAddress)
		require.NoError(t, err)
		defer func() { _ = c.Close() }()
		require.NoError(t, f.request(http.MethodGet, "/scan/x", "r1", "").Write(c))
		time.Sleep(time.Second)
		require.Equal(t, int64(1), f.handler.InProgress())
		time.Sleep(3 * time.Second)
		require.Zero(t, f.handler.InProgress())
	})
}
