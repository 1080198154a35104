package relay

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"jackdawhinge/common/traffic"
	"jackdawhinge/jackdawd/internal/exchange"
	"jackdawhinge/jackdawd/internal/readahead"
	"jackdawhinge/platform"
	"jackdawhinge/platform/standin"
	"jackdawhinge/standin/network"
)

// enableReadAhead lets the host read responses ahead of slow callers.
func (f *fixture) enableReadAhead(maxBytes int64) *readahead.Budget {
	f.handler.AdmitsByPool = func() bool { return true }
	f.handler.ReadAhead = readahead.NewBudget(maxBytes)
	return f.handler.ReadAhead
}

// bulkEvent returns event n of a stream whose events have the given size.
func bulkEvent(n, size int) string {
	head := fmt.Sprintf("id: %d\ndata: ", n)
	return head + strings.Repeat("x", size-len(head)-2) + "\n\n"
}

// respondInBulk lets all runners respond with events of a size, or with a body if the request is for no stream, as
// fast as the host reads; interval is the time between two events.
func (f *fixture) respondInBulk(events, size int, interval time.Duration) (whole string) {
	for n := range events {
		whole += bulkEvent(n+1, size)
	}
	f.setBehaviors(func(u *standin.Runner) standin.Behavior {
		return func(w http.ResponseWriter, r *http.Request, body []byte) bool {
			u.SetResponseHeaders(w.Header(), u.RecordRun(r, body).ID)
			if strings.HasPrefix(r.RequestURI, "/scan") {
				_, _ = io.WriteString(w, whole)
				return true
			}
			w.Header().Set("Content-Type", "text/event-stream")
			first, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
			for n := first; n < events; n++ {
				if _, err := io.WriteString(w, bulkEvent(n+1, size)); err != nil {
					return true
				}
				_ = http.NewResponseController(w).Flush()
				time.Sleep(interval)
			}
			return true
		}
	})
	return whole
}

// open sends a request and returns the response, of which only the header was read.
func (f *fixture) open(req *http.Request) *http.Response {
	resp, err := f.client.Do(req)
	require.NoError(f.t, err)
	require.Equal(f.t, http.StatusOK, resp.StatusCode)
	return resp
}

// ownRequests returns the requests that count as in progress at all upstreams.
func (f *fixture) ownRequests() (n int) {
	for _, requests := range f.handler.Loads.InProgress() {
		n += requests
	}
	return n
}

// Guards against a caller that stops reading and so holds its engine's slot, and against one that does not get all of
// its response for that. Where read-ahead is off, the upstream waits for the caller.
func TestCallerThatStopsFreesItsSlot(t *testing.T) {
	const budget = 32 << 20
	for name, test := range map[string]struct {
		path    string
		runner  string
		events  int
		size    int
		budget  int64
		wantOwn int
	}{
		"stream":                      {"/sort/1", "reader-1", 300, 500, budget, 0},
		"resumable stream":            {"/digest/1", "reader-1", 300, 500, budget, 0},
		"large events":                {"/sort/1", "reader-1", 5, 70_000, budget, 0},
		"buffered":                    {"/scan/1", "mailbox-1", 10, 10_000, budget, 0},
		"short":                       {"/scan/1", "mailbox-1", 10, 500, budget, 0},
		"unbuffered":                  {"/scan/1", "mailbox-1", 50, 10_000, budget, 0},
		"off, stream":                 {"/sort/1", "reader-1", 300, 500, 0, 1},
		"off, buffered":               {"/scan/1", "mailbox-1", 10, 10_000, 0, 1},
		"too large for one response":  {"/sort/1", "reader-1", 300, 500, 16 * 50_000, 1},
		"no room for the buffer":      {"/sort/1", "reader-1", 300, 500, 16, 1},
		"too large, resumable stream": {"/digest/1", "reader-1", 300, 500, 16 * 50_000, 1},
	} {
		t.Run(name, func(t *testing.T) {
			runFixture(t, []string{test.runner}, func(t *testing.T, f *fixture) {
				if test.budget > 0 {
					f.enableReadAhead(test.budget)
				}
				whole := f.respondInBulk(test.events, test.size, time.Millisecond)
				req := f.streamRequest(test.path, "1", test.events)
				if strings.HasPrefix(test.path, "/scan") {
					req = f.request(http.MethodGet, test.path, "1", "")
				}
				resp := f.open(req)
				time.Sleep(time.Second)
				require.Equal(t, test.wantOwn, f.ownRequests())
				time.Sleep(4 * time.Second)
				body, err := io.ReadAll(resp.Body)
				if test.budget == 0 && strings.HasPrefix(test.path, "/scan") {
					// The deadline of this route is 2 s, which bounds the writes of such a response.
					require.Error(t, err)
					return
				}
				require.NoError(t, err)
				require.Equal(t, whole, string(body))
				time.Sleep(100 * time.Millisecond)
				require.Zero(t, f.ownRequests())
				require.Equal(t, Answered, f.recorder.lastRecord().Outcome)
				require.Equal(t, 1, f.runCount("1"))
				if f.handler.ReadAhead != nil {
					require.Zero(t, f.handler.ReadAhead.Held())
					require.Zero(t, f.handler.ReadAhead.Responses())
				}
			})
		})
	}
}

