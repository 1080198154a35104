package node

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"errors"
	"fmt"
	mathrand "math/rand/v2"
	"net/http"
	"sync/atomic"
	"time"

	khttp "github.com/go-kratos/kratos/v2/transport/http"
	"github.com/sirupsen/logrus"

	"jackdawhinge/common/journal"
	"jackdawhinge/common/peers"
	"jackdawhinge/common/report"
	"jackdawhinge/common/roster"
	"jackdawhinge/jackdawd/internal/admin"
	"jackdawhinge/jackdawd/internal/control"
	"jackdawhinge/jackdawd/internal/delivery"
	"jackdawhinge/jackdawd/internal/dispatch"
	"jackdawhinge/jackdawd/internal/intake"
	"jackdawhinge/jackdawd/internal/ledger"
	"jackdawhinge/jackdawd/internal/routing"
	"jackdawhinge/jackdawd/internal/settings"
	"jackdawhinge/jackdawd/internal/telemetry"
)

// A Node is one entry host with its servers and background work.
type Node struct {
	settings      settings.Settings
	control       *control.Controller
	balancer      *routing.Balancer
	owner         *dispatch.Owner
	partitions    *ledger.PartitionManager
	peerClient    *peers.Client
	controlServer *peers.Server
	meter         *telemetry.Meter
	callerServer  *khttp.Server
	peerServer    *khttp.Server
	adminServer   *khttp.Server
	stopping      atomic.Bool
	serveErr      chan error
	cancel        context.CancelFunc
}

// New returns a node that already reads the platform's streams and host list; Start makes it serve. It
// returns an error if the control server can't be set up.
func New(s settings.Settings) (*Node, error) {
	n := &Node{settings: s, serveErr: make(chan error, 1), peerClient: peers.NewClient(s.FleetSecret)}
	logClient := journal.NewClient(s.LogService)
	listClient := roster.NewClient(s.HostList)
	n.balancer = routing.NewBalancer(newRandomSource())
	n.partitions = ledger.NewPartitionManager(logClient)
	n.control = control.NewController(control.Options{
		Self: s.Name, Region: roster.Host{FailureDomain: s.FailureDomain}.Region(),
		Log: logClient, HostList: listClient, Peers: checkpointClient{n.peerClient}, OnView: n.applyView,
	})
	client := delivery.NewClient()
	n.owner = dispatch.NewOwner(n.control.View, n.balancer, client, n.control)
	meter := telemetry.NewMeter()
	n.meter = meter
	router := dispatch.NewRouter(n.control.View, n.owner, dispatch.NewHTTPPeer(client, s.FleetSecret), client, n.control, meter)
	executor := ledger.NewExecutor(&claimRouter{currentView: n.control.View, partitions: n.partitions, peerClient: n.peerClient})
	handler := intake.NewHandler(n.control.View, router, executor, meter, s.MaxBodyBytes)
	listener, err := meter.Listen("control", s.Listen.Control)
	if err != nil {
		n.control.Close()
		return nil, err
	}
	server, err := peers.NewServerWithListener(listener, s.AcceptedSecrets(), map[string]any{
		"Control": &controlService{node: n}, "Ledger": &ledgerService{partitions: n.partitions},
	})
	if err != nil {
		n.control.Close()
		return nil, err
	}
	n.controlServer = server
	n.registerGauges(meter, func() int64 { return logClient.Bytes() + listClient.Bytes() + n.peerClient.Bytes() + server.Bytes() })
	n.serveHTTP(handler, meter)
	ctx, cancel := context.WithCancel(context.Background())
	n.cancel = cancel
	go func() { n.exchangeLoads(ctx) }()
	go func() { n.pollLoads(ctx, client) }()
	return n, nil
}

// newRandomSource returns a random number source with a seed that differs between hosts.
func newRandomSource() mathrand.Source {
	var b [16]byte
	// Reading from crypto/rand never fails.
	_, _ = rand.Read(b[:])
	return mathrand.NewPCG(binary.LittleEndian.Uint64(b[:8]), binary.LittleEndian.Uint64(b[8:]))
}

