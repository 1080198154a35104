package relay

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"jackdawhinge/common/pause"
	"jackdawhinge/common/traffic"
	"jackdawhinge/jackdawd/internal/admission"
	"jackdawhinge/jackdawd/internal/exchange"
	"jackdawhinge/jackdawd/internal/membership"
	"jackdawhinge/jackdawd/internal/placement"
	"jackdawhinge/jackdawd/internal/quarantine"
	"jackdawhinge/jackdawd/internal/resumption"
	"jackdawhinge/platform"
	"jackdawhinge/platform/standin"
	"jackdawhinge/standin/network"
)

const listenAddress = "10.0.0.1:80"

var testCaller = standin.Caller{Address: listenAddress, Host: "a.example", Key: "key-1", Timeout: 10 * time.Second}

// testConfiguration returns the encoded configuration of the tests. The first element of a path is
// the name of its route.
func testConfiguration() []byte {
	route := func(name string, kind traffic.RouteKind, pool string, upstreams int, timeout, target time.Duration) traffic.Route {
		return traffic.Route{
			Name: name, Host: "a.example", Prefix: "/" + name + "/", Kind: kind, Timeout: timeout, FirstByteTarget: target, MaxUpstreams: upstreams,
			Destinations: []traffic.Destination{{Pool: pool, Weight: 1}},
		}
	}
	stream := func(name string, upstreams int, timeout, target time.Duration) traffic.Route {
		r := route(name, traffic.Streaming, "reader", upstreams, timeout, target)
		r.EventIntervalTarget, r.PromptCaching, r.Resumable = 400*time.Millisecond, true, upstreams > 1
		return r
	}
	public := route("open", traffic.Idempotent, "mailbox", 2, 2*time.Second, 150*time.Millisecond)
	public.Public = true
	return standin.EncodeConfiguration(traffic.ConfigurationInput{
		Version: 7,
		Routes: []traffic.Route{
			route("notice", traffic.NonIdempotent, "mailbox", 1, 2*time.Second, 150*time.Millisecond),
			route("order", traffic.NonIdempotent, "mailbox", 2, 2*time.Second, 150*time.Millisecond),
			route("scan", traffic.Idempotent, "mailbox", 2, 2*time.Second, 150*time.Millisecond),
			stream("digest", 2, 15*time.Second, 800*time.Millisecond),
			stream("sort", 1, 12*time.Second, 400*time.Millisecond),
			public,
		},
		Pools: []traffic.Pool{
			{Name: "mailbox", MaxConnections: 100},
			{Name: "reader", MaxConnections: 100, Engine: true, Slots: 8, CacheTokens: 100_000, ColdStart: 3 * time.Second, ColdRate: 4},
		},
		Limits: traffic.Limits{HeaderBytes: 4096, BodyBytes: 100_000, HeaderTimeout: 3 * time.Second, IdleTimeout: 15 * time.Second},
		Keys:   map[string]traffic.Workspace{"key-1": {Name: "mailroom", Urgency: 1}},
	})
}

// A fakeStore serves a configuration and a list of upstreams.
type fakeStore struct {
	mu                sync.Mutex
	configurationSent bool
	upstreams         []traffic.Upstream
	upstreamsSent     atomic.Bool
	unavailable       bool
	// next is a configuration that was not sent yet; nil for none.
	next *traffic.Configuration
}

// setEvacuated makes the store say which failure domains are evacuated, and waits until the host
// knows.
func (f *fakeStore) setEvacuated(position int64, domains ...string) {
	c, err := platform.DecodeConfiguration(testConfiguration())
	if err != nil {
		panic(err)
	}
	e := traffic.Evacuations{Position: traffic.LogPosition{Offset: position}, Domains: map[string]traffic.LogPosition{}}
	for _, domain := range domains {
		e.Domains[domain] = e.Position
	}
	f.mu.Lock()
	f.next = c.WithEvacuations(e)
	f.mu.Unlock()
	time.Sleep(2 * time.Second)
}

// updateUpstreams changes the list of upstreams, and waits until the host knows.
func (f *fakeStore) updateUpstreams(change func(u *traffic.Upstream)) {
	f.mu.Lock()
	for i := range f.upstreams {
		f.upstreams[i].Sequence++
		change(&f.upstreams[i])
	}
	f.mu.Unlock()
	time.Sleep(1600 * time.Millisecond)
}

// setUnavailable makes all further reads of the configuration fail.
func (f *fakeStore) setUnavailable() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.unavailable = true
}

