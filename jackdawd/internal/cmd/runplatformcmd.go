package cmd

import (
	"context"
	"errors"
	"os"
	"runtime/debug"

	klog "github.com/go-kratos/kratos/v2/log"
	"github.com/sirupsen/logrus"
	"github.com/spf13/cobra"

	"jackdawhinge/jackdawd/internal/entry"
	"jackdawhinge/platform"
)

const (
	// memoryShare is the part of the host's memory that the garbage collector keeps
	// the heap below; the rest is for buffers of the kernel and the program's text.
	memoryShare = 0.6
	// collectAt is how much the heap may grow between collections, in percent.
	collectAt = 50
)

func newRunPlatformCmd() *cobra.Command {
	return &cobra.Command{
		Use:   "run-platform",
		Short: "Run an entry host on the users' platform until SIGTERM; its settings are where the environment says",
		Args:  cobra.NoArgs,
		RunE:  func(cmd *cobra.Command, _ []string) error { return runPlatform(cmd.Context()) },
	}
}

func runPlatform(ctx context.Context) error {
	s, err := platform.ReadSettings()
	if err != nil {
		return err
	}
	logrus.SetFormatter(&logrus.JSONFormatter{})
	logrus.SetOutput(os.Stdout)
	klog.SetLogger(klog.NewFilter(klog.DefaultLogger, klog.FilterLevel(klog.LevelError)))
	debug.SetMemoryLimit(int64(float64(s.Memory) * memoryShare))
	debug.SetGCPercent(collectAt)
	store := platform.NewStore(s.Store)
	host := entry.NewHost(entry.Options{
		Callers: s.Callers, Readiness: s.Readiness, Inner: s.Inner, FailureDomain: s.FailureDomain,
		Protocol:       platform.Protocol{},
		Configurations: platform.NewConfigurationFeed(store), Upstreams: platform.NewUpstreamFeed(store),
		Revoke: s.Bounds.Revoke, Drain: s.Bounds.Drain, Grace: s.Bounds.Grace,
		RetryRatio: s.Bounds.RetryRatio, LoadMultiple: s.Bounds.LoadMultiple,
	})
	served := host.Start(ctx)
	return errors.Join(served, host.Stop())
}
