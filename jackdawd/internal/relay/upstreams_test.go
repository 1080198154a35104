package relay

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"jackdawhinge/common/pause"
	"jackdawhinge/common/traffic"
	"jackdawhinge/platform/standin"
)

// Another upstream has taken over an address and responds with 421. The request goes to another
// upstream, even if it must not be executed twice.
func TestReplacedUpstreamIsSkipped(t *testing.T) {
	runFixture(t, []string{"mailbox-1", "mailbox-2"}, func(t *testing.T, f *fixture) {
		address := f.store.upstreams[0].Address
		f.net.Kill(address)
		f.net.Serve(address, standin.NewRunner("replacement", 8))
		for _, id := range []string{"r1", "r2", "r3"} {
			got := f.do(f.request(http.MethodPost, "/notice/x", id, "body"))
			require.Equal(t, "answer of mailbox-2 to "+id, got.body)
		}
	})
}

// If an upstream is unreachable, nothing was sent, so that any request may go to another one.
func TestUnreachableUpstreamIsSkipped(t *testing.T) {
	runFixture(t, []string{"mailbox-1", "mailbox-2"}, func(t *testing.T, f *fixture) {
		f.net.Kill(f.store.upstreams[0].Address)
		for _, id := range []string{"r1", "r2", "r3"} {
			require.Equal(t, "answer of mailbox-2 to "+id, f.do(f.request(http.MethodPost, "/notice/x", id, "body")).body)
		}
	})
}

// Without an upstream a request is refused immediately, not at its deadline.
func TestNoUpstreamRefusesImmediately(t *testing.T) {
	runFixture(t, nil, func(t *testing.T, f *fixture) {
		start := time.Now()
		got := f.do(f.request(http.MethodPost, "/notice/x", "r1", "body"))
		require.Equal(t, http.StatusServiceUnavailable, got.status)
		require.NotEmpty(t, got.header.Get("Retry-After"))
		require.Zero(t, time.Since(start))
	})
}

// Upstreams change state during an attempt. The retry must go to one that is ready now, not to one
// that is leaving.
func TestRetryUsesCurrentUpstreams(t *testing.T) {
	runFixture(t, []string{"reader-1", "reader-2", "reader-3", "reader-4"}, func(t *testing.T, f *fixture) {
		// setStates sets the state of reader-4 and that of all others.
		setStates := func(reader4, others traffic.UpstreamState) {
			f.store.mu.Lock()
			defer f.store.mu.Unlock()
			for i := range f.store.upstreams {
				upstream := &f.store.upstreams[i]
				upstream.Sequence++
				upstream.State = others
				if upstream.ID == "reader-4" {
					upstream.State = reader4
				}
			}
		}
		setStates(traffic.Leaving, traffic.Ready)
		time.Sleep(2 * time.Second)
		hung := false
		f.setBehaviors(func(u *standin.Runner) standin.Behavior {
			return func(_ http.ResponseWriter, r *http.Request, body []byte) bool {
				if hung {
					return false
				}
				hung = true
				u.RecordRun(r, body)
				setStates(traffic.Ready, traffic.Leaving)
				<-r.Context().Done()
				return true
			}
		})
		got := f.do(f.streamRequest("/digest/x", "r1", 3))
		require.NoError(t, got.err)
		require.Equal(t, eventRange(1, 3), got.body)
		require.Len(t, f.runners["reader-4"].Runs(), 1)
	})
}

// Requests stay in the host's region as long as an upstream there answers, and go to another region
// before they are refused.
func TestUpstreamsOfSameRegionArePreferred(t *testing.T) {
	runFixture(t, []string{"mailbox-1", "mailbox-2"}, func(t *testing.T, f *fixture) {
		f.store.mu.Lock()
		f.store.upstreams[0].FailureDomain = "far"
		f.store.upstreams[0].Sequence++
		f.store.mu.Unlock()
		time.Sleep(2 * time.Second)
		for _, id := range []string{"r1", "r2", "r3", "r4"} {
			require.Equal(t, "answer of mailbox-2 to "+id, f.do(f.request(http.MethodPost, "/notice/x", id, "body")).body)
		}
		f.net.Kill(f.store.upstreams[1].Address)
		require.Equal(t, "answer of mailbox-1 to r5", f.do(f.request(http.MethodPost, "/notice/x", "r5", "body")).body)
	})
}

