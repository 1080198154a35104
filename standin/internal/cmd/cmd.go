package cmd

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/spf13/cobra"

	"jackdawhinge/common/roster"
	"jackdawhinge/standin/engine"
	"jackdawhinge/standin/platform"
)

// minEngineCapacity is the minimum capacity of a stand-in engine, in tokens.
const minEngineCapacity = 100_000

// settings are the addresses of the stand-ins, and the duration of a batch step of the engines.
type settings struct {
	Platform   string        `json:"platform"`
	EntryHosts []roster.Host `json:"entry-hosts"`
	Upstreams  []roster.Host `json:"upstreams"`
	Step       string        `json:"step"`
}

// Main runs the command line and returns its exit code.
func Main() int {
	root := &cobra.Command{Use: "standin", Short: "Stand-ins for the platform and the upstreams", SilenceUsage: true}
	root.AddCommand(&cobra.Command{
		Use:   "run SETTINGS",
		Short: "Run the stand-ins until interrupted",
		Args:  cobra.ExactArgs(1),
		RunE:  func(cmd *cobra.Command, args []string) error { return run(cmd.Context(), args[0]) },
	})
	root.AddCommand(newRunPlatformCmd())
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := root.ExecuteContext(ctx); err != nil {
		return 1
	}
	return 0
}

func run(ctx context.Context, path string) error {
	s, err := readSettings(path)
	if err != nil {
		return err
	}
	step, err := time.ParseDuration(s.Step)
	if err != nil {
		return fmt.Errorf("settings: step: %w", err)
	}
	servers := []*http.Server{{Addr: s.Platform, Handler: platform.Handler(platform.NewLog(), platform.NewHostList(append(s.EntryHosts, s.Upstreams...)...))}}
	for _, u := range s.Upstreams {
		servers = append(servers, &http.Server{Addr: u.Address, Handler: upstreamHandler(u, step)})
	}
	for _, srv := range servers {
		if err := serve(srv); err != nil {
			return err
		}
	}
	logrus.Infof("standin: serving %d upstreams and the platform at %s", len(s.Upstreams), s.Platform)
	<-ctx.Done()
	for _, srv := range servers {
		// Open connections may be cut, as the stand-ins store nothing.
		_ = srv.Close()
	}
	return nil
}

func readSettings(path string) (settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return settings{}, fmt.Errorf("read settings: %w", err)
	}
	var s settings
	if err := json.Unmarshal(data, &s); err != nil {
		return settings{}, fmt.Errorf("read settings %s: %w", path, err)
	}
	return s, nil
}

// upstreamHandler returns a plain service for an upstream without capacity in tokens, and an engine
// otherwise.
func upstreamHandler(u roster.Host, step time.Duration) http.Handler {
	if u.CapacityTokens == 0 {
		return engine.NewService(u.Name).Handler()
	}
	return engine.New(u.Name, step, max(u.CapacityTokens, minEngineCapacity)).Handler()
}

func serve(srv *http.Server) error {
	l, err := net.Listen("tcp", srv.Addr)
	if err != nil {
		return fmt.Errorf("listen on %s: %w", srv.Addr, err)
	}
	go func() {
		if err := srv.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			logrus.Errorf("standin: serve %s: %v", srv.Addr, err)
		}
	}()
	return nil
}
