package cmd

import (
	"cmp"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"slices"
	"time"

	"github.com/spf13/cobra"

	"jackdawhinge/soak/internal/plan"
	"jackdawhinge/soak/internal/rig"
	"jackdawhinge/soak/internal/verdict"
)

// errViolations reports that a run had violations, which are already printed.
var errViolations = errors.New("promises were broken")

const (
	defaultFaultDuration = 12 * time.Second
	defaultHosts         = 3
	defaultUpstreams     = 6
	defaultCallers       = 12
)

// Main runs the command line and returns its exit code.
func Main() int {
	root := &cobra.Command{Use: "soak", Short: "Run entry hosts under faults and check what callers and upstreams see", SilenceUsage: true}
	root.AddCommand(newRunCmd(), newPlanCmd())
	if err := root.Execute(); err != nil {
		return 1
	}
	return 0
}

func newRunCmd() *cobra.Command {
	o := rig.Options{}
	var first, seeds uint64
	var regressions bool
	var knownRed []string
	cmd := &cobra.Command{
		Use:   "run PROGRAM DIR",
		Short: "Play seeds with the daemon's binary; settings and logs go into the folder",
		Args:  cobra.ExactArgs(2),
		RunE: func(cmd *cobra.Command, args []string) error {
			violated := false
			for _, play := range selectPlays(first, seeds, regressions) {
				seedOptions := o
				seedOptions.Seed, seedOptions.Program, seedOptions.Dir = play.Seed, args[0], filepath.Join(args[1], fmt.Sprintf("seed-%d", play.Seed))
				seedOptions.FaultDuration = cmp.Or(play.FaultDuration, o.FaultDuration)
				ok, err := runSeed(cmd.OutOrStdout(), seedOptions, knownRed)
				if err != nil {
					return err
				}
				violated = violated || !ok
			}
			if violated {
				return errViolations
			}
			return nil
		},
	}
	cmd.Flags().BoolVar(&regressions, "regressions", false, "play the seeds that have failed once instead")
	cmd.Flags().Uint64Var(&first, "seed", 1, "the first seed")
	cmd.Flags().Uint64Var(&seeds, "seeds", 1, "how many seeds, one after the other")
	cmd.Flags().DurationVar(&o.FaultDuration, "faults", defaultFaultDuration, "how long faults are injected")
	cmd.Flags().IntVar(&o.Hosts, "hosts", defaultHosts, "how many hosts")
	cmd.Flags().IntVar(&o.Upstreams, "upstreams", defaultUpstreams, "how many upstreams")
	cmd.Flags().IntVar(&o.Callers, "callers", defaultCallers, "how many callers")
	cmd.Flags().StringSliceVar(&o.FaultKinds, "only", nil, "the kinds of faults to play, all if none are named; a name that is none, as in --only none, plays no fault")
	cmd.Flags().StringSliceVar(&knownRed, "known-red", nil, "checks whose violations are printed but do not fail the run")
	return cmd
}

// selectPlays returns what to play: the regressions, or a range of seeds from first.
func selectPlays(first, seeds uint64, regressions bool) []plan.Regression {
	if regressions {
		return plan.Regressions()
	}
	var out []plan.Regression
	for seed := first; seed < first+seeds; seed++ {
		out = append(out, plan.Regression{Seed: seed})
	}
	return out
}

// runSeed runs the plan of one seed, prints the violations and a summary, and reports whether there
// were none but those of checks that are known to be red.
func runSeed(w io.Writer, o rig.Options, knownRed []string) (bool, error) {
	if err := os.MkdirAll(o.Dir, 0o700); err != nil {
		return false, err
	}
	record, err := rig.Run(o)
	if err != nil {
		return false, err
	}
	served, resumed := 0, 0
	for _, e := range record.Exchanges {
		if e.Status == 200 && e.Complete {
			served++
		}
		if e.Resumes != "" {
			resumed++
		}
	}
	for _, s := range record.Surges {
		if _, err := fmt.Fprintln(w, " ", s); err != nil {
			return false, err
		}
	}
	violations := verdict.Check(record)
	known := 0
	for _, v := range violations {
		label := "  broken:"
		if slices.Contains(knownRed, v.Guarantee) {
			label = "  known to be red:"
			known++
		}
		if _, err := fmt.Fprintln(w, label, v); err != nil {
			return false, err
		}
	}
	_, err = fmt.Fprintf(w, "seed %d: %d promises broken; %d requests, %d served, %d resumptions, %d runs, %d faults\n",
		o.Seed, len(violations), len(record.Exchanges), served, resumed, len(record.Executions), len(o.Plan()))
	return len(violations) == known, err
}

func newPlanCmd() *cobra.Command {
	var seed uint64
	var faults time.Duration
	cmd := &cobra.Command{
		Use:   "plan",
		Short: "Show the faults of a seed",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			for _, f := range plan.Generate(seed, faults) {
				if _, err := fmt.Fprintln(cmd.OutOrStdout(), f); err != nil {
					return err
				}
			}
			return nil
		},
	}
	cmd.Flags().Uint64Var(&seed, "seed", 1, "the seed")
	cmd.Flags().DurationVar(&faults, "faults", defaultFaultDuration, "how long faults are injected")
	return cmd
}
