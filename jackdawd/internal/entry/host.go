package entry

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"sync/atomic"
	"time"

	khttp "github.com/go-kratos/kratos/v2/transport/http"
	"github.com/sirupsen/logrus"

	"jackdawhinge/common/traffic"
	"jackdawhinge/jackdawd/internal/admission"
	"jackdawhinge/jackdawd/internal/exchange"
	"jackdawhinge/jackdawd/internal/fleet"
	"jackdawhinge/jackdawd/internal/membership"
	"jackdawhinge/jackdawd/internal/placement"
	"jackdawhinge/jackdawd/internal/quarantine"
	"jackdawhinge/jackdawd/internal/relay"
	"jackdawhinge/jackdawd/internal/stories"
	"jackdawhinge/jackdawd/internal/telemetry"
)

const (
	// leaveWithin is how long the balancer may take to send no new connections to a
	// host that is not ready: it asks once a second and believes the second answer.
	leaveWithin = 2500 * time.Millisecond
	// abortMargin is how much before the end of the grace period what is left is cut
	// off, so that the process ends by itself.
	abortMargin = 400 * time.Millisecond
	// drainTick is how often a stopping host looks whether it is done.
	drainTick = 50 * time.Millisecond
	// headerTimeout bounds how long a caller takes to send a request's head.
	headerTimeout = 10 * time.Second
	// defaultIdle is the idle timeout while no configuration states one.
	defaultIdle = 60 * time.Second
	housekeep   = time.Second
)

// Protocol translates the heads of requests and answers.
type Protocol interface {
	relay.Protocol
	exchange.Heads
}

// Options are what a host is made of.
type Options struct {
	Name string
	// Callers, Readiness and Inner are addresses to listen on; Inner serves metrics and may be empty.
	Callers       string
	Readiness     string
	Inner         string
	FailureDomain string
	Region        string
	// Near reports whether a failure domain lies in this host's region.
	Near           func(failureDomain string) bool
	Protocol       Protocol
	Configurations fleet.StoreConfigurations
	Upstreams      fleet.StoreUpstreams
	// Peers is where other hosts reach this one, empty if they cannot; Board is where hosts write of themselves.
	Peers string
	// Strength compares this host with others.
	Strength float64
	// FirstStart is set while the whole system starts for the first time.
	FirstStart bool
	Board      fleet.Board
	// QuarantineBoard is where the requests that crash upstreams are written.
	QuarantineBoard fleet.QuarantineBoard
	// Decode reads a configuration that another host passes on.
	Decode func(document []byte) (*traffic.Configuration, error)
	Bounds Bounds
	// MostBodies bounds the bytes of the bodies of all requests in progress.
	MostBodies int64
	// Sockets is how many sockets the process may open.
	Sockets int
	Meter   *telemetry.Meter
	// Usual and Unusual take the lines on ordinary requests and on all others.
	Usual   *logrus.Logger
	Unusual *logrus.Logger
}

// Bounds are what operators want kept; they may change while the host runs.
type Bounds struct {
	membership.Bounds
	// Grace is how long a stop may take.
	Grace time.Duration
	// RetryRatio is the share of requests that all hosts together may send again.
	RetryRatio float64
	// LoadMultiple is how many times the mean load an upstream may carry.
	LoadMultiple float64
}

// A Host is one entry host.
type Host struct {
	options Options
	bounds  atomic.Pointer[Bounds]
	budgets *relay.Budgets
	source  *fleet.Source
	keeper  *membership.Keeper
	client  *exchange.Client
	// quarantine holds the requests that crash upstreams.
	quarantine *quarantine.Registry
	loads      *placement.Loads
	balancer   *placement.Balancer
	handler    *relay.Handler
	idle       *idleConns
	callers    *khttp.Server
	ready      *khttp.Server
	inner      *khttp.Server
	stopping   atomic.Bool
	cancel     context.CancelFunc
	failed     chan error
}

// NewHost returns a host that has begun to read the configuration.
func NewHost(o Options) (*Host, error) {
	h := &Host{options: o, loads: placement.NewLoads(), quarantine: quarantine.NewRegistry(), idle: newIdleConns(mostCallers(o.Sockets)), failed: make(chan error, 1)}
	h.bounds.Store(&o.Bounds)
	h.balancer = placement.NewBalancer(h.loads, h.engines, h.loadMultiple)
	h.source = fleet.NewSource(fleet.Options{
		Name: o.Name, FailureDomain: o.FailureDomain, Region: o.Region, Address: o.Peers, Strength: o.Strength, FirstStart: o.FirstStart, Board: o.Board,
		Configurations: o.Configurations, Upstreams: o.Upstreams, Plans: h.balancer, Uptime: uptime, InForce: h.inForce, Decode: o.Decode,
		Quarantine: h.quarantine, QuarantineBoard: o.QuarantineBoard,
	})
	h.keeper = membership.NewKeeper(membership.Options{
		Configurations: h.source.Configurations(), Upstreams: h.source.Upstreams(), Uptime: uptime, Bounds: o.Bounds.Bounds,
	})
	h.source.Start(h.keeper)
	h.client = exchange.NewClient(o.Protocol, nil)
	h.budgets = relay.NewBudgets(o.Bounds.RetryRatio)
	h.handler = relay.NewHandler(relay.Options{
		Protocol: o.Protocol, Members: h.keeper, Client: h.client, Loads: h.loads, Balancer: h.balancer, Warmth: placement.NewWarmth(), Turnovers: placement.NewTurnovers(),
		Budgets: h.budgets, Admission: admission.NewController(), Quarantine: h.quarantine, Pauses: relay.NewPauses(), Journal: stories.NewWriter(o.Usual, o.Unusual, o.Meter),
		FailureDomain: o.FailureDomain, Near: o.Near, MostBodies: o.MostBodies, LoadMultiple: h.loadMultiple, Hosts: h.hosts,
	})
	h.registerGauges(o.Meter)
	h.serve(o.Meter)
	ctx, cancel := context.WithCancel(context.Background())
	h.cancel = cancel
	go func() {
		ticker := time.NewTicker(housekeep)
		defer ticker.Stop()
		for {
			select {
			case <-ctx.Done():
				return
			case now := <-ticker.C:
				h.idle.sweep(now, h.idleTimeout())
				h.loads.Forget(now)
			}
		}
	}()
	return h, nil
}

