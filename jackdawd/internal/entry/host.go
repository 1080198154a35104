package entry

import (
	"context"
	"math/rand/v2"
	"net"
	"sync/atomic"
	"time"

	khttp "github.com/go-kratos/kratos/v2/transport/http"
	"github.com/sirupsen/logrus"

	"jackdawhinge/common/monotonic"
	"jackdawhinge/common/peers"
	"jackdawhinge/common/traffic"
	"jackdawhinge/jackdawd/internal/admission"
	"jackdawhinge/jackdawd/internal/exchange"
	"jackdawhinge/jackdawd/internal/fleet"
	"jackdawhinge/jackdawd/internal/membership"
	"jackdawhinge/jackdawd/internal/overload"
	"jackdawhinge/jackdawd/internal/placement"
	"jackdawhinge/jackdawd/internal/quarantine"
	"jackdawhinge/jackdawd/internal/readahead"
	"jackdawhinge/jackdawd/internal/relay"
	"jackdawhinge/jackdawd/internal/requestlog"
	"jackdawhinge/jackdawd/internal/resumption"
	"jackdawhinge/jackdawd/internal/telemetry"
	"jackdawhinge/jackdawd/internal/transit"
)

const (
	// balancerDrainDelay is how long the platform's load balancer may go on sending new connections
	// to a host that is not ready: it probes once per second and acts on the second failure.
	balancerDrainDelay = 2500 * time.Millisecond
	// abortMargin is how long before the end of the grace period remaining requests are aborted,
	// so that the process exits before the platform kills it.
	abortMargin = 600 * time.Millisecond
	// refusalMargin is how much of abortMargin the refusals of aborted requests may take.
	refusalMargin = 200 * time.Millisecond
	// exitMargin is how long before the end of the grace period all parts are closed. The last log lines and traces are
	// written after that.
	exitMargin = 250 * time.Millisecond
	// drainPollInterval is how often a draining host checks whether requests are in progress.
	drainPollInterval = 50 * time.Millisecond
	// headerTimeout is how long a caller may take to send a request's headers.
	headerTimeout = 10 * time.Second
	// defaultIdleTimeout is the idle timeout if the configuration has none.
	defaultIdleTimeout = 60 * time.Second
	// housekeepingInterval is how often idle connections and old loads are removed.
	housekeepingInterval = time.Second
	// tunnelSocketDivisor is the divisor of a host's sockets that gives how many tunnels it serves
	// at a time. Each takes two sockets.
	tunnelSocketDivisor = 16
)

// Protocol translates the headers of requests and responses between callers, hosts and
// upstreams.
type Protocol interface {
	relay.Protocol
	exchange.ResponseParser
}

// Options are the parameters and dependencies of a host.
type Options struct {
	Name string
	// The addresses on which the host serves callers, readiness probes, and metrics, status and
	// explanations. If the last one is empty, these are not served.
	CallerAddress    string
	ReadinessAddress string
	AdminAddress     string
	FailureDomain    string
	Region           string
	// InSameRegion reports whether a failure domain is in this host's region.
	InSameRegion   func(failureDomain string) bool
	Protocol       Protocol
	Configurations fleet.StoreConfigurations
	Upstreams      fleet.StoreUpstreams
	// PeerAddress is the address at which other hosts reach this one, or empty if they cannot.
	PeerAddress string
	// Strength is this host's capacity to send and compute, relative to other hosts.
	Strength float64
	// SchedulingDelay returns for how long the process's work waits for the processor; nil means that it
	// never does.
	SchedulingDelay func() time.Duration
	// FirstStart is true while the whole system starts for the first time.
	FirstStart bool
	// HostRegistry holds the registrations that hosts write about themselves.
	HostRegistry fleet.HostRegistry
	// QuarantineStore holds the notices of requests that crash upstreams.
	QuarantineStore fleet.QuarantineStore
	// HistoryStore holds which software versions the upstreams have had.
	HistoryStore fleet.HistoryStore
	// DecodeConfiguration decodes a configuration received from another host.
	DecodeConfiguration func(document []byte) (*traffic.Configuration, error)
	Bounds              Bounds
	// MaxTotalBodyBytes is the maximum total size in bytes of the bodies of requests in progress.
	MaxTotalBodyBytes int64
	// MaxReadAheadBytes is the maximum size in bytes of what is held of responses whose callers read slowly; 0
	// means that responses are read only as fast as their callers read.
	MaxReadAheadBytes int64
	// MaxSockets is the maximum number of sockets that the process may open.
	MaxSockets int
	// Dial and Listen create connections to upstreams and between hosts, over TCP if nil.
	Dial   transit.DialFunc
	Listen func(address string) (net.Listener, error)
	// Uptime is a monotonic clock that also advances while the host is suspended; nil means the
	// kernel's.
	Uptime func() time.Duration
	Meter  *telemetry.Meter
	// The loggers of requests answered at the first attempt, and of all others.
	RoutineLogger *logrus.Logger
	AnomalyLogger *logrus.Logger
}

