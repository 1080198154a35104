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

// slowLog is the log with an append delay, as over a network.
type slowLog struct {
	*platform.Log
	delay time.Duration
}

func (l slowLog) Append(ctx context.Context, stream string, records ...json.RawMessage) (int64, error) {
	time.Sleep(l.delay)
	return l.Log.Append(ctx, stream, records...)
}

// localClaims is a host that serves every partition itself.
type localClaims struct{ *Keeper }

func (l localClaims) End(_ context.Context, args peers.CloseArgs) error { return l.Keeper.End(args) }

// pausedClaims is a host that is paused between its claim and what follows.
type pausedClaims struct {
	localClaims
	pause time.Duration
}

func (p pausedClaims) Claim(ctx context.Context, args peers.ClaimArgs) (peers.ClaimReply, error) {
	reply, err := p.localClaims.Claim(ctx, args)
	time.Sleep(p.pause)
	return reply, err
}

// office is a service that counts what it executed.
type office struct {
	executed atomic.Int64
	takes    time.Duration
	err      error
}

func (o *office) run(_ context.Context, sink func(upstream.Frame) error) error {
	time.Sleep(o.takes)
	if o.err != nil {
		return o.err
	}
	o.executed.Add(1)
	return sink(upstream.Frame{Finish: upstream.FinishStop, Answer: &upstream.Answer{Status: 200, Body: []byte("entered")}})
}

// registry is two hosts on one log before one service.
type registry struct {
	log   *platform.Log
	hosts []*Executor
	keep  []*Keeper
	office
}

func newRegistry() *registry {
	r := &registry{log: platform.NewLog()}
	r.addHost(func(c localClaims) Claims { return c })
	r.addHost(func(c localClaims) Claims { return c })
	return r
}

func (r *registry) addHost(wrap func(localClaims) Claims) *Executor {
	k := NewKeeper(slowLog{r.log, 2 * time.Millisecond})
	e := NewExecutor(wrap(localClaims{k}))
	r.keep = append(r.keep, k)
	r.hosts = append(r.hosts, e)
	return e
}

func (r *registry) close() {
	r.log.SetDown(false)
	for _, k := range r.keep {
		k.Close()
	}
	time.Sleep(time.Minute)
}

// post sends the request with the key through a host and returns its answer.
func (r *registry) post(e *Executor, key, body string) (string, error) {
	answer := ""
	err := e.Execute(context.Background(), Request{ID: "id", Workspace: "club", Key: key, Body: []byte(body)}, r.run, func(f upstream.Frame) error {
		answer = string(f.Answer.Body)
		return nil
	})
	return answer, err
}

func outcomeOf(t *testing.T, err error) work.Outcome {
	t.Helper()
	var refusal *work.Refusal
	require.ErrorAs(t, err, &refusal)
	return refusal.Outcome
}

func with(t *testing.T, test func(t *testing.T, r *registry)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		r := newRegistry()
		defer r.close()
		test(t, r)
	})
}

// The caller sends one entry through two hosts at the same moment. One executes
// it; the other's caller sees that it is in progress, and later the same answer.
func TestSameKeyThroughTwoHosts(t *testing.T) {
	with(t, func(t *testing.T, r *registry) {
		r.takes = time.Second
		errs := make(chan error, 2)
		for _, host := range r.hosts {
			go func() {
				_, err := r.post(host, "entry-7", "body")
				errs <- err
			}()
		}
		first, second := <-errs, <-errs
		require.True(t, (first == nil) != (second == nil))
		require.Equal(t, work.InProgress, outcomeOf(t, errors.Join(first, second)))
		time.Sleep(time.Second)
		for _, host := range r.hosts {
			answer, err := r.post(host, "entry-7", "body")
			require.NoError(t, err)
			require.Equal(t, "entered", answer)
		}
		require.EqualValues(t, 1, r.executed.Load())
	})
}

// The caller repeats a finished request at once. The partition's owner knows the
// outcome before its record is in the log, and answers the same.
func TestRepeatAtOnce(t *testing.T) {
	with(t, func(t *testing.T, r *registry) {
		for range 2 {
			answer, err := r.post(r.hosts[0], "entry-7", "body")
			require.NoError(t, err)
			require.Equal(t, "entered", answer)
			synctest.Wait()
		}
		require.EqualValues(t, 1, r.executed.Load())
	})
}