// engines returns the engines that take new work, by pool.
func (h *Host) engines() map[string][]*traffic.Upstream {
	engines := map[string][]*traffic.Upstream{}
	snapshot := h.keeper.Snapshot()
	c := snapshot.Configuration()
	if c == nil {
		return engines
	}
	for name, upstreams := range snapshot.Pools() {
		if pool, ok := c.Pool(name); ok && pool.Engine {
			engines[name] = upstreams
		}
	}
	return engines
}

func (h *Host) hosts() int { return h.source.Directory().Size() }

func (h *Host) inForce() time.Duration { return h.bounds.Load().InForce }

func (h *Host) loadMultiple() float64 { return h.bounds.Load().LoadMultiple }

// SetBounds puts other bounds into force.
func (h *Host) SetBounds(b Bounds) {
	h.bounds.Store(&b)
	h.keeper.SetBounds(b.Bounds)
	h.budgets.SetRatio(b.RetryRatio)
}

// serve sets up the HTTP servers. Every path belongs to callers, so that the
// library's router, which would redirect some, is passed by.
func (h *Host) serve(meter *telemetry.Meter) {
	h.callers = newCallersServer(h.options.Callers, h.handler, h.idle)
	h.ready = newServer(h.options.Readiness, http.HandlerFunc(h.answerReadiness))
	if h.options.Inner != "" {
		h.inner = newServer(h.options.Inner, h.adminHandler(meter.Handler()))
	}
}

func newCallersServer(address string, handler http.Handler, idle *idleConns) *khttp.Server {
	s := newServer(address, handler)
	s.ConnState, s.ConnContext = idle.note, relay.WithConn
	return s
}

func newServer(address string, handler http.Handler) *khttp.Server {
	s := khttp.NewServer(khttp.Address(address), khttp.Timeout(0), khttp.Filter(func(http.Handler) http.Handler { return handler }))
	s.ReadHeaderTimeout = headerTimeout
	return s
}

func (h *Host) idleTimeout() time.Duration {
	if c := h.keeper.Snapshot().Configuration(); c != nil && c.Limits().IdleTimeout > 0 {
		return c.Limits().IdleTimeout
	}
	return defaultIdle
}

func (h *Host) answerReadiness(w http.ResponseWriter, _ *http.Request) {
	if h.stopping.Load() || !h.keeper.Ready() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// Start serves until the context ends or a server fails.
func (h *Host) Start(ctx context.Context) error {
	servers := []*khttp.Server{h.callers, h.ready}
	if h.inner != nil {
		servers = append(servers, h.inner)
	}
	for _, s := range servers {
		go func() {
			if err := s.Start(context.WithoutCancel(ctx)); err != nil {
				h.fail(err)
			}
		}()
	}
	logrus.WithField("callers", h.options.Callers).Info("entry: The host serves.")
	select {
	case <-ctx.Done():
		return nil
	case err := <-h.failed:
		return fmt.Errorf("serve: %w", err)
	}
}

func (h *Host) fail(err error) {
	select {
	case h.failed <- err:
	default:
	}
}

// Stop ends the host gracefully: it is no longer ready, goes on serving until the
// balancer has noticed, and finishes what is in progress inside the grace period.
func (h *Host) Stop() error {
	begun := time.Now()
	h.stopping.Store(true)
	h.handler.Stopping(begun.Add(leaveWithin))
	logrus.WithField("in-progress", h.handler.InProgress()).Info("entry: Stopping. Requests in progress finish.")
	deadline := begun.Add(h.bounds.Load().Grace - abortMargin)
	for time.Now().Before(deadline) {
		if time.Since(begun) > leaveWithin && h.handler.InProgress() == 0 {
			break
		}
		time.Sleep(drainTick)
	}
	left := h.handler.InProgress()
	err := h.close()
	logrus.WithField("cut-off", left).Info("entry: Stopped.")
	return err
}

func (h *Host) close() error {
	h.cancel()
	errs := []error{h.callers.Close(), h.ready.Close(), h.source.Close()}
	if h.inner != nil {
		errs = append(errs, h.inner.Close())
	}
	h.keeper.Close()
	h.client.Close()
	return errors.Join(errs...)
}