// Guards against events that are lost, repeated or reordered as a caller falls behind and catches up again.
func TestUnsteadyCallerGetsWholeResponse(t *testing.T) {
	for seed := range uint64(12) {
		runFixture(t, []string{"reader-1", "mailbox-1"}, func(t *testing.T, f *fixture) {
			random := rand.New(rand.NewPCG(seed, 1))
			budget := f.enableReadAhead(int64(16 * (1 + random.IntN(200_000))))
			whole := f.respondInBulk(200+random.IntN(200), 50+random.IntN(2000), time.Duration(random.IntN(8))*time.Millisecond)
			req := f.streamRequest("/digest/1", "1", 1)
			if seed%3 == 0 {
				req = f.request(http.MethodGet, "/scan/1", "1", "")
			}
			resp := f.open(req)
			var got bytes.Buffer
			var err error
			for err == nil {
				_, err = io.CopyN(&got, resp.Body, int64(1+random.IntN(60_000)))
				if random.IntN(2) == 0 {
					time.Sleep(time.Duration(random.IntN(250)) * time.Millisecond)
				}
			}
			require.Equal(t, io.EOF, err)
			require.Equal(t, whole, got.String(), "seed %d", seed)
			time.Sleep(time.Second)
			require.Zero(t, budget.Held())
			require.Zero(t, budget.Responses())
			require.Zero(t, f.ownRequests())
		})
	}
}

// Guards against slow callers that exhaust the host's memory, against one that reads and is not served for them, and
// against responses that are cut although all fit.
func TestSlowCallersStayWithinBudget(t *testing.T) {
	const callers, arrivalInterval = 1000, 9 * time.Millisecond
	var engines []string
	for n := range 90 {
		engines = append(engines, fmt.Sprintf("reader-%d", n+1))
	}
	for name, test := range map[string]struct {
		events  int
		budget  int64
		wantCut bool
	}{
		// A host of 136 MB has this budget.
		"all fit":        {16, 17 << 20, false},
		"budget used up": {60, 8 << 20, true},
	} {
		t.Run(name, func(t *testing.T) {
			runFixture(t, engines, func(t *testing.T, f *fixture) {
				budget := f.enableReadAhead(test.budget)
				whole := f.respondInBulk(test.events, 500, 0)
				var slow sync.WaitGroup
				leave := make(chan struct{})
				for n := range callers {
					slow.Go(func() {
						time.Sleep(time.Duration(n) * arrivalInterval)
						resp, err := f.client.Do(f.streamRequest("/sort/x", fmt.Sprintf("slow-%d", n), test.events))
						if err != nil {
							return
						}
						<-leave
						_ = resp.Body.Close()
					})
				}
				mostHeld, mostResponses := int64(0), int64(0)
				for n := range 95 {
					got := f.do(f.streamRequest("/sort/x", fmt.Sprintf("reads-%d", n), test.events))
					require.NoError(t, got.err)
					require.Equal(t, http.StatusOK, got.status, got.body)
					require.Equal(t, whole, got.body)
					mostHeld, mostResponses = max(mostHeld, budget.Held()), max(mostResponses, budget.Responses())
					require.LessOrEqual(t, budget.Held(), test.budget)
					time.Sleep(100 * time.Millisecond)
				}
				t.Logf("held at most %d bytes of %d for %d callers, %d responses cut", mostHeld, test.budget, mostResponses, budget.CutCount())
				require.Equal(t, test.wantCut, budget.CutCount() > 0)
				if !test.wantCut {
					require.EqualValues(t, callers, mostResponses)
				}
				close(leave)
				slow.Wait()
				time.Sleep(time.Second)
				require.Zero(t, budget.Held())
				require.Zero(t, budget.Responses())
				require.Zero(t, f.ownRequests())
			})
		})
	}
}

