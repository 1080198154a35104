package ledger

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"jackdawhinge/common/journal"
	"jackdawhinge/common/peers"
	"jackdawhinge/common/upstream"
	"jackdawhinge/jackdawd/internal/work"
	"jackdawhinge/standin/platform"
)

// slowLog is a log with an append delay, as over a network.
type slowLog struct {
	*platform.Log
	delay time.Duration
}

func (l slowLog) Append(ctx context.Context, stream string, records ...json.RawMessage) (int64, error) {
	time.Sleep(l.delay)
	return l.Log.Append(ctx, stream, records...)
}

// localClaims claims keys on a host that serves every partition itself.
type localClaims struct{ *PartitionManager }

func (l localClaims) End(_ context.Context, args peers.CloseArgs) error {
	return l.PartitionManager.End(args)
}

// pausedClaims claims keys on a host that is paused after each claim.
type pausedClaims struct {
	localClaims
	pause time.Duration
}

func (p pausedClaims) Claim(ctx context.Context, args peers.ClaimArgs) (peers.ClaimReply, error) {
	reply, err := p.localClaims.Claim(ctx, args)
	time.Sleep(p.pause)
	return reply, err
}

// countingService is a service that counts the requests that it executed.
type countingService struct {
	executed atomic.Int64
	duration time.Duration
	err      error
}

func (s *countingService) run(_ context.Context, sink func(upstream.Frame) error) error {
	time.Sleep(s.duration)
	if s.err != nil {
		return s.err
	}
	s.executed.Add(1)
	return sink(upstream.Frame{Finish: upstream.FinishStop, Response: &upstream.ServiceResponse{Status: 200, Body: []byte("entered")}})
}

// testFleet is a fleet of hosts, two at first, with one log and one service.
type testFleet struct {
	log      *platform.Log
	hosts    []*Executor
	managers []*PartitionManager
	countingService
}

func newTestFleet() *testFleet {
	f := &testFleet{log: platform.NewLog()}
	f.addHost(func(c localClaims) Claimer { return c })
	f.addHost(func(c localClaims) Claimer { return c })
	return f
}

func (f *testFleet) addHost(wrap func(localClaims) Claimer) *Executor {
	m := NewPartitionManager(slowLog{f.log, 2 * time.Millisecond})
	e := NewExecutor(wrap(localClaims{m}))
	f.managers = append(f.managers, m)
	f.hosts = append(f.hosts, e)
	return e
}

func (f *testFleet) close() {
	f.log.SetDown(false)
	for _, m := range f.managers {
		m.Close()
	}
	time.Sleep(time.Minute)
}

// send sends a request with a key through a host and returns the response body.
func (f *testFleet) send(e *Executor, key, body string) (string, error) {
	response := ""
	err := e.Execute(context.Background(), Request{ID: "id", Workspace: "club", Key: key, Body: []byte(body)}, f.run, func(frame upstream.Frame) error {
		response = string(frame.Response.Body)
		return nil
	})
	return response, err
}

func refusalOutcome(t *testing.T, err error) work.Outcome {
	t.Helper()
	var refusal *work.Refusal
	require.ErrorAs(t, err, &refusal)
	return refusal.Outcome
}

func withTestFleet(t *testing.T, test func(t *testing.T, f *testFleet)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		f := newTestFleet()
		defer f.close()
		test(t, f)
	})
}

// A caller sends the same request through two hosts at once. One host executes it, the other
// answers that it is in progress. Later both return the stored response.
func TestConcurrentRequestsWithSameKey(t *testing.T) {
	withTestFleet(t, func(t *testing.T, f *testFleet) {
		f.duration = time.Second
		errs := make(chan error, 2)
		for _, host := range f.hosts {
			go func() {
				_, err := f.send(host, "entry-7", "body")
				errs <- err
			}()
		}
		first, second := <-errs, <-errs
		require.True(t, (first == nil) != (second == nil))
		require.Equal(t, work.InProgress, refusalOutcome(t, errors.Join(first, second)))
		time.Sleep(time.Second)
		for _, host := range f.hosts {
			response, err := f.send(host, "entry-7", "body")
			require.NoError(t, err)
			require.Equal(t, "entered", response)
		}
		require.EqualValues(t, 1, f.executed.Load())
	})
}

// A caller repeats a finished request before the outcome's record is in the log. The host that
// recorded the outcome returns the stored response.
func TestImmediateRepeat(t *testing.T) {
	withTestFleet(t, func(t *testing.T, f *testFleet) {
		for range 2 {
			response, err := f.send(f.hosts[0], "entry-7", "body")
			require.NoError(t, err)
			require.Equal(t, "entered", response)
			synctest.Wait()
		}
		require.EqualValues(t, 1, f.executed.Load())
	})
}

