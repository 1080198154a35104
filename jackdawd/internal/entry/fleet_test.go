package entry

import (
	"context"
	"errors"
	"fmt"
	"io"
	"maps"
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
	"jackdawhinge/jackdawd/internal/membership"
	"jackdawhinge/jackdawd/internal/placement"
	"jackdawhinge/jackdawd/internal/telemetry"
	"jackdawhinge/platform"
	"jackdawhinge/platform/standin"
	"jackdawhinge/standin/network"
)

const (
	// testTCPTimeout is how long the kernel of a test's hosts retransmits before a connection ends.
	testTCPTimeout = 4 * time.Second
	// storeLatency is how long a call to the store takes.
	storeLatency = 4 * time.Millisecond
	// stable is how long a fault may last until it must have no effect any more.
	stable = 3 * time.Second
)

// fleetStore is a store that all hosts of a test reach.
type fleetStore struct {
	mu            sync.Mutex
	registrations map[string][]byte
	offset        int64
	upstreams     []traffic.Upstream
	configuration []byte
	// softwareHistories holds the stored history of each pool.
	softwareHistories map[string][]byte
}

// hostStore is the store as one host reads it.
type hostStore struct {
	*fleetStore
	readConfiguration bool
	// unavailable is set while this host cannot reach the store.
	unavailable atomic.Bool
	// putDelay is how much longer writes of registrations take, whatever their context says.
	putDelay atomic.Int64
}

// Put stores the registration of a host.
func (s *hostStore) Put(ctx context.Context, host string, registration []byte) error {
	pause.For(ctx, storeLatency)
	time.Sleep(time.Duration(s.putDelay.Load()))
	s.mu.Lock()
	defer s.mu.Unlock()
	s.registrations[host] = registration
	s.offset++
	return nil
}

// Next returns all registrations.
func (s *hostStore) Next(ctx context.Context) (map[string][]byte, bool, traffic.LogPosition, error) {
	pause.For(ctx, storeLatency)
	s.mu.Lock()
	defer s.mu.Unlock()
	existing := map[string][]byte{}
	for name, registration := range s.registrations {
		if registration != nil {
			existing[name] = registration
		}
	}
	return existing, true, traffic.LogPosition{Offset: s.offset}, nil
}

// copyRegistrations returns a copy of the registrations, setRegistrations replaces them.
func (s *fleetStore) copyRegistrations() map[string][]byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.registrations)
}

func (s *fleetStore) setRegistrations(registrations map[string][]byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.registrations = registrations
}

// setConfiguration stores a configuration, which hosts read when they start.
func (s *fleetStore) setConfiguration(document []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.configuration = document
}

// histories returns the store's histories of software versions.
func (s *fleetStore) histories() *storeHistories { return &storeHistories{s} }

type storeHistories struct{ *fleetStore }

// Put stores a history.
func (s *storeHistories) Put(ctx context.Context, pool string, history []byte) error {
	pause.For(ctx, storeLatency)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.softwareHistories[pool] = history
	return nil
}

// All returns the histories.
func (s *storeHistories) All(ctx context.Context) (map[string][]byte, error) {
	pause.For(ctx, storeLatency)
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.softwareHistories), nil
}

var errStoreUnavailable = errors.New("the store is unavailable")

type hostConfigurations struct{ *hostStore }

// Next returns the configuration once, and then waits.
func (s hostConfigurations) Next(ctx context.Context, wait time.Duration) (*traffic.Configuration, error) {
	pause.For(ctx, storeLatency)
	if s.unavailable.Load() {
		return nil, errStoreUnavailable
	}
	if s.readConfiguration {
		pause.For(ctx, wait)
		return nil, ctx.Err()
	}
	s.readConfiguration = true
	s.mu.Lock()
	defer s.mu.Unlock()
	return platform.DecodeConfiguration(s.configuration)
}

// RecentEnds returns nothing, as no failure domain is evacuated.
func (hostConfigurations) RecentEnds(context.Context) (map[string]traffic.LogPosition, error) {
	return nil, nil
}

type hostUpstreams struct{ *hostStore }