// Upstreams close idle connections, and a request that is sent just then may or may not be
// executed. A request that must not be executed twice uses a recently used or new connection only;
// others may use an older one.
func TestNonIdempotentRequestAvoidsIdleConnections(t *testing.T) {
	runFixture(t, []string{"mailbox-1"}, func(t *testing.T, f *fixture) {
		send := func(method, path, id string) {
			require.Equal(t, http.StatusOK, f.do(f.request(method, path, id, "")).status)
		}
		send(http.MethodPost, "/notice/x", "r1")
		time.Sleep(time.Second)
		send(http.MethodPost, "/notice/x", "r2")
		require.Equal(t, int64(1), f.handler.Client.DialCount())
		time.Sleep(3 * time.Second)
		send(http.MethodGet, "/scan/x", "r3")
		require.Equal(t, int64(1), f.handler.Client.DialCount())
		time.Sleep(2 * time.Second)
		send(http.MethodPost, "/notice/x", "r4")
		require.Equal(t, int64(2), f.handler.Client.DialCount())
	})
}

// An upstream announces its idle timeout. The host must not use a connection so late that the
// upstream may be closing it, and closes old connections first.
func TestConnectionsCloseBeforeUpstreamIdleTimeout(t *testing.T) {
	runFixture(t, []string{"mailbox-1"}, func(t *testing.T, f *fixture) {
		f.setBehaviors(func(*standin.Runner) standin.Behavior {
			return func(w http.ResponseWriter, _ *http.Request, _ []byte) bool {
				w.Header().Set("Keep-Alive", "timeout=3")
				return false
			}
		})
		closedAfter := make(chan time.Duration, 2)
		start := time.Now()
		require.Equal(t, http.StatusOK, f.do(f.request(http.MethodGet, "/scan/x", "r1", "")).status)
		f.setBehaviors(func(u *standin.Runner) standin.Behavior {
			return func(w http.ResponseWriter, r *http.Request, body []byte) bool {
				id := u.RecordRun(r, body).ID
				hijack(w, func(c net.Conn, _ *bufio.ReadWriter) {
					_, _ = io.WriteString(c, strings.ReplaceAll(signedHead, "ID", id)+"Keep-Alive: timeout=3\r\nContent-Length: 2\r\n\r\nok")
					_, _ = c.Read(make([]byte, 1))
					closedAfter <- time.Since(start)
				})
				return true
			}
		})
		time.Sleep(2500 * time.Millisecond)
		require.Equal(t, http.StatusOK, f.do(f.request(http.MethodGet, "/scan/x", "r2", "")).status)
		require.Equal(t, int64(2), f.handler.Client.DialCount(), "a new connection is used after 2.5 of 3 s")
		time.Sleep(4 * time.Second)
		require.Less(t, <-closedAfter, 5500*time.Millisecond, "closed before the upstream's timeout")
	})
}

// An engine accepts requests that must not run twice and stays silent, so that their callers wait
// until they give up. The engine must be avoided once the first requests have waited for twice
// their target. Before that, new requests already go elsewhere, because this host's requests there
// have waited for longer than responses usually take.
func TestSilentEngineIsAvoidedBeforeCallersGiveUp(t *testing.T) {
	runFixture(t, []string{"reader-1", "reader-2", "reader-3", "reader-4"}, func(t *testing.T, f *fixture) {
		f.runners["reader-1"].SetBehavior(func(_ http.ResponseWriter, r *http.Request, body []byte) bool {
			f.runners["reader-1"].RecordRun(r, body)
			<-r.Context().Done()
			return true
		})
		var waiting sync.WaitGroup
		for i := range 40 {
			waiting.Go(func() {
				req, err := testCaller.Stream(t.Context(), "/sort/x", fmt.Sprintf("first-%d", i), fmt.Sprintf("b%d", i), 2)
				if err == nil {
					f.do(req)
				}
			})
			time.Sleep(10 * time.Millisecond)
		}
		require.Len(t, f.runners["reader-1"].Runs(), 3)
		time.Sleep(800 * time.Millisecond)
		require.True(t, f.handler.Membership.Snapshot().Avoided("reader-1"))
		waiting.Wait()
	})
}