// fakeConfigurations returns the configuration once and then blocks for the wait time, as the store
// does.
type fakeConfigurations struct{ *fakeStore }

func (c fakeConfigurations) Next(ctx context.Context, wait time.Duration) (*traffic.Configuration, time.Duration, error) {
	c.mu.Lock()
	unavailable, sent, next := c.unavailable, c.configurationSent, c.next
	c.next = nil
	c.configurationSent = c.configurationSent || !unavailable
	c.mu.Unlock()
	switch {
	case unavailable:
		return nil, 0, errors.New("store is unavailable")
	case !sent:
		c, err := platform.DecodeConfiguration(testConfiguration())
		return c, 0, err
	case next != nil:
		return next, 0, nil
	}
	pause.For(ctx, wait)
	return nil, 0, ctx.Err()
}

// fakeUpstreams returns the whole list of upstreams each time, and waits between lists.
type fakeUpstreams struct{ *fakeStore }

func (u fakeUpstreams) Next(ctx context.Context, wait time.Duration) (traffic.UpstreamChange, error) {
	if u.upstreamsSent.Swap(true) {
		pause.For(ctx, wait)
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	change := traffic.UpstreamChange{Complete: true}
	for _, upstream := range u.upstreams {
		change.Entries = append(change.Entries, traffic.ListedEntry(upstream))
	}
	return change, nil
}

// A fixture is one host between callers and fake upstreams (runners), connected in memory.
type fixture struct {
	t        *testing.T
	net      *network.Network
	store    *fakeStore
	handler  *Handler
	recorder *fakeRecorder
	leases   *fakeLeases
	probes   *fakeProbes
	streams  *fakeStreams
	runners  map[string]*standin.Runner
	client   *http.Client
}

// fakeLeases grant a number of slots after a wait.
type fakeLeases struct {
	mu   sync.Mutex
	free int
	wait time.Duration
}

// AcquireSlot grants a slot while one is free.
func (l *fakeLeases) AcquireSlot(*traffic.Upstream, int, time.Duration) (release func(), granted bool, err error) {
	time.Sleep(l.wait)
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.free == 0 {
		return nil, false, nil
	}
	l.free--
	return func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		l.free++
	}, true, nil
}

// fakeProbes grant a number of probes.
type fakeProbes struct {
	mu   sync.Mutex
	left int
}

// AcquireProbe grants a probe while any are left.
func (p *fakeProbes) AcquireProbe(quarantine.Fingerprint) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.left == 0 {
		return false
	}
	p.left--
	return true
}

// fakeStreams holds the records of one host.
type fakeStreams struct {
	table *resumption.Table
	// unrecorded is the origin of streams without a record.
	unrecorded resumption.Origin
}

// RecordStream adds a record.
func (s *fakeStreams) RecordStream(pool string, r resumption.Record) {
	s.table.PutOwn(time.Now(), pool, r)
}

// FindStream returns the software in a record.
func (s *fakeStreams) FindStream(_ context.Context, _ string, key resumption.Key) resumption.Origin {
	if software, ok := s.table.Find(time.Now(), key); ok {
		return resumption.Origin{Software: software, Source: resumption.ThisHost}
	}
	return s.unrecorded
}

// A fakeRecorder keeps the records of requests.
type fakeRecorder struct {
	mu      sync.Mutex
	records []*RequestRecord
}

// Record adds a record.
func (r *fakeRecorder) Record(record *RequestRecord) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.records = append(r.records, record)
}

// lastRecord returns the latest record.
func (r *fakeRecorder) lastRecord() *RequestRecord {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.records[len(r.records)-1]
}

