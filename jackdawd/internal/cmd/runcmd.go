package cmd

import (
	"context"
	"errors"

	klog "github.com/go-kratos/kratos/v2/log"
	"github.com/spf13/cobra"

	"jackdawhinge/jackdawd/internal/node"
	"jackdawhinge/jackdawd/internal/settings"
	"jackdawhinge/jackdawd/internal/telemetry"
)

func newRunCmd() *cobra.Command {
	return &cobra.Command{
		Use:   "run SETTINGS",
		Short: "Run an entry host until SIGINT or SIGTERM, then finish what is in progress",
		Args:  cobra.ExactArgs(1),
		RunE:  func(cmd *cobra.Command, args []string) error { return run(cmd.Context(), args[0]) },
	}
}

func run(ctx context.Context, path string) error {
	s, err := settings.Read(path)
	if err != nil {
		return err
	}
	stopTelemetry, err := telemetry.Start(s)
	if err != nil {
		return err
	}
	// The library logs nothing below errors that the node doesn't log itself.
	klog.SetLogger(klog.NewFilter(klog.DefaultLogger, klog.FilterLevel(klog.LevelError)))
	n, err := node.New(s)
	if err != nil {
		return err
	}
	serveErr := n.Start(ctx)
	return errors.Join(serveErr, n.Stop(), stopTelemetry(context.WithoutCancel(ctx)))
}
