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

// A Node is one entry host.
type Node struct {
	settings settings.Settings
	control  *control.Controller
	board    *routing.Board
	owner    *dispatch.Owner
	keeper   *ledger.Keeper
	peers    *peers.Client
	server   *peers.Server
	meter    *telemetry.Meter
	callers  *khttp.Server
	inner    *khttp.Server
	admin    *khttp.Server
	stopping atomic.Bool
	failed   chan error
	cancel   context.CancelFunc
}

// New returns a node that has started to read the platform's streams and lists, and serves once Start is called.
func New(s settings.Settings) (*Node, error) {
	n := &Node{settings: s, failed: make(chan error, 1), peers: peers.NewClient(s.FleetSecret)}
	log := journal.NewClient(s.LogService)
	list := roster.NewClient(s.HostList)
	n.board = routing.NewBoard(seed())
	n.keeper = ledger.NewKeeper(log)
	n.control = control.NewController(control.Options{
		Self: s.Name, Region: roster.Host{FailureDomain: s.FailureDomain}.Region(),
		Journal: log, List: list, Peers: checkpoints{n.peers}, OnView: n.onView,
	})
	client := delivery.NewClient()
	n.owner = dispatch.NewOwner(n.control.View, n.board, client, n.control)
	meter := telemetry.NewMeter()
	n.meter = meter
	router := dispatch.NewRouter(n.control.View, n.owner, dispatch.NewHTTPPeer(client, s.FleetSecret), client, n.control, meter)
	executor := ledger.NewExecutor(&fleetClaims{views: n.control.View, keeper: n.keeper, peers: n.peers})
	handler := intake.NewHandler(n.control.View, router, executor, meter, s.MaxBodyBytes)
	server, err := peers.NewServer(s.Listen.Control, s.Secrets(), map[string]any{
		"Control": &controlService{node: n}, "Ledger": &ledgerService{keeper: n.keeper},
	})
	if err != nil {
		n.control.Close()
		return nil, err
	}
	n.server = server
	n.registerGauges(meter, func() int64 { return log.Bytes() + list.Bytes() + n.peers.Bytes() + server.Bytes() })
	n.serveHTTP(handler, meter)
	ctx, cancel := context.WithCancel(context.Background())
	n.cancel = cancel
	go func() { n.exchangeLoads(ctx) }()
	go func() { n.pollLoads(ctx, client) }()
	return n, nil
}

// seed returns a source of random numbers that differs from host to host.
func seed() mathrand.Source {
	var b [16]byte
	// Reading from crypto/rand never fails.
	_, _ = rand.Read(b[:])
	return mathrand.NewPCG(binary.LittleEndian.Uint64(b[:8]), binary.LittleEndian.Uint64(b[8:]))
}

// serveHTTP sets up the three HTTP servers. Their timeouts are off: answers
// stream for minutes, and the handlers set deadlines piece by piece.
func (n *Node) serveHTTP(handler *intake.Handler, meter *telemetry.Meter) {
	n.callers = khttp.NewServer(khttp.Address(n.settings.Listen.Callers), khttp.Timeout(0))
	n.callers.HandleFunc(intake.ChatPath, handler.ServeChat)
	n.callers.HandlePrefix(intake.ServicePath, http.HandlerFunc(handler.ServeService))
	n.callers.ReadHeaderTimeout = headerTimeout
	n.inner = khttp.NewServer(khttp.Address(n.settings.Listen.Peers), khttp.Timeout(0))
	n.inner.Handle(dispatch.PeerPath, dispatch.PeerHandler(n.owner, n.settings.Secrets(), n.stopping.Load))
	n.inner.ReadHeaderTimeout = headerTimeout
	n.admin = khttp.NewServer(khttp.Address(n.settings.Listen.Admin), khttp.Timeout(0))
	n.admin.HandlePrefix("/", admin.Handler(n, meter.Handler()))
	n.admin.ReadHeaderTimeout = headerTimeout
}

const headerTimeout = 10 * time.Second

// View returns what the node knows.
func (n *Node) View() *routing.View { return n.control.View() }

// Balancer returns what the node knows of loads.
func (n *Node) Balancer() *routing.Board { return n.board }

// QueueDepth returns the requests waiting before an upstream, their tokens and its limit.
func (n *Node) QueueDepth(u *routing.Upstream) (requests int, tokens, limit int64) {
	return n.owner.Depth(u)
}

// Ledger returns how the node follows the claim streams.
func (n *Node) Ledger() report.Ledger { return n.keeper.Report() }

// ClassStats returns what the callers of a class were given since the start.
func (n *Node) ClassStats(class string) telemetry.ClassStats { return n.meter.ClassStats(class) }

// Claims returns what the log holds of a workspace's idempotency key.
func (n *Node) Claims(ctx context.Context, workspace, key string) report.Claims {
	return n.keeper.History(ctx, workspace, key)
}

// ListAge returns how long ago the host list was last confirmed.
func (n *Node) ListAge() time.Duration { return n.control.ListAge() }

// Ready reports whether the platform's balancer should send callers here.
func (n *Node) Ready() bool { return n.control.Ready() && !n.stopping.Load() }

// onView takes in a new view, on the control goroutine.
func (n *Node) onView(v *routing.View) {
	owned := func(u *routing.Upstream) bool {
		owner, ok := v.Owner(u.Hash())
		return ok && owner.Name() == v.Self()
	}
	n.board.Own(owned, v.Pools())
	n.keeper.Warm(func(partition uint64) bool {
		owner, ok := v.Owner(partitionKey(partition))
		return ok && owner.Name() == v.Self()
	})
}

// Start serves until Stop is called or a server fails.
func (n *Node) Start(ctx context.Context) error {
	servers := []interface{ Start(context.Context) error }{n.callers, n.inner, n.admin, n.server}
	for _, s := range servers {
		go func() {
			if err := s.Start(context.WithoutCancel(ctx)); err != nil {
				n.fail(err)
			}
		}()
	}
	logrus.Infof("node: Host %s serves callers at %s.", n.settings.Name, n.settings.Listen.Callers)
	select {
	case <-ctx.Done():
		return nil
	case err := <-n.failed:
		return fmt.Errorf("serve: %w", err)
	}
}

func (n *Node) fail(err error) {
	select {
	case n.failed <- err:
	default:
	}
}

// Stop ends the node gracefully: readiness goes false, then requests in progress
// finish, those of other entry hosts last, then control stops.
func (n *Node) Stop() error {
	n.stopping.Store(true)
	logrus.Info("node: Stopping. Requests in progress finish.")
	time.Sleep(time.Duration(n.settings.UnreadyFor))
	ctx, cancel := context.WithTimeout(context.Background(), time.Duration(n.settings.StopWithin-n.settings.UnreadyFor))
	defer cancel()
	err := errors.Join(n.callers.Stop(ctx), n.inner.Stop(ctx))
	n.cancel()
	n.control.Close()
	n.keeper.Close()
	n.peers.Close()
	err = errors.Join(err, n.server.Stop(ctx), n.admin.Stop(ctx))
	logrus.Info("node: Stopped.")
	return err
}