// All engines have more requests than slots, and one starts a stream only after three times the
// target. The request must keep its place in the queue, because it would have to queue again at
// another engine and time out. It leaves an engine that is silent without being full.
func TestRequestStaysQueuedAtFullEngine(t *testing.T) {
	for name, test := range map[string]struct {
		load     traffic.Load
		wantRuns int
	}{
		"full":     {traffic.Load{Running: 8, Waiting: 20, Slots: 8}, 1},
		"not full": {traffic.Load{Running: 2, Slots: 8}, 2},
	} {
		t.Run(name, func(t *testing.T) {
			runFixture(t, []string{"reader-1", "reader-2"}, func(t *testing.T, f *fixture) {
				f.setBehaviors(func(r *standin.Runner) standin.Behavior {
					return func(w http.ResponseWriter, req *http.Request, body []byte) bool {
						id := r.RecordRun(req, body).ID
						if pause.For(req.Context(), 2400*time.Millisecond); req.Context().Err() != nil {
							return true
						}
						r.SetResponseHeaders(w.Header(), id)
						w.Header().Set("Content-Type", "text/event-stream")
						_, _ = w.Write([]byte(standin.Event(1)))
						return true
					}
				})
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				go func() {
					// The loads must not be known yet when the request is placed.
					pause.For(ctx, 50*time.Millisecond)
					for ; ctx.Err() == nil; pause.For(ctx, 100*time.Millisecond) {
						for _, u := range f.handler.Membership.Snapshot().ReadyUpstreams("reader") {
							f.handler.Loads.Record(time.Now(), u, test.load)
						}
					}
				}()
				got := f.do(f.streamRequest("/digest/x", "r1", 1))
				require.NoError(t, got.err)
				require.Equal(t, http.StatusOK, got.status)
				require.Equal(t, test.wantRuns, f.runCount("r1"))
			})
		})
	}
}

// If all engines report queues in which a request would start long after its target, it is refused
// immediately as not executed, with a Retry-After, and reaches no engine. Without queues it is
// served.
func TestRequestExceedingMaxDelayIsRefused(t *testing.T) {
	for name, test := range map[string]struct {
		waiting int
		status  int
	}{
		"long queues": {40, http.StatusServiceUnavailable},
		"no queues":   {0, http.StatusOK},
	} {
		t.Run(name, func(t *testing.T) {
			runFixture(t, []string{"reader-1", "reader-2"}, func(t *testing.T, f *fixture) {
				for _, u := range f.handler.Membership.Snapshot().ReadyUpstreams("reader") {
					f.handler.Loads.Record(time.Now(), u, traffic.Load{Running: 8, Waiting: test.waiting, Slots: 8})
				}
				start := time.Now()
				got := f.do(f.streamRequest("/digest/x", "r1", 1))
				require.NoError(t, got.err)
				require.Equal(t, test.status, got.status)
				if test.status != http.StatusOK {
					require.Zero(t, time.Since(start))
					require.Zero(t, f.runCount("r1"))
					require.NotEmpty(t, got.header.Get("Retry-After"))
					require.Equal(t, reasonTooLate, f.recorder.lastRecord().Steps[0].Reason)
				}
			})
		})
	}
}

