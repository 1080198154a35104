package cmd

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"jackdawhinge/common/journal"
	"jackdawhinge/common/pause"
	"jackdawhinge/common/peers"
	"jackdawhinge/common/register"
	"jackdawhinge/common/roster"
	"jackdawhinge/jackdaw/internal/publish"
)

const (
	defaultApplyTimeout = 30 * time.Second
	// retryInterval is the interval between attempts to reach the log service. It is short enough
	// that an operator hardly notices the delay.
	retryInterval = 200 * time.Millisecond
)

// applyFlags holds the flags of targets apply.
type applyFlags struct {
	wait     bool
	timeout  time.Duration
	operator string
	base     int64
}

// applyResult is the output of targets apply. Current holds the differences from the configuration
// in force if the change was rejected.
type applyResult struct {
	Decision register.Decision `json:"decision"`
	Spread   *publish.Spread   `json:"spread,omitempty"`
	Current  []string          `json:"current,omitempty"`
}

func newTargetsApplyCmd(g *globalFlags) *cobra.Command {
	var f applyFlags
	cmd := &cobra.Command{
		Use:   "apply FILE",
		Short: "Publish a change of targets: entries in FILE are set, entries that are null are deleted",
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			ctx, cancel := context.WithTimeout(cmd.Context(), f.timeout)
			defer cancel()
			return apply(ctx, g, f, args[0], cmd.OutOrStdout(), cmd.ErrOrStderr())
		},
	}
	cmd.Flags().BoolVar(&f.wait, "wait", false, "wait for the log to answer, and until the change is in force on every entry host")
	cmd.Flags().DurationVar(&f.timeout, "timeout", defaultApplyTimeout, "give up after this long")
	cmd.Flags().StringVar(&f.operator, "operator", os.Getenv("USER"), "who makes the change, for the history")
	cmd.Flags().Int64Var(&f.base, "base", -1, "revision that the change was made from; the newest if not given")
	return cmd
}

func apply(ctx context.Context, g *globalFlags, f applyFlags, path string, out, progress io.Writer) error {
	s, err := g.logServiceSettings()
	if err != nil {
		return err
	}
	patch, err := readPatch(path)
	if err != nil {
		return &exitError{exitInvalid, err}
	}
	publisher, state, err := awaitConfiguration(ctx, s, f.wait, progress)
	if err != nil {
		return err
	}
	change := publisher.NewChange(patch, f.operator)
	if f.base >= 0 {
		change.BaseRevision = f.base
	}
	if d := publisher.Check(change); d.Verdict != register.Accepted {
		return g.reportRejected(out, d, state, patch)
	}
	d, err := publisher.Publish(ctx, change)
	if err != nil {
		return &exitError{exitUnknown, err}
	}
	if d.Verdict != register.Accepted {
		state, _, err = publisher.Read(ctx)
		return errors.Join(g.reportRejected(out, d, state, patch), err)
	}
	return g.reportAccepted(ctx, s, f, d, out)
}

// reportAccepted prints an accepted change and, if the flags ask to wait, waits until the revision
// is in force.
func (g *globalFlags) reportAccepted(ctx context.Context, s settings, f applyFlags, d register.Decision, out io.Writer) error {
	result := applyResult{Decision: d}
	if f.wait {
		client := peers.NewClient(s.FleetSecret)
		defer client.Close()
		spread, err := publish.WaitInForce(ctx, roster.NewClient(s.HostList), client, d.Revision)
		if err != nil {
			return err
		}
		result.Spread = &spread
	}
	err := g.print(out, result, func(w io.Writer) error {
		if result.Spread == nil {
			_, err := fmt.Fprintf(w, "accepted as revision %d\n", d.Revision)
			return err
		}
		_, err := fmt.Fprintf(w, "accepted as revision %d, in force on %d hosts, %d lag\n", d.Revision, result.Spread.InForce, len(result.Spread.Lagging))
		return err
	})
	if err == nil && result.Spread != nil && len(result.Spread.Lagging) > 0 {
		return &exitError{exitLagging, fmt.Errorf("not in force on %s", strings.Join(result.Spread.Lagging, ", "))}
	}
	return err
}

// reportRejected prints a rejected change with the values in force of its entries, and returns its
// error.
func (g *globalFlags) reportRejected(out io.Writer, d register.Decision, state register.State, patch register.Patch) error {
	result := applyResult{Decision: d}
	result.Current = diff(state.Document, patch)
	err := g.print(out, result, func(w io.Writer) error {
		_, err := fmt.Fprintf(w, "%s\n%s\n", d.Reason, strings.Join(result.Current, "\n"))
		return err
	})
	code := exitConflict
	if d.Verdict == register.Invalid {
		code = exitInvalid
	}
	return errors.Join(err, &exitError{code, fmt.Errorf("change was rejected (%s): %s", d.Verdict, d.Reason)})
}

func readPatch(path string) (register.Patch, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return register.Patch{}, fmt.Errorf("read targets: %w", err)
	}
	var patch register.Patch
	if err := register.DecodeStrict(data, &patch); err != nil {
		return register.Patch{}, fmt.Errorf("read targets %s: %w", path, err)
	}
	if len(patch.Entries()) == 0 {
		return register.Patch{}, fmt.Errorf("read targets %s: the file has no entry", path)
	}
	return patch, nil
}

// awaitConfiguration reads the configuration. If wait is set, it retries while the log service is
// unavailable, as it may be starting, and writes to progress what it waits for.
func awaitConfiguration(ctx context.Context, s settings, wait bool, progress io.Writer) (*publish.Publisher, register.State, error) {
	for attempt := 0; ; attempt++ {
		p, state, err := openConfiguration(ctx, s)
		if err == nil || !wait || !errors.Is(err, journal.ErrUnavailable) {
			return p, state, err
		}
		if attempt == 0 {
			if _, err := fmt.Fprintf(progress, "waiting for the log service at %s\n", s.LogService); err != nil {
				return nil, register.State{}, err
			}
		}
		if pause.For(ctx, retryInterval); ctx.Err() != nil {
			return nil, register.State{}, fmt.Errorf("wait for the log service at %s: %w", s.LogService, err)
		}
	}
}

// openConfiguration reads the configuration from the log. If retention has removed the beginning of
// the stream, it starts from the checkpoint of an entry host.
func openConfiguration(ctx context.Context, s settings) (*publish.Publisher, register.State, error) {
	publisher := publish.NewPublisher(journal.NewClient(s.LogService))
	state, complete, err := publisher.Read(ctx)
	if err != nil || complete {
		return publisher, state, err
	}
	checkpoint, err := publish.FetchCheckpoint(ctx, roster.NewClient(s.HostList), peers.NewClient(s.FleetSecret))
	if err != nil {
		return nil, register.State{}, fmt.Errorf("read configuration: the log no longer has all of it: %w", err)
	}
	publisher.Install(checkpoint)
	state, complete, err = publisher.Read(ctx)
	if err == nil && !complete {
		err = errors.New("read configuration: no entry host has the part that the log no longer has")
	}
	return publisher, state, err
}
