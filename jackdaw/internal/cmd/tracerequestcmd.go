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
			collector := trace.NewCollector(args[0])
			if err := readLogs(collector, cmd.InOrStdin(), args[1:]); err != nil {
				return err
			}
			lines := collector.Timeline()
			if len(lines) == 0 {
				return fmt.Errorf("request %s: no log line has it (%d lines could not be read)", args[0], collector.Skipped())
			}
			return trace.Write(cmd.OutOrStdout(), lines)
		},
	}
}

func readLogs(collector *trace.Collector, stdin io.Reader, paths []string) error {
	if len(paths) == 0 {
		return collector.Read(stdin)
	}
	for _, path := range paths {
		if err := readLog(collector, path); err != nil {
			return err
		}
	}
	return nil
}

func readLog(collector *trace.Collector, path string) error {
	f, err := os.Open(path)
	if err != nil {
		return fmt.Errorf("read log: %w", err)
	}
	// The file is only read, so a failed close loses no data.
	defer func() { _ = f.Close() }()
	return collector.Read(f)
}