// Guards against a budget that cuts a response other than the one which the rule selects, and against a response
// that was cut and looks complete.
func TestExhaustedBudgetCutsMostCostlyResponse(t *testing.T) {
	runFixture(t, []string{"reader-1"}, func(t *testing.T, f *fixture) {
		var log bytes.Buffer
		logrus.SetOutput(&log)
		budget := f.enableReadAhead(640 << 10)
		whole := f.respondInBulk(60, 500, 0)
		var stalled []*http.Response
		for n := 0; budget.CutCount() == 0; n++ {
			require.Less(t, budget.Held(), int64(640<<10))
			stalled = append(stalled, f.open(f.streamRequest("/sort/x", fmt.Sprintf("stalled-%d", n), 60)))
			time.Sleep(300 * time.Millisecond)
		}
		require.Greater(t, len(stalled), 16)
		logrus.SetOutput(io.Discard)
		_, err := io.ReadAll(stalled[0].Body)
		require.Error(t, err, "the one that was idle for longest")
		require.Equal(t, Truncated, f.recorder.lastRecord().Outcome)
		require.Contains(t, log.String(), "relay: Cut off a response")
		require.Contains(t, log.String(), "request=stalled-0")
		for _, resp := range stalled[1:] {
			body, err := io.ReadAll(resp.Body)
			require.NoError(t, err)
			require.Equal(t, whole, string(body))
		}
		require.EqualValues(t, 1, budget.CutCount())
	})
}

// Guards against a caller that has left whose upstream goes on, or whose response is still held.
func TestCallerLeavesWhileResponseIsHeld(t *testing.T) {
	for name, interval := range map[string]time.Duration{"upstream goes on": 50 * time.Millisecond, "upstream has ended": 0} {
		t.Run(name, func(t *testing.T) {
			runFixture(t, []string{"reader-1"}, func(t *testing.T, f *fixture) {
				budget := f.enableReadAhead(16 << 20)
				f.respondInBulk(100, 5000, interval)
				resp := f.open(f.streamRequest("/digest/x", "1", 100))
				time.Sleep(time.Second)
				require.NotZero(t, budget.Held())
				_ = resp.Body.Close()
				synctest.Wait()
				require.Zero(t, budget.Held())
				require.Zero(t, f.ownRequests())
				require.Equal(t, CallerLeft, f.recorder.lastRecord().Outcome)
				require.Equal(t, 1, f.runCount("1"))
			})
		})
	}
}

// Guards against a stream that breaks off while it is read ahead and that is not resumed, or not after the last event
// that is held for its caller.
func TestStreamIsResumedBehindHeldEvents(t *testing.T) {
	for name, test := range map[string]struct {
		path  string
		whole bool
	}{"resumable": {"/digest/x", true}, "not resumable": {"/sort/x", false}} {
		t.Run(name, func(t *testing.T) {
			runFixture(t, []string{"reader-1", "reader-2"}, func(t *testing.T, f *fixture) {
				f.enableReadAhead(16 << 20)
				crashed := false
				f.setBehaviors(func(u *standin.Runner) standin.Behavior {
					return func(w http.ResponseWriter, r *http.Request, body []byte) bool {
						if crashed {
							return false
						}
						crashed = true
						return truncatedStream(u, 2000)(w, r, body)
					}
				})
				resp := f.open(f.streamRequest(test.path, "1", 2010))
				time.Sleep(3 * time.Second)
				require.Zero(t, f.ownRequests(), "the caller has not caught up")
				body, err := io.ReadAll(resp.Body)
				if test.whole {
					require.NoError(t, err)
					require.Equal(t, eventRange(1, 2010), string(body))
					return
				}
				require.Error(t, err)
				require.True(t, strings.HasPrefix(eventRange(1, 2000), string(body)))
				require.Equal(t, Truncated, f.recorder.lastRecord().Outcome)
			})
		})
	}
}