// Bounds are the limits that operators set. They may change while the host runs.
type Bounds struct {
	membership.Bounds
	// GracePeriod is how long a stop may take.
	GracePeriod time.Duration
	// RetryRatio is the ratio of retries to requests that all hosts together may send within any
	// RetryWindow.
	RetryRatio  float64
	RetryWindow time.Duration
	// LoadMultiple is the maximum load of an upstream as a multiple of the mean load.
	LoadMultiple float64
	// ColdTolerance is how many requests a cold upstream may get within a second.
	ColdTolerance placement.ColdTolerance
	// PoolAdmission is set if the hosts of a region decide together which requests of a full pool are admitted.
	PoolAdmission bool
}

// A Host is one entry host with its servers.
type Host struct {
	options Options
	bounds  atomic.Pointer[Bounds]
	budgets *relay.RetryBudgets
	source  *fleet.Source
	tracker *membership.Tracker
	client  *exchange.Client
	// paths records which upstreams this host reaches.
	paths  *transit.Paths
	dialer *transit.Dialer
	// tunnels connects other hosts to upstreams.
	tunnels *transit.Server
	// quarantine records which requests crash upstreams.
	quarantine *quarantine.Registry
	// history holds which software versions the upstreams have had.
	history       *resumption.History
	loads         *placement.Loads
	balancer      *placement.Balancer
	poolAdmission *overload.Controller
	// admissionReporter describes the state of poolAdmission.
	admissionReporter *poolAdmissionReporter
	// readAhead bounds what is held for slow callers; nil for nothing.
	readAhead   *readahead.Budget
	coldLimiter *placement.ColdLimiter
	handler     *relay.Handler
	conns       *callerConns
	// othersSeenAt is when other hosts last had requests while this one was busy.
	othersSeenAt    monotonic.Mark
	callerServer    *khttp.Server
	readinessServer *khttp.Server
	adminServer     *khttp.Server
	draining        atomic.Bool
	cancel          context.CancelFunc
	serverErr       chan error
}

