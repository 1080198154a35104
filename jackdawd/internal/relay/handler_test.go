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

func TestRequestReachesTheUpstreamUnchanged(t *testing.T) {
	run(t, []string{"mailbox-1"}, func(t *testing.T, f *fixture) {
		req := f.request(http.MethodPost, "/notice/a%2Fb//c?x=1&y=%20", "r1", "the body")
		req.Header.Set(standin.WorkspaceHeader, "somebody-else")
		req.Header.Set(standin.HoldHeader, "stolen")
		req.Header.Set(standin.FromHeader, "10.9.9.9:1/stolen")
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
		for _, name := range []string{standin.KeyHeader, standin.HoldHeader, standin.FromHeader, "X-Hop"} {
			require.Empty(t, run.Header.Get(name), name)
		}
		left, err := strconv.Atoi(run.Header.Get(standin.TimeLeftHeader))
		require.NoError(t, err)
		require.LessOrEqual(t, left, 2000, "the route's timeout binds where the caller would wait longer")
	})
}

func TestChunkedBodyArrivesWhole(t *testing.T) {
	run(t, []string{"mailbox-1"}, func(t *testing.T, f *fixture) {
		body := strings.Repeat("0123456789", 5000)
		req := f.request(http.MethodPost, "/notice/x", "r1", body)
		req.ContentLength = -1
		require.Equal(t, http.StatusOK, f.do(req).status)
		require.Equal(t, body, f.runners["mailbox-1"].Runs()[0].Body)
	})
}

func TestRefusalsBeforeAnyUpstream(t *testing.T) {
	tests := map[string]struct {
		path   string
		change func(r *http.Request)
		status int
	}{
		"unknown route":   {"/nowhere/x", func(*http.Request) {}, http.StatusNotFound},
		"unknown host":    {"/scan/x", func(r *http.Request) { r.Host = "b.example" }, http.StatusNotFound},
		"unknown key":     {"/scan/x", func(r *http.Request) { r.Header.Set(standin.KeyHeader, standin.Bearer("old")) }, http.StatusUnauthorized},
		"no key":          {"/scan/x", func(r *http.Request) { r.Header.Del(standin.KeyHeader) }, http.StatusUnauthorized},
		"headers too big": {"/scan/x", func(r *http.Request) { r.Header.Set("X-Big", strings.Repeat("x", 5000)) }, http.StatusRequestHeaderFieldsTooLarge},
		"bad deadline":    {"/scan/x", func(r *http.Request) { r.Header.Set(standin.TimeLeftHeader, "soon") }, http.StatusBadRequest},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			run(t, []string{"mailbox-1"}, func(t *testing.T, f *fixture) {
				req := f.request(http.MethodGet, test.path, "r1", "")
				test.change(req)
				require.Equal(t, test.status, f.do(req).status)
				require.Zero(t, f.runs("r1"))
			})
		})
	}
}

func TestBodyBeyondTheLimitIsRefused(t *testing.T) {
	run(t, []string{"mailbox-1"}, func(t *testing.T, f *fixture) {
		got := f.do(f.request(http.MethodPost, "/notice/x", "r1", strings.Repeat("x", 100001)))
		require.Equal(t, http.StatusRequestEntityTooLarge, got.status)
		require.Zero(t, f.runs("r1"))
	})
}

func TestPublicRouteNeedsNoKey(t *testing.T) {
	run(t, []string{"mailbox-1"}, func(t *testing.T, f *fixture) {
		req := f.request(http.MethodGet, "/open/x", "r1", "")
		req.Header.Del(standin.KeyHeader)
		require.Equal(t, http.StatusOK, f.do(req).status)
	})
}

// The store goes away. A key may be revoked there without this host's hearing of
// it, and an unknown key or route may have been added. So a while later keyed
// requests are refused as not run, never as unknown, while public ones go on.
func TestHostWithoutTheStoreHonorsNoKeys(t *testing.T) {
	run(t, []string{"mailbox-1"}, func(t *testing.T, f *fixture) {
		f.feed.fail()
		time.Sleep(3 * time.Second)
		require.Equal(t, http.StatusOK, f.do(f.request(http.MethodGet, "/scan/x", "r1", "")).status, "a revoked key may be honored for 5 s")
		time.Sleep(time.Second)
		unknown := f.request(http.MethodGet, "/scan/x", "r5", "")
		unknown.Header.Set(standin.KeyHeader, standin.Bearer("perhaps-new"))
		require.Equal(t, http.StatusServiceUnavailable, f.do(unknown).status, "the key may have been added meanwhile")
		time.Sleep(2 * time.Second)
		got := f.do(f.request(http.MethodGet, "/scan/x", "r2", ""))
		require.Equal(t, http.StatusServiceUnavailable, got.status)
		require.NotEmpty(t, got.header.Get("Retry-After"))
		require.Zero(t, f.runs("r2"))
		require.Equal(t, http.StatusServiceUnavailable, f.do(f.request(http.MethodGet, "/nowhere/x", "r3", "")).status)
		require.Equal(t, http.StatusOK, f.do(f.request(http.MethodGet, "/open/x", "r4", "")).status)
	})
}

// A host is told to stop. Requests on kept connections are still served for a
// while, each answer asking the caller to leave, and then refused as not run.
func TestStoppingHostAsksCallersToLeave(t *testing.T) {
	run(t, []string{"mailbox-1"}, func(t *testing.T, f *fixture) {
		f.handler.Stopping(time.Now().Add(2 * time.Second))
		req := f.request(http.MethodGet, "/scan/x", "r1", "")
		resp, err := f.client.Do(req)
		require.NoError(t, err)
		require.Equal(t, http.StatusOK, resp.StatusCode)
		require.True(t, resp.Close)
		require.NoError(t, resp.Body.Close())
		time.Sleep(3 * time.Second)
		require.Equal(t, http.StatusServiceUnavailable, f.do(f.request(http.MethodGet, "/scan/x", "r2", "")).status)
		require.Zero(t, f.runs("r2"))
	})
}

