package cmd

import (
	"fmt"
	"io"
	"os"

	"github.com/spf13/cobra"

	"jackdawhinge/jackdaw/internal/trace"
)

func newTraceRequestCmd() *cobra.Command {
	return &cobra.Command{
		Use:   "trace-request ID [LOG]...",
		Short: "Tell from hosts' logs what became of a request; reads standard input without files",
		Args:  cobra.MinimumNArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			log := trace.NewLog(args[0])
			if err := readLogs(log, cmd.InOrStdin(), args[1:]); err != nil {
				return err
			}
			story := log.Story()
			if len(story) == 0 {
				return fmt.Errorf("request %s: no line tells of it (%d lines could not be read)", args[0], log.Skipped())
			}
			return trace.Write(cmd.OutOrStdout(), story)
		},
	}
}

func readLogs(log *trace.Log, stdin io.Reader, paths []string) error {
	if len(paths) == 0 {
		return log.Read(stdin)
	}
	for _, path := range paths {
		if err := readLog(log, path); err != nil {
			return err
		}
	}
	return nil
}

func readLog(log *trace.Log, path string) error {
	f, err := os.Open(path)
	if err != nil {
		return fmt.Errorf("read log: %w", err)
	}
	// It is only read, so that closing it can lose nothing.
	defer func() { _ = f.Close() }()
	return log.Read(f)
}