// Both hosts that knew of a finished request are replaced. A new one reads the
// partition from its beginning before it answers: the same answer, and no second run.
func TestHostsReplaced(t *testing.T) {
	with(t, func(t *testing.T, r *registry) {
		_, err := r.post(r.hosts[0], "entry-7", "body")
		require.NoError(t, err)
		time.Sleep(time.Second)
		for _, k := range r.keep {
			k.Close()
		}
		answer, err := r.post(r.addHost(func(c localClaims) Claims { return c }), "entry-7", "body")
		require.NoError(t, err)
		require.Equal(t, "entered", answer)
		require.EqualValues(t, 1, r.executed.Load())
	})
}

// A key comes again with another body. It is refused, whoever is asked.
func TestKeyReusedForAnotherBody(t *testing.T) {
	with(t, func(t *testing.T, r *registry) {
		_, err := r.post(r.hosts[0], "entry-7", "body")
		require.NoError(t, err)
		time.Sleep(time.Second)
		_, err = r.post(r.hosts[1], "entry-7", "another")
		var refusal *work.Refusal
		require.ErrorAs(t, err, &refusal)
		require.Equal(t, work.KeyReused, refusal.Code)
	})
}

// The append of the claim takes effect, its answer is lost. The claim is read back
// all the same and the entry executed once; the repeated append counts for nothing.
func TestLostAppendAnswer(t *testing.T) {
	with(t, func(t *testing.T, r *registry) {
		r.log.LoseAnswers(1)
		_, err := r.post(r.hosts[0], "entry-7", "body")
		require.NoError(t, err)
		time.Sleep(5 * time.Second)
		_, err = r.post(r.hosts[1], "entry-7", "body")
		require.NoError(t, err)
		require.EqualValues(t, 1, r.executed.Load())
	})
}

// The log is slow: the claim's append takes ten seconds. The caller is told "not-run"
// before; the claim lands late, followed by its void, so that the key is free again
// and a repeat, once the log is quick, is executed.
func TestLogSlow(t *testing.T) {
	with(t, func(t *testing.T, r *registry) {
		slow := NewKeeper(slowLog{r.log, 10 * time.Second})
		r.keep = append(r.keep, slow)
		_, err := r.post(NewExecutor(localClaims{slow}), "entry-7", "body")
		require.Equal(t, work.NotRun, outcomeOf(t, err))
		time.Sleep(time.Minute)
		_, err = r.post(r.hosts[1], "entry-7", "body")
		require.NoError(t, err)
		require.EqualValues(t, 1, r.executed.Load())
	})
}

// The log is down. The caller is told "not-run" at once, and nothing is executed,
// then or when the log is back; a repeat then is.
func TestLogDown(t *testing.T) {
	with(t, func(t *testing.T, r *registry) {
		_, err := r.post(r.hosts[0], "entry-6", "body")
		require.NoError(t, err)
		r.log.SetDown(true)
		time.Sleep(time.Minute)
		begin := time.Now()
		_, err = r.post(r.hosts[0], "entry-7", "body")
		require.Equal(t, work.NotRun, outcomeOf(t, err))
		require.Zero(t, time.Since(begin))
		r.log.SetDown(false)
		time.Sleep(time.Minute)
		require.EqualValues(t, 1, r.executed.Load())
		_, err = r.post(r.hosts[0], "entry-7", "body")
		require.NoError(t, err)
		require.EqualValues(t, 2, r.executed.Load())
	})
}

// A host is paused for minutes after its claim was granted, and wakes. It finds
// its deadline passed on its own clock, gives the claim up and says "not-run";
// then the key is free and another host executes the entry.
func TestPausedHostGivesUp(t *testing.T) {
	with(t, func(t *testing.T, r *registry) {
		paused := r.addHost(func(c localClaims) Claims { return pausedClaims{c, 10 * time.Minute} })
		_, err := r.post(paused, "entry-7", "body")
		require.Equal(t, work.NotRun, outcomeOf(t, err))
		require.Zero(t, r.executed.Load())
		time.Sleep(time.Second)
		_, err = r.post(r.hosts[1], "entry-7", "body")
		require.NoError(t, err)
		require.EqualValues(t, 1, r.executed.Load())
	})
}