// Both hosts that knew of a finished request are replaced. A new host reads the partition from
// its start before it answers, and returns the stored response without a second execution.
func TestReplacedHostReturnsStoredResponse(t *testing.T) {
	withTestFleet(t, func(t *testing.T, f *testFleet) {
		_, err := f.send(f.hosts[0], "entry-7", "body")
		require.NoError(t, err)
		time.Sleep(time.Second)
		for _, m := range f.managers {
			m.Close()
		}
		response, err := f.send(f.addHost(func(c localClaims) Claimer { return c }), "entry-7", "body")
		require.NoError(t, err)
		require.Equal(t, "entered", response)
		require.EqualValues(t, 1, f.executed.Load())
	})
}

// A key is reused with another body. Every host refuses it.
func TestKeyReusedForAnotherBody(t *testing.T) {
	withTestFleet(t, func(t *testing.T, f *testFleet) {
		_, err := f.send(f.hosts[0], "entry-7", "body")
		require.NoError(t, err)
		time.Sleep(time.Second)
		_, err = f.send(f.hosts[1], "entry-7", "another")
		var refusal *work.Refusal
		require.ErrorAs(t, err, &refusal)
		require.Equal(t, work.KeyReused, refusal.Code)
	})
}

// The claim is appended but the append's response is lost. The claim is read back and the
// request executed once; the retried append has no effect.
func TestLostAppendResponse(t *testing.T) {
	withTestFleet(t, func(t *testing.T, f *testFleet) {
		f.log.LoseResponses(1)
		_, err := f.send(f.hosts[0], "entry-7", "body")
		require.NoError(t, err)
		time.Sleep(5 * time.Second)
		_, err = f.send(f.hosts[1], "entry-7", "body")
		require.NoError(t, err)
		require.EqualValues(t, 1, f.executed.Load())
	})
}

// Appending the claim takes ten seconds, and the caller is told "not-run" before that. The claim
// is appended late, followed by its void, so the key is free and a retry is executed.
func TestSlowLog(t *testing.T) {
	withTestFleet(t, func(t *testing.T, f *testFleet) {
		slow := NewPartitionManager(slowLog{f.log, 10 * time.Second})
		f.managers = append(f.managers, slow)
		_, err := f.send(NewExecutor(localClaims{slow}), "entry-7", "body")
		require.Equal(t, work.NotRun, refusalOutcome(t, err))
		time.Sleep(time.Minute)
		_, err = f.send(f.hosts[1], "entry-7", "body")
		require.NoError(t, err)
		require.EqualValues(t, 1, f.executed.Load())
	})
}

// While the log is unavailable, the caller is told "not-run" immediately. The request is not
// executed when the log recovers; a retry after that is.
func TestLogUnavailable(t *testing.T) {
	withTestFleet(t, func(t *testing.T, f *testFleet) {
		_, err := f.send(f.hosts[0], "entry-6", "body")
		require.NoError(t, err)
		f.log.SetDown(true)
		time.Sleep(time.Minute)
		start := time.Now()
		_, err = f.send(f.hosts[0], "entry-7", "body")
		require.Equal(t, work.NotRun, refusalOutcome(t, err))
		require.Zero(t, time.Since(start))
		f.log.SetDown(false)
		time.Sleep(time.Minute)
		require.EqualValues(t, 1, f.executed.Load())
		_, err = f.send(f.hosts[0], "entry-7", "body")
		require.NoError(t, err)
		require.EqualValues(t, 2, f.executed.Load())
	})
}

// A host is paused for minutes after its claim was granted. When it resumes, its deadline has
// passed on its own clock: it voids the claim and answers "not-run". The key is free and another
// host executes the request.
func TestPausedHostVoidsClaim(t *testing.T) {
	withTestFleet(t, func(t *testing.T, f *testFleet) {
		paused := f.addHost(func(c localClaims) Claimer { return pausedClaims{c, 10 * time.Minute} })
		_, err := f.send(paused, "entry-7", "body")
		require.Equal(t, work.NotRun, refusalOutcome(t, err))
		require.Zero(t, f.executed.Load())
		time.Sleep(time.Second)
		_, err = f.send(f.hosts[1], "entry-7", "body")
		require.NoError(t, err)
		require.EqualValues(t, 1, f.executed.Load())
	})
}