// Guards against an upstream that counts as silent because a part of its response was left unread for longer than the
// timeout between events.
func TestUpstreamIsNotToBlameForWaiting(t *testing.T) {
	const size = 3000
	runFixture(t, []string{"reader-1", "reader-2"}, func(t *testing.T, f *fixture) {
		f.enableReadAhead(16)
		f.setBehaviors(func(u *standin.Runner) standin.Behavior {
			return func(w http.ResponseWriter, r *http.Request, body []byte) bool {
				id := u.RecordRun(r, body).ID
				hijack(w, func(c net.Conn, _ *bufio.ReadWriter) {
					head := strings.ReplaceAll(signedHead, "ID", id) + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
					chunk := func(n int) string { return fmt.Sprintf("%x\r\n%s\r\n", size, bulkEvent(n, size)) }
					for _, piece := range []string{head, chunk(1), chunk(2) + chunk(3)[:1], chunk(3)[1:] + "0\r\n\r\n"} {
						_, _ = io.WriteString(c, piece)
					}
					_ = c.Close()
				})
				return true
			}
		})
		resp := f.open(f.streamRequest("/digest/x", "1", 3))
		time.Sleep(5 * time.Second)
		body, err := io.ReadAll(resp.Body)
		require.NoError(t, err)
		require.Equal(t, bulkEvent(1, size)+bulkEvent(2, size)+bulkEvent(3, size), string(body))
		require.Equal(t, 1, f.runCount("1"))
	})
}

// Guards against a caller that reads nothing for the write timeout and is not cut off.
func TestWriteTimeoutStays(t *testing.T) {
	runFixture(t, []string{"reader-1"}, func(t *testing.T, f *fixture) {
		budget := f.enableReadAhead(16 << 20)
		f.respondInBulk(100, 5000, 0)
		resp := f.open(f.streamRequest("/sort/x", "1", 100))
		time.Sleep(writeTimeout + time.Second)
		require.Zero(t, budget.Held())
		_, err := io.ReadAll(resp.Body)
		require.Error(t, err)
		require.Equal(t, CallerLeft, f.recorder.lastRecord().Outcome)
	})
}

// A discardingCaller is a caller that reads at once.
type discardingCaller struct{ header http.Header }

// Header returns the header of the response.
func (c *discardingCaller) Header() http.Header { return c.header }

// WriteHeader does nothing.
func (c *discardingCaller) WriteHeader(int) {}

// Write discards p.
func (c *discardingCaller) Write(p []byte) (int, error) { return len(p), nil }

// FlushError does nothing.
func (c *discardingCaller) FlushError() error { return nil }

// SetWriteDeadline does nothing.
func (c *discardingCaller) SetWriteDeadline(time.Time) error { return nil }

// A caller that keeps up must not cost more processor time than without read-ahead: hosts have a fraction of a core.
// Each operation is a stream of 1,000 events that arrive one by one.
func BenchmarkStreamOfCallerThatKeepsUp(b *testing.B) {
	const events = 1000
	for name, budget := range map[string]*readahead.Budget{"off": nil, "on": readahead.NewBudget(16 << 20)} {
		b.Run(name, func(b *testing.B) {
			network := network.New()
			network.Serve("10.1.0.1:80", http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				w.Header().Set(standin.RequestIDHeader, r.Header.Get(standin.RequestIDHeader))
				w.Header().Set(standin.SealHeader, "s")
				w.Header().Set("Content-Type", "text/event-stream")
				for n := range events {
					_, _ = io.WriteString(w, standin.Event(n+1))
					_ = http.NewResponseController(w).Flush()
				}
			}))
			defer network.Kill("10.1.0.1:80")
			client := exchange.NewClient(platform.Protocol{}, network.Dial)
			defer client.Close()
			h := &Handler{acknowledged: acknowledgedBytes, Options: Options{Client: client, Protocol: platform.Protocol{}, ReadAhead: budget, AdmitsByPool: func() bool { return true }}}
			caller := &discardingCaller{header: http.Header{}}
			request, err := http.NewRequestWithContext(b.Context(), http.MethodPost, "http://a.example/sort/x", nil)
			require.NoError(b, err)
			b.ReportAllocs()
			for b.Loop() {
				resp, err := client.Do(b.Context(), exchange.Request{Address: "10.1.0.1:80", ID: "1", Method: http.MethodPost, Target: "/", Host: "a.example", Header: http.Header{standin.RequestIDHeader: {"1"}}})
				require.NoError(b, err)
				j := &job{Handler: h, w: caller, r: request, controller: http.NewResponseController(caller), route: &traffic.Route{Kind: traffic.Streaming}, current: &attempt{watchdog: &watchdog{timer: time.AfterFunc(time.Hour, func() {})}, clearedParts: true}}
				ended := j.relayStream(b.Context(), resp)
				require.Equal(b, answered, ended.verdict)
				require.Equal(b, events, j.splitter.EventCount())
				j.current.watchdog.stop()
				j.stopWriteChecks()
				resp.Close()
			}
		})
	}
}
