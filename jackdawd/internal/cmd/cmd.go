package cmd

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/spf13/cobra"
)

// Exit codes of the daemon.
const (
	exitOK     = 0
	exitFailed = 1
)

// Main runs the command line and returns its exit code.
func Main() int {
	root := &cobra.Command{Use: "jackdawd", Short: "The daemon of one jackdawhinge entry host", SilenceUsage: true}
	root.AddCommand(newRunCmd(), newCheckSettingsCmd(), newRunPlatformCmd(), newPlatformVariableCmd())
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := root.ExecuteContext(ctx); err != nil {
		return exitFailed
	}
	return exitOK
}