// Next returns the list of upstreams.
func (s hostUpstreams) Next(ctx context.Context) (traffic.UpstreamChange, error) {
	pause.For(ctx, storeLatency)
	if s.unavailable.Load() {
		return traffic.UpstreamChange{}, errStoreUnavailable
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	change := traffic.UpstreamChange{Complete: true}
	for _, u := range s.upstreams {
		change.Entries = append(change.Entries, traffic.ListedEntry(u))
	}
	return change, nil
}

// noNotices is a store without quarantine notices.
type noNotices struct{}

var errNoNotices = errors.New("notices are not stored in this test")

// Put fails.
func (noNotices) Put(context.Context, string, []byte) (traffic.LogPosition, error) {
	return traffic.LogPosition{}, errNoNotices
}

// PutAtEnd fails.
func (noNotices) PutAtEnd(context.Context, string, []byte, traffic.LogPosition) (traffic.LogPosition, error) {
	return traffic.LogPosition{}, errNoNotices
}

// Next waits and returns nothing.
func (noNotices) Next(ctx context.Context, wait time.Duration) (map[string]traffic.StoredRecord, bool, traffic.LogPosition, error) {
	pause.For(ctx, wait)
	return nil, true, traffic.LogPosition{}, ctx.Err()
}

// testFleet is a fleet of whole hosts before fake upstreams, connected in memory.
type testFleet struct {
	t       *testing.T
	net     *network.Network
	store   *fleetStore
	runners map[string]*standin.Runner
	hosts   []*testHost
	start   time.Time
}

// testHost is one host of a test.
type testHost struct {
	*Host
	name, callerAddress, peerAddress string
	client                           *http.Client
	store                            *hostStore
	processor                        simulatedProcessor
	// isDown is set if callers no longer reach the host.
	isDown bool
}

// fleetConfiguration returns a version of the encoded configuration.
func fleetConfiguration(version int64) []byte {
	route := func(name string, kind traffic.RouteKind, pool string, upstreams int, target time.Duration) traffic.Route {
		return traffic.Route{
			Name: name, Host: "a.example", Prefix: "/" + name + "/", Kind: kind, Timeout: 4 * time.Second, FirstByteTarget: target, MaxUpstreams: upstreams,
			Destinations: []traffic.Destination{{Pool: pool, Weight: 1}},
		}
	}
	stream := route("digest", traffic.Streaming, "reader", 2, 800*time.Millisecond)
	stream.EventIntervalTarget, stream.PromptCaching, stream.Resumable = 400*time.Millisecond, true, true
	slow := route("slow", traffic.NonIdempotent, "mailbox", 1, 300*time.Millisecond)
	slow.Timeout = time.Minute
	return standin.EncodeConfiguration(traffic.ConfigurationInput{
		Version: version,
		Routes: []traffic.Route{
			route("notice", traffic.NonIdempotent, "mailbox", 1, 300*time.Millisecond),
			route("scan", traffic.Idempotent, "mailbox", 2, 300*time.Millisecond),
			stream, slow,
		},
		Pools: []traffic.Pool{
			{Name: "mailbox", MaxConnections: 400},
			{Name: "reader", MaxConnections: 400, Engine: true, Slots: 64, CacheTokens: 500_000},
		},
		Limits: traffic.Limits{HeaderBytes: 4096, BodyBytes: 100_000, HeaderTimeout: 3 * time.Second, IdleTimeout: 15 * time.Second},
		Keys:   map[string]traffic.Workspace{"key-1": {Name: "mailroom", Urgency: 1}},
	})
}

// runFleet runs a test with hosts, half in each of two failure domains, three services and four
// engines.
func runFleet(t *testing.T, hosts int, test func(t *testing.T, f *testFleet)) {
	t.Helper()
	logrus.SetOutput(io.Discard)
	synctest.Test(t, func(t *testing.T) {
		f := &testFleet{t: t, net: network.New(), store: &fleetStore{registrations: map[string][]byte{}, softwareHistories: map[string][]byte{}, configuration: fleetConfiguration(7)}, runners: map[string]*standin.Runner{}, start: time.Now()}
		for i, id := range []string{"mailbox-1", "mailbox-2", "mailbox-3", "reader-1", "reader-2", "reader-3", "reader-4"} {
			runner, address := standin.NewRunner(id, 64), fmt.Sprintf("10.1.0.%d:80", i+1)
			pool, _, _ := strings.Cut(id, "-")
			f.runners[id] = runner
			f.net.Serve(address, runner)
			f.store.upstreams = append(f.store.upstreams, traffic.Upstream{ID: id, Pool: pool, Address: address, FailureDomain: "domain-1", SoftwareVersion: standin.DefaultVersion, Slots: 64, State: traffic.Ready})
		}
		for i := range hosts {
			f.hosts = append(f.hosts, f.newHost(i, true))
		}
		defer f.stop()
		// Hosts register, read the host list, and follow each other.
		time.Sleep(4 * time.Second)
		test(t, f)
	})
}

// newHost starts a host; firstStart is set if the whole system starts for the first time.
func (f *testFleet) newHost(i int, firstStart bool) *testHost {
	h := &testHost{name: fmt.Sprintf("entry-%d", i), callerAddress: fmt.Sprintf("10.0.0.%d:80", i+1), peerAddress: fmt.Sprintf("10.0.0.%d:7341", i+1)}
	store := &hostStore{fleetStore: f.store}
	h.store = store
	host, err := NewHost(Options{
		Name: h.name, FailureDomain: fmt.Sprintf("domain-%d", i%2), InSameRegion: func(string) bool { return true }, Protocol: platform.Protocol{},
		Configurations: hostConfigurations{store}, Upstreams: hostUpstreams{store}, PeerAddress: h.peerAddress, Strength: 1, FirstStart: firstStart,
		HostRegistry: store, QuarantineStore: noNotices{}, HistoryStore: store.histories(), DecodeConfiguration: platform.DecodeConfiguration,
		Bounds: Bounds{
			Bounds:     membership.Bounds{MaxRevocationDelay: 5 * time.Second, MaxConfigurationAge: 2 * time.Second, MaxDrainDelay: 2 * time.Second, EntryTTL: 3600 * time.Millisecond},
			RetryRatio: 0.2, RetryWindow: 10 * time.Second, LoadMultiple: 2, ColdTolerance: placement.ColdTolerance{Overrun: 1}, GracePeriod: 8 * time.Second,
		},
		MaxTotalBodyBytes: 1 << 20, MaxSockets: 3900, Meter: telemetry.NewMeter(), RoutineLogger: logrus.StandardLogger(), AnomalyLogger: logrus.StandardLogger(),
		Dial: f.dialFrom(h.peerAddress), Listen: func(address string) (net.Listener, error) { return f.net.Listen(address), nil },
		Uptime: func() time.Duration { return time.Since(f.start) }, SchedulingDelay: h.processor.schedulingDelay,
	})
	require.NoError(f.t, err)
	h.Host = host
	listener := f.net.Listen(h.callerAddress)
	go func() { _ = host.callerServer.Serve(host.conns.listen(listener)) }()
	h.client = &http.Client{Transport: &http.Transport{DialContext: f.net.Dial, DisableCompression: true}}
	return h
}

// dialFrom returns the dial function of a host.
func (f *testFleet) dialFrom(address string) func(ctx context.Context, network, to string) (net.Conn, error) {
	dial := f.net.DialFrom(address)
	return func(ctx context.Context, network, to string) (net.Conn, error) {
		ctx, cancel := context.WithTimeout(ctx, testTCPTimeout)
		defer cancel()
		return dial(ctx, network, to)
	}
}

// stop stops all hosts and upstreams.
func (f *testFleet) stop() {
	for _, h := range f.hosts {
		h.client.CloseIdleConnections()
		f.net.Kill(h.callerAddress)
		f.net.Kill(h.peerAddress)
		// The servers of a test's hosts were never started.
		_ = h.close(time.Now().Add(time.Second))
	}
	for _, u := range f.store.upstreams {
		f.net.Kill(u.Address)
	}
	time.Sleep(5 * time.Second)
}

// cut cuts the routes from a host to the upstreams of a pool, or of all pools if it is empty.
func (f *testFleet) cut(h *testHost, pool string, how network.Cut) {
	for _, u := range f.store.upstreams {
		if pool == "" || u.Pool == pool {
			f.net.CutRoute(h.peerAddress, u.Address, how)
		}
	}
}

// callCounts counts the first attempts of callers and those that were served.
type callCounts struct {
	mu           sync.Mutex
	sent, served int
	failures     map[string]int
}

func (c *callCounts) add(failure string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sent++
	if failure == "" {
		c.served++
		return
	}
	c.failures[failure]++
}

// call sends a request to a host and returns why it was not served; empty if it was.
func (f *testFleet) call(ctx context.Context, h *testHost, route, id string) string {
	caller := standin.Caller{Address: h.callerAddress, Host: "a.example", Key: "key-1", Timeout: 4 * time.Second}
	req, err := caller.Request(ctx, http.MethodPost, "/"+route+"/"+id, id, "body")
	if route == "digest" {
		req, err = caller.Stream(ctx, "/digest/x", id, "bb", 5)
	}
	require.NoError(f.t, err)
	resp, err := h.client.Do(req)
	if err != nil {
		return "no response"
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	if err != nil || resp.StatusCode != http.StatusOK {
		return fmt.Sprintf("%s %d %s", route, resp.StatusCode, body)
	}
	return ""
}

// callAll sends each host a request of each route each interval, for a time, and returns the counts
// by host.
func (f *testFleet) callAll(d, interval time.Duration) map[string]*callCounts {
	counts, calls := map[string]*callCounts{}, sync.WaitGroup{}
	for _, h := range f.hosts {
		counts[h.name] = &callCounts{failures: map[string]int{}}
	}
	ctx, cancel := context.WithTimeout(f.t.Context(), d+5*time.Second)
	defer cancel()
	for start := time.Now(); time.Since(start) < d; time.Sleep(interval) {
		for _, h := range f.hosts {
			for _, route := range []string{"scan", "notice", "digest"} {
				id := fmt.Sprintf("%s-%s-%d", route, h.name, time.Since(f.start).Milliseconds())
				calls.Go(func() { counts[h.name].add(f.call(ctx, h, route, id)) })
			}
		}
	}
	calls.Wait()
	return counts
}

// requireRunOnce fails if a request that is not idempotent ran more than once.
func (f *testFleet) requireRunOnce() {
	runs := map[string]int{}
	for _, r := range f.runners {
		for _, run := range r.Runs() {
			runs[run.ID]++
		}
	}
	for id, n := range runs {
		if strings.HasPrefix(id, "notice-") {
			require.Equal(f.t, 1, n, id)
		}
	}
}
