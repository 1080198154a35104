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
	// openAgain is the pause between two tries to reach the log: a person hardly notices it.
	openAgain = 200 * time.Millisecond
)

// applyFlags are the flags of targets apply.
type applyFlags struct {
	wait     bool
	timeout  time.Duration
	operator string
	base     int64
}

// applied is what targets apply reports.
type applied struct {
	Decision register.Decision `json:"decision"`
	Spread   *publish.Spread   `json:"spread,omitempty"`
	Current  []string          `json:"current,omitempty"`
}

func newTargetsApplyCmd(c *config) *cobra.Command {
	var f applyFlags
	cmd := &cobra.Command{
		Use:   "apply FILE",
		Short: "Publish a change of targets: entries in FILE are set, entries that are null are deleted",
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			ctx, cancel := context.WithTimeout(cmd.Context(), f.timeout)
			defer cancel()
			return apply(ctx, c, f, args[0], cmd.OutOrStdout(), cmd.ErrOrStderr())
		},
	}
	cmd.Flags().BoolVar(&f.wait, "wait", false, "wait for the log to answer, and until the change is in force on every entry host")
	cmd.Flags().DurationVar(&f.timeout, "timeout", defaultApplyTimeout, "give up after this long")
	cmd.Flags().StringVar(&f.operator, "operator", os.Getenv("USER"), "who makes the change, for the history")
	cmd.Flags().Int64Var(&f.base, "base", -1, "revision that the change was made from; the newest if not given")
	return cmd
}

func apply(ctx context.Context, c *config, f applyFlags, path string, out, messages io.Writer) error {
	s, err := c.settings()
	if err != nil {
		return err
	}
	patch, err := readPatch(path)
	if err != nil {
		return &exitError{exitInvalid, err}
	}
	p, state, err := awaitConfiguration(ctx, s, f.wait, messages)
	if err != nil {
		return err
	}
	change := p.NewChange(patch, f.operator)
	if f.base >= 0 {
		change.Base = f.base
	}
	if d := p.Check(change); d.Verdict != register.Accepted {
		return c.refused(out, d, state, patch)
	}
	d, err := p.Publish(ctx, change)
	if err != nil {
		return &exitError{exitUnknown, err}
	}
	if d.Verdict != register.Accepted {
		state, _, err = p.Read(ctx)
		return errors.Join(c.refused(out, d, state, patch), err)
	}
	return c.accepted(ctx, s, f, d, out)
}

func (c *config) accepted(ctx context.Context, s settings, f applyFlags, d register.Decision, out io.Writer) error {
	result := applied{Decision: d}
	if f.wait {
		client := peers.NewClient(s.FleetSecret)
		defer client.Close()
		spread, err := publish.WaitInForce(ctx, roster.NewClient(s.HostList), client, d.Revision)
		if err != nil {
			return err
		}
		result.Spread = &spread
	}
	err := c.print(out, result, func(w io.Writer) error {
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

// refused reports a change that was not accepted, with what the log holds for its entries now.
func (c *config) refused(out io.Writer, d register.Decision, state register.State, patch register.Patch) error {
	result := applied{Decision: d}
	result.Current = diff(state.Document, patch)
	err := c.print(out, result, func(w io.Writer) error {
		_, err := fmt.Fprintf(w, "%s\n%s\n", d.Reason, strings.Join(result.Current, "\n"))
		return err
	})
	code := exitConflict
	if d.Verdict == register.Invalid {
		code = exitInvalid
	}
	return errors.Join(err, &exitError{code, fmt.Errorf("the change was refused (%s): %s", d.Verdict, d.Reason)})
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
		return register.Patch{}, fmt.Errorf("read targets %s: there is no entry in it", path)
	}
	return patch, nil
}

// awaitConfiguration opens the configuration; if it should wait, it tries again while the log
// does not answer, as it may be starting, and says what it waits for.
func awaitConfiguration(ctx context.Context, s settings, wait bool, messages io.Writer) (*publish.Publisher, register.State, error) {
	for tries := 0; ; tries++ {
		p, state, err := openConfiguration(ctx, s)
		if err == nil || !wait || !errors.Is(err, journal.ErrUnavailable) {
			return p, state, err
		}
		if tries == 0 {
			if _, err := fmt.Fprintf(messages, "waiting for the log service at %s\n", s.LogService); err != nil {
				return nil, register.State{}, err
			}
		}
		if pause.For(ctx, openAgain); ctx.Err() != nil {
			return nil, register.State{}, fmt.Errorf("the log service at %s does not answer: %w", s.LogService, err)
		}
	}
}

// openConfiguration reads the configuration from the log, or its beginning from an entry host if the log has trimmed it.
func openConfiguration(ctx context.Context, s settings) (*publish.Publisher, register.State, error) {
	p := publish.NewPublisher(journal.NewClient(s.LogService))
	state, whole, err := p.Read(ctx)
	if err != nil || whole {
		return p, state, err
	}
	cp, err := publish.FetchCheckpoint(ctx, roster.NewClient(s.HostList), peers.NewClient(s.FleetSecret))
	if err != nil {
		return nil, register.State{}, fmt.Errorf("the log no longer holds the whole configuration: %w", err)
	}
	p.Install(cp)
	state, whole, err = p.Read(ctx)
	if err == nil && !whole {
		err = errors.New("no entry host has the configuration that the log has trimmed")
	}
	return p, state, err
}