// NewHost returns a host that has started to read the configuration and does not serve yet.
func NewHost(o Options) (*Host, error) {
	if o.Uptime == nil {
		o.Uptime = uptime
	}
	h := &Host{options: o, loads: placement.NewLoads(), quarantine: quarantine.NewRegistry(), history: resumption.NewHistory(time.Now(), o.FirstStart), paths: transit.NewPaths(), poolAdmission: overload.NewController(), serverErr: make(chan error, 1)}
	h.conns = newCallerConns(maxCallerConns(o.MaxSockets), h.idleTimeout, h.refusesConnection)
	h.bounds.Store(&o.Bounds)
	if o.MaxReadAheadBytes > 0 {
		h.readAhead = readahead.NewBudget(o.MaxReadAheadBytes)
	}
	h.tunnels = transit.NewServer(transit.ServerOptions{Dial: h.upstreamDialer(), Paths: h.paths, IsUpstream: h.isUpstream, MaxTunnels: max(o.MaxSockets/tunnelSocketDivisor, 1)})
	h.balancer = placement.NewBalancer(h.loads, h.engines, h.loadMultiple)
	h.admissionReporter = newPoolAdmissionReporter(h.poolAdmission, func() *traffic.Configuration { return h.tracker.Snapshot().Configuration() })
	h.poolAdmission.SetNames(h.admissionReporter.names)
	h.balancer.SetAdmission(h.poolAdmission, func() map[string][]*traffic.Upstream { return h.tracker.Snapshot().ReadyPools() })
	h.source = fleet.NewSource(fleet.Options{
		Name: o.Name, FailureDomain: o.FailureDomain, Region: o.Region, Address: o.PeerAddress, Strength: o.Strength, FirstStart: o.FirstStart, HostRegistry: o.HostRegistry,
		Configurations: o.Configurations, Upstreams: o.Upstreams, Plans: h.balancer, Uptime: o.Uptime, MaxConfigurationAge: h.maxConfigurationAge, DecodeConfiguration: o.DecodeConfiguration,
		Quarantine: h.quarantine, QuarantineStore: o.QuarantineStore, History: h.history, HistoryStore: o.HistoryStore, Listen: h.listenForHosts, OnServerFailure: h.reportFailure, Dial: peers.DialFunc(o.Dial), Streams: map[string]peers.StreamHandler{transit.StreamName: h.tunnels.Serve},
	})
	h.tracker = membership.NewTracker(membership.Options{
		Configurations: h.source.Configurations(), Upstreams: h.source.Upstreams(), Uptime: o.Uptime, Bounds: o.Bounds.Bounds,
		OnSnapshot: func(s *membership.Snapshot) { h.source.ObserveUpstreams(s.AllPools()) },
	})
	h.source.Start(h.tracker)
	h.coldLimiter = placement.NewColdLimiter(o.Name, func() []string { return h.source.Directory().KnownNames() }, func() placement.ColdTolerance { return h.bounds.Load().ColdTolerance })
	h.dialer = transit.NewDialer(transit.Options{
		Name: o.Name, FailureDomain: o.FailureDomain, Dial: h.upstreamDialer(), Paths: h.paths, Peers: h.transitPeers,
		OnPathChange: func(address string) { h.client.DiscardIdle(address) },
	})
	h.client = exchange.NewClient(o.Protocol, h.dialer.DialContext)
	h.budgets = relay.NewRetryBudgets(o.Bounds.RetryRatio, o.Bounds.RetryWindow)
	h.handler = relay.NewHandler(relay.Options{
		Protocol: o.Protocol, Membership: h.tracker, Client: h.client, Loads: h.loads, Balancer: h.balancer, CacheLocations: placement.NewCacheLocations(), RequestStats: placement.NewRequestStats(),
		RetryBudgets: h.budgets, Admission: admission.NewController(), PoolAdmission: h.poolAdmission, AdmitsByPool: func() bool { return h.bounds.Load().PoolAdmission }, ReadAhead: h.readAhead, Quarantine: h.quarantine, Backoffs: relay.NewBackoffs(), ColdLimiter: h.coldLimiter, Brittleness: placement.NewBrittleness(), SlotLeases: h.source, Probes: h.source, Streams: h.source, Recorder: requestlog.NewWriter(o.RoutineLogger, o.AnomalyLogger, o.Meter),
		FailureDomain: o.FailureDomain, InSameRegion: o.InSameRegion, MaxTotalBodyBytes: o.MaxTotalBodyBytes, LoadMultiple: h.loadMultiple, HostCount: h.hostCount, SchedulingDelay: o.SchedulingDelay, IsUnreached: func(address string) bool { return h.paths.IsUnreached(time.Now(), address) },
	})
	h.registerGauges(o.Meter)
	h.createServers(o.Meter)
	ctx, cancel := context.WithCancel(context.Background())
	h.cancel = cancel
	go func() {
		ticker := time.NewTicker(housekeepingInterval)
		defer ticker.Stop()
		for {
			select {
			case <-ctx.Done():
				return
			case now := <-ticker.C:
				h.conns.closeExpired(now)
				h.conns.logClosed()
				h.loads.RemoveUnused(now)
				h.coldLimiter.RemoveUnused(now)
				h.paths.RemoveUnused(now)
				// Logs that levels expired also while no request asks for them.
				h.poolAdmission.State(now)
			}
		}
	}()
	return h, nil
}