// A host crashes after its claim, before or during the execution, so whether the request was
// executed is unknown. Duplicates are answered "in-progress", then "unknown", and the request is
// never executed again.
func TestHostCrashesAfterClaim(t *testing.T) {
	withTestFleet(t, func(t *testing.T, f *testFleet) {
		args := peers.ClaimArgs{Claim: "of-the-dead-host", Key: hash("club", "entry-7"), Body: hash("body")}
		reply, err := f.managers[0].Claim(t.Context(), args)
		require.NoError(t, err)
		require.Equal(t, peers.Granted, reply.State)
		_, err = f.send(f.hosts[1], "entry-7", "body")
		require.Equal(t, work.InProgress, refusalOutcome(t, err))
		time.Sleep(runningTimeout + time.Second)
		_, err = f.send(f.hosts[1], "entry-7", "body")
		require.Equal(t, work.Unknown, refusalOutcome(t, err))
		require.Zero(t, f.executed.Load())
	})
}

// The service refuses a request before it executes it. The caller is told "not-run", and the key
// is free for a retry.
func TestRetryAfterRefusal(t *testing.T) {
	withTestFleet(t, func(t *testing.T, f *testFleet) {
		f.err = work.NewRefusal(503, work.NoUpstream, "down")
		_, err := f.send(f.hosts[0], "entry-7", "body")
		require.Equal(t, work.NotRun, refusalOutcome(t, err))
		f.err = nil
		time.Sleep(time.Second)
		_, err = f.send(f.hosts[1], "entry-7", "body")
		require.NoError(t, err)
	})
}

// The connection to the service breaks after the request was sent. The caller is told "unknown",
// and so is every duplicate.
func TestUncertainOutcomeIsFinal(t *testing.T) {
	withTestFleet(t, func(t *testing.T, f *testFleet) {
		f.err = work.NewUncertainRefusal(work.UpstreamFailed, "broke off")
		_, err := f.send(f.hosts[0], "entry-7", "body")
		require.Equal(t, work.Unknown, refusalOutcome(t, err))
		f.err = nil
		time.Sleep(time.Second)
		_, err = f.send(f.hosts[1], "entry-7", "body")
		require.Equal(t, work.Unknown, refusalOutcome(t, err))
		require.Zero(t, f.executed.Load())
	})
}

// A host owns one partition and has served another one once. After an idle hour it still follows
// the owned one, which it would otherwise read again from the start, and has closed the other.
func TestOwnedPartitionIsKept(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := NewPartitionManager(platform.NewLog())
		m.FollowOwned(func(n uint64) bool { return n == 1 })
		_, opened := m.open(2)
		require.True(t, opened)
		owned := m.partitions[1]
		time.Sleep(time.Hour)
		m.open(3)
		require.Same(t, owned, m.partitions[1])
		require.NotContains(t, m.partitions, uint64(2))
		m.Close()
		time.Sleep(time.Minute)
	})
}

// A hundred claims arrive within a second. They share appends: the partition gets a burst of
// appends and then 1.25 appends per second.
func TestConcurrentClaimsAreBatched(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := platform.NewLog()
		p := NewPartition(slowLog{log, 2 * time.Millisecond}, testStream)
		time.Sleep(time.Second)
		for i := range 100 {
			go func() {
				_, err := p.Claim(t.Context(), peers.ClaimArgs{Claim: fmt.Sprint(i), Key: fmt.Sprint(i), Body: "body"})
				if err != nil {
					t.Error(err)
				}
			}()
			time.Sleep(10 * time.Millisecond)
		}
		time.Sleep(time.Second)
		require.LessOrEqual(t, log.Appends(), int64(appendBurst+4), "appends are limited to a burst and one per 0.8 s over 2.5 s")
		p.Close()
		time.Sleep(time.Minute)
	})
}

// BenchmarkClaims reports the cost of one partition's claims: bytes per claim in the log, and
// the time and memory to read them.
func BenchmarkClaims(b *testing.B) {
	for _, n := range []int{1000, 8000, 32000} {
		b.Run(fmt.Sprintf("claims=%d", n), func(b *testing.B) {
			var records []journal.Record
			logBytes := 0
			for i := range n {
				key := hash(fmt.Sprint(i))
				claim := newClaimID()
				for _, r := range []Record{
					{Kind: ClaimRecord, Claim: claim, Key: key, Body: key, Seen: int64(len(records))},
					{Kind: OutcomeRecord, Claim: claim, Key: key, Body: key, State: peers.Finished},
				} {
					data, err := r.Encode()
					require.NoError(b, err)
					logBytes += len(data)
					records = append(records, journal.Record{Offset: int64(len(records)), Data: data})
				}
			}
			b.ReportAllocs()
			for b.Loop() {
				index := NewClaimIndex()
				for _, r := range records {
					if err := index.Add(time.Time{}, r); err != nil {
						b.Fatal(err)
					}
				}
			}
			b.ReportMetric(float64(logBytes)/float64(n), "log-B/claim")
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/float64(n), "ns/claim")
		})
	}
}
