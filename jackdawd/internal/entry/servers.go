package entry

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"time"

	khttp "github.com/go-kratos/kratos/v2/transport/http"
	"github.com/sirupsen/logrus"

	"jackdawhinge/jackdawd/internal/relay"
	"jackdawhinge/jackdawd/internal/telemetry"
)

// createServers creates the HTTP servers. Callers may use every path, so requests bypass the
// library's router, which would redirect some paths.
func (h *Host) createServers(meter *telemetry.Meter) {
	h.callerServer = newCallerServer(h.options.CallerAddress, h.handler, h.conns)
	h.readinessServer = newServer(h.options.ReadinessAddress, http.HandlerFunc(h.serveReadiness))
	if h.options.AdminAddress != "" {
		h.adminServer = newServer(h.options.AdminAddress, h.adminHandler(meter.Handler()))
	}
}

// newCallerServer returns a server for listeners of conns.
func newCallerServer(address string, handler http.Handler, conns *callerConns) *khttp.Server {
	server := newServer(address, handler)
	server.ConnState = conns.setState
	server.ConnContext = func(ctx context.Context, conn net.Conn) context.Context {
		return relay.WithConn(ctx, conn.(*callerConn).Conn)
	}
	return server
}

// listenForHosts returns the listener of the server for other hosts.
func (h *Host) listenForHosts(address string) (net.Listener, error) {
	if h.options.Listen == nil {
		return h.options.Meter.Listen("hosts", address)
	}
	listener, err := h.options.Listen(address)
	if err != nil {
		return nil, err
	}
	return h.options.Meter.RetryAccept("hosts", listener), nil
}

func newServer(address string, handler http.Handler) *khttp.Server {
	server := khttp.NewServer(khttp.Address(address), khttp.Timeout(0), khttp.Filter(func(http.Handler) http.Handler { return handler }))
	server.ReadHeaderTimeout = headerTimeout
	// The library would answer OPTIONS * by itself, with a success that no upstream has signed.
	server.DisableGeneralOptionsHandler = true
	return server
}

func (h *Host) serveReadiness(w http.ResponseWriter, _ *http.Request) {
	if h.draining.Load() || !h.tracker.Ready() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// Start serves until the context ends or a server fails. It returns the error of that server.
func (h *Host) Start(ctx context.Context) error {
	listener, err := h.options.Meter.Listen("callers", h.options.CallerAddress)
	if err != nil {
		return err
	}
	khttp.Listener(h.conns.listen(listener))(h.callerServer)
	servers := []*khttp.Server{h.callerServer}
	for _, s := range []struct {
		name, address string
		server        *khttp.Server
	}{{"readiness", h.options.ReadinessAddress, h.readinessServer}, {"administration", h.options.AdminAddress, h.adminServer}} {
		if s.server == nil {
			continue
		}
		if listener, err = h.options.Meter.Listen(s.name, s.address); err != nil {
			return err
		}
		khttp.Listener(listener)(s.server)
		servers = append(servers, s.server)
	}
	for _, server := range servers {
		go func() {
			if err := server.Start(context.WithoutCancel(ctx)); err != nil {
				h.reportFailure(err)
			}
		}()
	}
	logrus.WithField("callers", h.options.CallerAddress).Info("entry: Serving requests.")
	select {
	case <-ctx.Done():
		return nil
	case err := <-h.serverErr:
		return fmt.Errorf("serve: %w", err)
	}
}

func (h *Host) reportFailure(err error) {
	select {
	case h.serverErr <- err:
	default:
	}
}

// Stop drains and closes the host: it reports not ready, serves until the load balancer has
// noticed, and waits for requests in progress and connections that are not idle until shortly before the grace
// period ends.
func (h *Host) Stop() error {
	start := time.Now()
	h.draining.Store(true)
	h.handler.Drain(start.Add(balancerDrainDelay))
	h.tunnels.Drain()
	logrus.WithField("in-progress", h.handler.InProgress()).Info("entry: Stopping. Waiting for requests in progress.")
	deadline := start.Add(h.bounds.Load().GracePeriod - abortMargin)
	for time.Now().Before(deadline) {
		// A request counts as in progress only while its handler runs; its connection is open until the response has
		// been written.
		if time.Since(start) > balancerDrainDelay && h.handler.InProgress() == 0 && h.tunnels.Tunnels() == 0 && h.conns.stop() == 0 {
			break
		}
		time.Sleep(drainPollInterval)
	}
	aborted := h.handler.InProgress()
	h.handler.Abort()
	h.closeIdleConns(deadline.Add(refusalMargin))
	err := h.close(start.Add(h.bounds.Load().GracePeriod - exitMargin))
	logrus.WithField("cut-off", aborted).Info("entry: Stopped.")
	return err
}

// closeIdleConns closes callers' connections without a request and waits until the other ones have their responses,
// of which the server writes the last part after the handler has returned. http.Server.Shutdown would drop requests
// that have arrived and were not handled yet.
func (h *Host) closeIdleConns(deadline time.Time) {
	for open := h.conns.stop(); open > 0; open = h.conns.stop() {
		if !time.Now().Before(deadline) {
			logrus.WithField("connections", open).Warn("entry: Closing connections whose responses are not written.")
			return
		}
		time.Sleep(drainPollInterval)
	}
}

// close closes all parts until a deadline. Those that call the store come last, as it may be slow, and what takes longer
// ends with the process.
func (h *Host) close(deadline time.Time) error {
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	defer cancel()
	closed := make(chan error, 1)
	go func() {
		h.cancel()
		errs := []error{h.callerServer.Close(), h.readinessServer.Close()}
		if h.adminServer != nil {
			errs = append(errs, h.adminServer.Close())
		}
		h.client.Close()
		h.dialer.Close()
		h.tracker.Close()
		closed <- errors.Join(append(errs, h.source.Close(ctx))...)
	}()
	select {
	case err := <-closed:
		return err
	case <-ctx.Done():
		logrus.Warn("entry: Closing took too long. The process ends all the same.")
		return nil
	}
}