// A host dies after its claim, before or during the execution. Nobody knows
// whether the entry was made: repeats see it in progress, then unknown, and it is
// never run again.
func TestHostDiesAfterClaim(t *testing.T) {
	with(t, func(t *testing.T, r *registry) {
		args := peers.ClaimArgs{Claim: "of-the-dead-host", Key: hash("club", "entry-7"), Body: hash("body")}
		reply, err := r.keep[0].Claim(t.Context(), args)
		require.NoError(t, err)
		require.Equal(t, peers.Granted, reply.State)
		_, err = r.post(r.hosts[1], "entry-7", "body")
		require.Equal(t, work.InProgress, outcomeOf(t, err))
		time.Sleep(runningFor + time.Second)
		_, err = r.post(r.hosts[1], "entry-7", "body")
		require.Equal(t, work.Unknown, outcomeOf(t, err))
		require.Zero(t, r.executed.Load())
	})
}

// The service refuses before it runs anything. The caller sees "not-run", and the
// key is free for a repeat.
func TestRefusedThenRepeated(t *testing.T) {
	with(t, func(t *testing.T, r *registry) {
		r.err = work.Refuse(503, work.NoUpstream, "down")
		_, err := r.post(r.hosts[0], "entry-7", "body")
		require.Equal(t, work.NotRun, outcomeOf(t, err))
		r.err = nil
		time.Sleep(time.Second)
		_, err = r.post(r.hosts[1], "entry-7", "body")
		require.NoError(t, err)
	})
}

// The connection to the service breaks after the request was sent. The caller
// sees "unknown", and so does every repeat.
func TestUnknownStaysUnknown(t *testing.T) {
	with(t, func(t *testing.T, r *registry) {
		r.err = work.Uncertain(work.UpstreamFailed, "broke off")
		_, err := r.post(r.hosts[0], "entry-7", "body")
		require.Equal(t, work.Unknown, outcomeOf(t, err))
		r.err = nil
		time.Sleep(time.Second)
		_, err = r.post(r.hosts[1], "entry-7", "body")
		require.Equal(t, work.Unknown, outcomeOf(t, err))
		require.Zero(t, r.executed.Load())
	})
}

// A host owns one partition and was asked once for another. After a quiet hour it
// still follows the first, which it would else read again from the beginning, and
// has let go of the second.
func TestOwnedPartitionIsKept(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		k := NewKeeper(platform.NewLog())
		k.Warm(func(n uint64) bool { return n == 1 })
		_, asked := k.open(2)
		require.True(t, asked)
		owned := k.parts[1]
		time.Sleep(time.Hour)
		k.open(3)
		require.Same(t, owned, k.parts[1])
		require.NotContains(t, k.parts, uint64(2))
		k.Close()
		time.Sleep(time.Minute)
	})
}

// A hundred claims come within a moment. They share appends: the rate of appends
// is a burst and then 1.25 a second for the partition.
func TestClaimsShareAppends(t *testing.T) {
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
		require.LessOrEqual(t, log.Appends(), int64(appendBurst+4), "a burst, and one each 0.8 s of two seconds and a half")
		p.Close()
		time.Sleep(time.Minute)
	})
}

// BenchmarkClaims reports what the claims of one partition cost: bytes a claim in
// the log, and time and memory to replay them.
func BenchmarkClaims(b *testing.B) {
	for _, n := range []int{1000, 8000, 32000} {
		b.Run(fmt.Sprintf("claims=%d", n), func(b *testing.B) {
			var records []journal.Record
			bytes := 0
			for i := range n {
				key := hash(fmt.Sprint(i))
				claim := newClaim()
				for _, r := range []Record{
					{Kind: ClaimRecord, Claim: claim, Key: key, Body: key, Seen: int64(len(records))},
					{Kind: OutcomeRecord, Claim: claim, Key: key, Body: key, State: peers.Finished},
				} {
					data, err := r.Encode()
					require.NoError(b, err)
					bytes += len(data)
					records = append(records, journal.Record{Offset: int64(len(records)), Data: data})
				}
			}
			b.ReportAllocs()
			for b.Loop() {
				f := NewFold()
				for _, r := range records {
					if err := f.Add(time.Time{}, r); err != nil {
						b.Fatal(err)
					}
				}
			}
			b.ReportMetric(float64(bytes)/float64(n), "log-B/claim")
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/float64(n), "ns/claim")
		})
	}
}