// serveHTTP sets up the servers for callers, other entry hosts and operators. Their timeouts are off,
// because responses stream for minutes; the handlers set a deadline for each chunk instead.
func (n *Node) serveHTTP(handler *intake.Handler, meter *telemetry.Meter) {
	n.callerServer = khttp.NewServer(khttp.Address(n.settings.Listen.Callers), khttp.Timeout(0))
	n.callerServer.HandleFunc(intake.ChatPath, handler.ServeChat)
	n.callerServer.HandlePrefix(intake.ServicePath, http.HandlerFunc(handler.ServeService))
	n.callerServer.ReadHeaderTimeout, n.callerServer.DisableGeneralOptionsHandler = headerTimeout, true
	n.peerServer = khttp.NewServer(khttp.Address(n.settings.Listen.Peers), khttp.Timeout(0))
	n.peerServer.Handle(dispatch.PeerPath, dispatch.PeerHandler(n.owner, n.settings.AcceptedSecrets(), n.stopping.Load))
	n.peerServer.ReadHeaderTimeout, n.peerServer.DisableGeneralOptionsHandler = headerTimeout, true
	n.adminServer = khttp.NewServer(khttp.Address(n.settings.Listen.Admin), khttp.Timeout(0))
	n.adminServer.HandlePrefix("/", admin.Handler(n, meter.Handler()))
	n.adminServer.ReadHeaderTimeout, n.adminServer.DisableGeneralOptionsHandler = headerTimeout, true
}

const headerTimeout = 10 * time.Second

// View returns the node's current snapshot of configuration and hosts.
func (n *Node) View() *routing.View { return n.control.View() }

// Balancer returns the balancer, which holds the upstreams' loads as this host knows them.
func (n *Node) Balancer() *routing.Balancer { return n.balancer }

// QueueDepth returns the number of requests queued for an upstream, their tokens and the upstream's
// limit in tokens.
func (n *Node) QueueDepth(u *routing.Upstream) (requests int, tokens, limit int64) {
	return n.owner.Depth(u)
}

// Ledger reports how the node follows the claim streams.
func (n *Node) Ledger() report.Ledger { return n.partitions.Report() }

// ClassStats returns the response and refusal counts of a class since the start.
func (n *Node) ClassStats(class string) telemetry.ClassStats { return n.meter.ClassStats(class) }

// Claims returns the log's records of a workspace's idempotency key.
func (n *Node) Claims(ctx context.Context, workspace, key string) report.Claims {
	return n.partitions.History(ctx, workspace, key)
}

// ListAge returns the time since the host list was last confirmed.
func (n *Node) ListAge() time.Duration { return n.control.ListAge() }

// Ready reports whether the platform's load balancer should send callers to this host.
func (n *Node) Ready() bool { return n.control.Ready() && !n.stopping.Load() }

// applyView applies a new view; it runs on the control goroutine.
func (n *Node) applyView(v *routing.View) {
	owned := func(u *routing.Upstream) bool {
		owner, ok := v.Owner(u.Hash())
		return ok && owner.Name() == v.Self()
	}
	n.balancer.SetOwned(owned, v.Pools())
	n.partitions.FollowOwned(func(partition uint64) bool {
		owner, ok := v.Owner(partitionHash(partition))
		return ok && owner.Name() == v.Self()
	})
}

// Start serves until ctx ends or a server fails; it returns the server's error.
func (n *Node) Start(ctx context.Context) error {
	for _, s := range []struct {
		name, address string
		server        *khttp.Server
	}{
		{"callers", n.settings.Listen.Callers, n.callerServer}, {"hosts", n.settings.Listen.Peers, n.peerServer},
		{"administration", n.settings.Listen.Admin, n.adminServer},
	} {
		listener, err := n.meter.Listen(s.name, s.address)
		if err != nil {
			return err
		}
		khttp.Listener(listener)(s.server)
	}
	servers := []interface{ Start(context.Context) error }{n.callerServer, n.peerServer, n.adminServer, n.controlServer}
	for _, s := range servers {
		go func() {
			if err := s.Start(context.WithoutCancel(ctx)); err != nil {
				n.reportServeError(err)
			}
		}()
	}
	logrus.Infof("node: Host %s is serving callers at %s.", n.settings.Name, n.settings.Listen.Callers)
	select {
	case <-ctx.Done():
		return nil
	case err := <-n.serveErr:
		return fmt.Errorf("serve: %w", err)
	}
}

func (n *Node) reportServeError(err error) {
	select {
	case n.serveErr <- err:
	default:
	}
}

// Stop stops the node gracefully. It first reports not ready, then waits for requests in progress,
// those from other entry hosts last, and then stops the controller. It returns the servers' errors.
func (n *Node) Stop() error {
	n.stopping.Store(true)
	logrus.Info("node: Draining. Waiting for requests in progress.")
	time.Sleep(time.Duration(n.settings.DrainDelay))
	ctx, cancel := context.WithTimeout(context.Background(), time.Duration(n.settings.StopTimeout-n.settings.DrainDelay))
	defer cancel()
	err := errors.Join(n.callerServer.Stop(ctx), n.peerServer.Stop(ctx))
	n.cancel()
	n.control.Close()
	n.partitions.Close()
	n.peerClient.Close()
	err = errors.Join(err, n.controlServer.Stop(ctx), n.adminServer.Stop(ctx))
	logrus.Info("node: Stopped.")
	return err
}