// runFixture runs a test in a synctest bubble with the given runners: those of pool mailbox are
// plain services, those of pool reader are engines that generate streams.
func runFixture(t *testing.T, runners []string, test func(t *testing.T, f *fixture)) {
	t.Helper()
	logrus.SetOutput(io.Discard)
	synctest.Test(t, func(t *testing.T) {
		start := time.Now()
		f := &fixture{t: t, net: network.New(), store: &fakeStore{}, runners: map[string]*standin.Runner{}, recorder: &fakeRecorder{}, leases: &fakeLeases{}, probes: &fakeProbes{}, streams: &fakeStreams{table: resumption.NewTable(), unrecorded: resumption.NewOrigin("reader", "", resumption.OnlyVersion)}}
		for i, id := range runners {
			runner := standin.NewRunner(id, 8)
			address := fmt.Sprintf("10.1.0.%d:80", i+1)
			pool, _, _ := strings.Cut(id, "-")
			f.runners[id] = runner
			f.net.Serve(address, runner)
			f.store.upstreams = append(f.store.upstreams, traffic.Upstream{ID: id, Pool: pool, Address: address, Slots: 8, State: traffic.Ready})
		}
		tracker := membership.NewTracker(membership.Options{
			Configurations: fakeConfigurations{f.store}, Upstreams: fakeUpstreams{f.store},
			Uptime: func() time.Duration { return time.Since(start) },
			Bounds: membership.Bounds{MaxRevocationDelay: 5 * time.Second, MaxDrainDelay: 2 * time.Second},
		})
		client, loads := exchange.NewClient(platform.Protocol{}, f.net.Dial), placement.NewLoads()
		engines := func() map[string][]*traffic.Upstream { return tracker.Snapshot().ReadyPools() }
		f.handler = NewHandler(Options{
			Protocol: platform.Protocol{}, Membership: tracker, Client: client, Loads: loads, Balancer: placement.NewBalancer(loads, engines, func() float64 { return 2 }), CacheLocations: placement.NewCacheLocations(), RequestStats: placement.NewRequestStats(),
			RetryBudgets: NewRetryBudgets(0.2, 10*time.Second), Admission: admission.NewController(), Quarantine: quarantine.NewRegistry(), Backoffs: NewBackoffs(), Brittleness: placement.NewBrittleness(), SlotLeases: f.leases, Probes: f.probes, Streams: f.streams, Recorder: f.recorder,
			ColdLimiter:  placement.NewColdLimiter("entry-1", func() []string { return []string{"entry-1"} }, func() placement.ColdTolerance { return placement.ColdTolerance{Overrun: 1.5, Slack: 5} }),
			LoadMultiple: func() float64 { return 2 }, HostCount: func() int { return 100 }, IsUnreached: func(string) bool { return false }, MaxTotalBodyBytes: 1 << 20, InSameRegion: func(domain string) bool { return domain != "far" },
		})
		f.net.Serve(listenAddress, f.handler)
		transport := &http.Transport{DialContext: f.net.Dial, DisableCompression: true}
		f.client = &http.Client{Transport: transport}
		// Deferred, because servers and goroutines that outlive a failed test would hide its
		// failure.
		defer func() {
			transport.CloseIdleConnections()
			tracker.Close()
			client.Close()
			f.net.Kill(listenAddress)
			for _, u := range f.store.upstreams {
				f.net.Kill(u.Address)
			}
		}()
		synctest.Wait()
		test(t, f)
		// An HTTP server keeps a connection open for a while if it has not read the request to the
		// end.
		time.Sleep(time.Second)
	})
}

// A callerResponse is the response that a caller got.
type callerResponse struct {
	status int
	header http.Header
	body   string
	err    error
}

// request returns a request to a route.
func (f *fixture) request(method, path, id, body string) *http.Request {
	req, err := testCaller.Request(f.t.Context(), method, path, id, body)
	require.NoError(f.t, err)
	return req
}

// streamRequest returns a request for a stream of the given number of events.
func (f *fixture) streamRequest(path, id string, events int) *http.Request {
	req, err := testCaller.Stream(f.t.Context(), path, id, "bb", events)
	require.NoError(f.t, err)
	return req
}

// do sends a request to the host and reads the whole response.
func (f *fixture) do(req *http.Request) callerResponse {
	resp, err := f.client.Do(req)
	if err != nil {
		return callerResponse{err: err}
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	return callerResponse{status: resp.StatusCode, header: resp.Header, body: string(body), err: err}
}

// runCount returns how often the runners have executed a request.
func (f *fixture) runCount(id string) int {
	n := 0
	for _, r := range f.runners {
		for _, run := range r.Runs() {
			if run.ID == id {
				n++
			}
		}
	}
	return n
}

// setBehaviors sets the behavior of all runners.
func (f *fixture) setBehaviors(behavior func(r *standin.Runner) standin.Behavior) {
	for _, r := range f.runners {
		r.SetBehavior(behavior(r))
	}
}

// hijack takes over the connection of a request, to write what an HTTP server would not.
func hijack(w http.ResponseWriter, handle func(c net.Conn, buf *bufio.ReadWriter)) {
	c, buf, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(err)
	}
	handle(c, buf)
}

// eventRange returns the encoded events with the numbers from..to.
func eventRange(from, to int) string {
	var b strings.Builder
	for n := from; n <= to; n++ {
		b.WriteString(standin.Event(n))
	}
	return b.String()
}
