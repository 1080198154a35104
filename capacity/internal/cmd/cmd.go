package cmd

import (
	"fmt"
	"os"
	"path/filepath"

	"github.com/spf13/cobra"

	"jackdawhinge/capacity/internal/days"
	"jackdawhinge/capacity/internal/marked"
	"jackdawhinge/capacity/internal/plan"
)

// Main runs the command line and returns its exit code.
func Main() int {
	root := &cobra.Command{Use: "capacity", Short: "Work out the fleet's needs from measured slopes", SilenceUsage: true}
	root.AddCommand(
		&cobra.Command{
			Use: "table BENCHMARKS PAGE", Short: "Write the tables worked out from benchmark output into the page", Args: cobra.ExactArgs(2),
			RunE: func(_ *cobra.Command, args []string) error { return writeTables(args[0], args[1]) },
		},
		&cobra.Command{
			Use: "plot BENCHMARKS FOLDER", Short: "Draw each slope", Args: cobra.ExactArgs(2),
			RunE: func(_ *cobra.Command, args []string) error { return plotFits(args[0], args[1]) },
		},
		&cobra.Command{
			Use: "days JOURNAL FROM PAGE", Short: "Write the tables of the days measured since a time into the page", Args: cobra.ExactArgs(3),
			RunE: func(_ *cobra.Command, args []string) error { return writeDays(args[0], args[1], args[2]) },
		},
	)
	if err := root.Execute(); err != nil {
		return 1
	}
	return 0
}

func readFits(path string) ([]plan.LinearFit, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("read benchmarks: %w", err)
	}
	return plan.FitBenchmarks(string(data))
}

func writeTables(benchmarks, page string) error {
	fits, err := readFits(benchmarks)
	if err != nil {
		return err
	}
	old, err := os.ReadFile(page)
	if err != nil {
		return fmt.Errorf("read page: %w", err)
	}
	text, err := plan.ReplaceTables(string(old), plan.Tables(fits))
	if err != nil {
		return err
	}
	return os.WriteFile(page, []byte(text), 0o644)
}

// The markers around the tables of measured days.
const (
	beginDaysMarker = "<!-- begin written by capacity days -->"
	endDaysMarker   = "<!-- end written by capacity days -->"
)

func writeDays(journal, from, page string) error {
	tables, err := days.Tables(journal, from)
	if err != nil {
		return err
	}
	old, err := os.ReadFile(page)
	if err != nil {
		return fmt.Errorf("read page: %w", err)
	}
	text, err := marked.Replace(string(old), beginDaysMarker, endDaysMarker, tables)
	if err != nil {
		return err
	}
	return os.WriteFile(page, []byte(text), 0o644)
}

func plotFits(benchmarks, folder string) error {
	fits, err := readFits(benchmarks)
	if err != nil {
		return err
	}
	for _, f := range fits {
		if err := f.Plot(filepath.Join(folder, f.Name+".svg")); err != nil {
			return err
		}
	}
	return nil
}