// A plain service that reports no load rejects a request because it is full. The next request is
// refused by the host with a Retry-After instead of being sent there.
func TestRejectionMarksUpstreamFull(t *testing.T) {
	runFixture(t, []string{"mailbox-1"}, func(t *testing.T, f *fixture) {
		f.setBehaviors(func(*standin.Runner) standin.Behavior {
			return func(w http.ResponseWriter, _ *http.Request, _ []byte) bool {
				w.Header().Set(standin.NotExecutedHeader, "1")
				w.WriteHeader(http.StatusServiceUnavailable)
				return true
			}
		})
		reached := 0
		for n := range 3 {
			got := f.do(f.request(http.MethodPost, "/notice/x", fmt.Sprint("r", n), "hello"))
			require.NoError(t, got.err)
			require.Equal(t, http.StatusServiceUnavailable, got.status)
			require.NotEmpty(t, got.header.Get("Retry-After"))
			if f.recorder.lastRecord().Steps[0].Reason != reasonTooLate {
				reached++
			}
		}
		require.Equal(t, 1, reached)
	})
}

// During an overload, refused callers are told to retry after as long as the overload has lasted so
// far: sooner they would be refused again, and they retry only a few times.
func TestRetryAfterGrowsWithOverloadDuration(t *testing.T) {
	runFixture(t, []string{"reader-1", "reader-2"}, func(t *testing.T, f *fixture) {
		var retryAfter float64
		start := time.Now()
		for n := 0; time.Since(start) <= 3*time.Second; n++ {
			for _, u := range f.handler.Membership.Snapshot().ReadyUpstreams("reader") {
				f.handler.Loads.Record(time.Now(), u, traffic.Load{Running: 8, Waiting: 40, Slots: 8})
			}
			got := f.do(f.streamRequest("/digest/x", fmt.Sprint("r", n), 1))
			require.Equal(t, http.StatusServiceUnavailable, got.status)
			var err error
			retryAfter, err = strconv.ParseFloat(got.header.Get("Retry-After"), 64)
			require.NoError(t, err)
			time.Sleep(300 * time.Millisecond)
		}
		require.InDelta(t, 3.75, retryAfter, 0.76, "3 s and up to half as much jitter")
	})
}

// Another upstream at the address of one that is gone must not make the pool of that one brittle.
func TestReplacedUpstreamDoesNotMakePoolBrittle(t *testing.T) {
	runFixture(t, []string{"mailbox-1"}, func(t *testing.T, f *fixture) {
		other := standin.NewRunner("other-1", 8)
		other.SetBrittle(1)
		f.setBehaviors(func(*standin.Runner) standin.Behavior {
			return func(w http.ResponseWriter, r *http.Request, _ []byte) bool {
				other.ServeHTTP(w, r)
				return true
			}
		})
		f.do(f.request(http.MethodGet, "/scan/x", "r1", ""))
		require.False(t, f.handler.Brittleness.IsBrittle(time.Now(), "mailbox"))
	})
}

// A request that finds no room at a brittle upstream must be refused as not run, also if the room
// went to another one after it was placed.
func TestRequestWithoutRoomAtBrittleUpstreamIsNotRun(t *testing.T) {
	runFixture(t, []string{"mailbox-1"}, func(t *testing.T, f *fixture) {
		f.runners["mailbox-1"].SetBrittle(1)
		require.Equal(t, http.StatusOK, f.do(f.request(http.MethodGet, "/scan/x", "r1", "")).status)
		f.runners["mailbox-1"].SetServiceTime(time.Second)
		f.leases.free = 1
		var waiting sync.WaitGroup
		statuses := make(chan int, 3)
		for _, id := range []string{"r2", "r3", "r4"} {
			waiting.Go(func() { statuses <- f.do(f.request(http.MethodPost, "/notice/x", id, "body")).status })
		}
		waiting.Wait()
		got := []int{<-statuses, <-statuses, <-statuses}
		require.ElementsMatch(t, []int{http.StatusOK, http.StatusServiceUnavailable, http.StatusServiceUnavailable}, got)
		require.Equal(t, 1, f.runCount("r2")+f.runCount("r3")+f.runCount("r4"))
		require.Equal(t, 1, f.leases.free, "the slot is given back")
	})
}