// The caller closes its connection while an engine generates. The engine would
// work on for nobody; closing the connection to it tells it at once.
func TestUpstreamStopsWhenTheCallerLeaves(t *testing.T) {
	run(t, []string{"reader-1"}, func(t *testing.T, f *fixture) {
		ctx, leave := context.WithCancel(t.Context())
		resp, err := f.client.Do(f.stream("/digest/x", "r1", 100).WithContext(ctx))
		require.NoError(t, err)
		time.Sleep(100 * time.Millisecond)
		leave()
		_ = resp.Body.Close()
		time.Sleep(50 * time.Millisecond)
		require.True(t, f.runners["reader-1"].Runs()[0].Cancelled)
	})
}

// A service hangs. At the route's timeout the caller gets a final answer, which
// does not say that the request was not run.
func TestRouteTimeoutEndsTheWait(t *testing.T) {
	run(t, []string{"mailbox-1"}, func(t *testing.T, f *fixture) {
		f.all(func(u *standin.Runner) standin.Behavior {
			return func(_ http.ResponseWriter, r *http.Request, body []byte) bool {
				u.Note(r, body)
				<-r.Context().Done()
				return true
			}
		})
		begin := time.Now()
		got := f.do(f.request(http.MethodPost, "/notice/x", "r1", "body"))
		require.Equal(t, http.StatusGatewayTimeout, got.status)
		require.Equal(t, 2*time.Second, time.Since(begin))
	})
}

// A crowd holds all that the host can have in progress. The next request is refused at
// once, as not run, before the host runs out of memory.
func TestRequestsInProgressAreBounded(t *testing.T) {
	run(t, []string{"mailbox-1"}, func(t *testing.T, f *fixture) {
		f.handler.inProgress.Store(maxInProgress)
		got := f.do(f.request(http.MethodGet, "/scan/x", "r1", ""))
		require.Equal(t, http.StatusServiceUnavailable, got.status)
		require.NotEmpty(t, got.header.Get("Retry-After"))
		f.handler.inProgress.Store(0)
		require.Equal(t, http.StatusOK, f.do(f.request(http.MethodGet, "/scan/x", "r2", "")).status)
	})
}

// Callers leave one after the other while a sound engine works. That says nothing
// against the engine, which must not be avoided for it.
func TestCallersThatLeaveBlameNobody(t *testing.T) {
	run(t, []string{"reader-1", "reader-2", "reader-3"}, func(t *testing.T, f *fixture) {
		f.all(func(u *standin.Runner) standin.Behavior {
			return func(_ http.ResponseWriter, r *http.Request, body []byte) bool {
				u.Note(r, body)
				<-r.Context().Done()
				return true
			}
		})
		for _, id := range []string{"r1", "r2", "r3", "r4", "r5"} {
			ctx, leave := context.WithTimeout(t.Context(), 50*time.Millisecond)
			_, err := f.client.Do(f.stream("/digest/x", id, 100).WithContext(ctx))
			require.Error(t, err)
			leave()
			time.Sleep(10 * time.Millisecond)
		}
		for id := range f.runners {
			require.False(t, f.handler.Members.Snapshot().Avoided(id), id)
		}
	})
}

// Callers send large bodies at once. Each is allowed, but all together would take the
// host's memory; those beyond the bound are refused as not run, and room comes back.
func TestBodiesInProgressAreBounded(t *testing.T) {
	run(t, []string{"mailbox-1"}, func(t *testing.T, f *fixture) {
		f.handler.bodies.Store(f.handler.MostBodies - 50_000)
		got := f.do(f.request(http.MethodPost, "/notice/x", "r1", strings.Repeat("x", 60_000)))
		require.Equal(t, http.StatusServiceUnavailable, got.status)
		chunked := f.request(http.MethodPost, "/notice/x", "r2", "short, but does not say so")
		chunked.ContentLength = -1
		require.Equal(t, http.StatusServiceUnavailable, f.do(chunked).status)
		require.Zero(t, f.runs("r1")+f.runs("r2"))
		require.Equal(t, http.StatusOK, f.do(f.request(http.MethodPost, "/notice/x", "r3", strings.Repeat("x", 40_000))).status)
		require.Equal(t, f.handler.MostBodies-50_000, f.handler.bodies.Load())
	})
}

// A caller asks for a large answer and stops reading. The request ends soon after its
// deadline; held for ever, such callers would use up what a host can have in progress.
func TestCallerThatStopsReadingIsLeft(t *testing.T) {
	run(t, []string{"mailbox-1"}, func(t *testing.T, f *fixture) {
		f.all(func(u *standin.Runner) standin.Behavior {
			return func(w http.ResponseWriter, r *http.Request, body []byte) bool {
				u.Seal(w.Header(), u.Note(r, body).ID)
				_, _ = w.Write(make([]byte, 2*wholeBytes))
				return true
			}
		})
		c, err := f.net.Dial(t.Context(), "tcp", callersAddress)
		require.NoError(t, err)
		defer func() { _ = c.Close() }()
		require.NoError(t, f.request(http.MethodGet, "/scan/x", "r1", "").Write(c))
		time.Sleep(time.Second)
		require.Equal(t, int64(1), f.handler.InProgress())
		time.Sleep(3 * time.Second)
		require.Zero(t, f.handler.InProgress())
	})
}