// upstreamDialer returns the function that connects directly to upstreams.
func (h *Host) upstreamDialer() transit.DialFunc {
	if h.options.Dial != nil {
		return h.options.Dial
	}
	return exchange.NewDialer().DialContext
}

// transitPeers returns the other hosts of the region.
func (h *Host) transitPeers() []transit.Peer {
	var others []transit.Peer
	for name, registration := range h.source.Directory().All() {
		if name == h.options.Name || registration.Region != h.options.Region || registration.Address == "" {
			continue
		}
		others = append(others, transit.Peer{Name: name, Address: registration.Address, Secret: registration.Secret, FailureDomain: registration.FailureDomain})
	}
	return others
}

// isUpstream reports whether an upstream with this address is listed.
func (h *Host) isUpstream(address string) bool { return h.tracker.Snapshot().HasAddress(address) }

// engines returns the engines that accept new requests, by pool.
func (h *Host) engines() map[string][]*traffic.Upstream {
	byPool := map[string][]*traffic.Upstream{}
	snapshot := h.tracker.Snapshot()
	configuration := snapshot.Configuration()
	if configuration == nil {
		return byPool
	}
	for name, upstreams := range snapshot.ReadyPools() {
		if pool, ok := configuration.Pool(name); ok && pool.Engine {
			byPool[name] = upstreams
		}
	}
	return byPool
}

// othersSeenTTL is how long after other hosts had requests they count as up. Hosts that get few callers
// have none at most moments.
const othersSeenTTL = 3 * time.Second

// refusesConnection reports whether a new connection of a caller is closed unread, because this host has
// more work than processor time and others have less.
func (h *Host) refusesConnection() bool {
	if h.options.SchedulingDelay == nil {
		return false
	}
	delay := h.options.SchedulingDelay()
	if !admission.IsBusy(delay) {
		return false
	}
	now := time.Now()
	share := admission.HostShare{Own: h.handler.RefusedForLoad() + h.conns.recentlyRefused.Value(now), Hosts: h.hostCount()}
	for _, upstreams := range h.tracker.Snapshot().ReadyPools() {
		own, others := h.loads.Total(now, upstreams)
		share.Own, share.Others = share.Own+own, share.Others+others
	}
	if share.Others > 0 {
		h.othersSeenAt.Set(now)
	}
	sinceSeen, ok := h.othersSeenAt.Since(now)
	share.OthersSeen = ok && sinceSeen < othersSeenTTL
	return rand.Float64() < admission.ConnectionRefusalRatio(delay, share)
}

func (h *Host) hostCount() int { return h.source.Directory().Size() }

func (h *Host) maxConfigurationAge() time.Duration { return h.bounds.Load().MaxConfigurationAge }

func (h *Host) loadMultiple() float64 { return h.bounds.Load().LoadMultiple }

// SetBounds replaces the bounds.
func (h *Host) SetBounds(b Bounds) {
	h.bounds.Store(&b)
	h.tracker.SetBounds(b.Bounds)
	h.budgets.SetRatio(b.RetryRatio, b.RetryWindow)
}

func (h *Host) idleTimeout() time.Duration {
	if c := h.tracker.Snapshot().Configuration(); c != nil && c.Limits().IdleTimeout > 0 {
		return c.Limits().IdleTimeout
	}
	return defaultIdleTimeout
}
