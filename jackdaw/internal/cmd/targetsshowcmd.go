package cmd

import (
	"context"
	"encoding/json"
	"fmt"
	"io"

	"github.com/spf13/cobra"

	"jackdawhinge/common/register"
	"jackdawhinge/common/targets"
)

// showResult is the output of targets show.
type showResult struct {
	Revision int64            `json:"revision"`
	Document targets.Document `json:"document"`
}

func newTargetsShowCmd(g *globalFlags) *cobra.Command {
	return &cobra.Command{
		Use:   "show",
		Short: "Show the configuration that the log holds",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			state, err := g.readConfiguration(cmd.Context())
			if err != nil {
				return err
			}
			encoder := json.NewEncoder(cmd.OutOrStdout())
			encoder.SetIndent("", "  ")
			return encoder.Encode(showResult{Revision: state.Revision, Document: state.Document})
		},
	}
}

// readConfiguration returns the state of the configuration in the log.
func (g *globalFlags) readConfiguration(ctx context.Context) (register.State, error) {
	s, err := g.logServiceSettings()
	if err != nil {
		return register.State{}, err
	}
	_, state, err := openConfiguration(ctx, s)
	return state, err
}

func newTargetsHistoryCmd(g *globalFlags) *cobra.Command {
	return &cobra.Command{
		Use:   "history",
		Short: "List the latest changes and what was decided on each",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			state, err := g.readConfiguration(cmd.Context())
			if err != nil {
				return err
			}
			return g.print(cmd.OutOrStdout(), state.Decisions, func(w io.Writer) error {
				for _, d := range state.Decisions {
					if _, err := fmt.Fprintf(w, "%d\t%s\t%s\t%s\n", d.Revision, d.Verdict, d.Operator, d.Reason); err != nil {
						return err
					}
				}
				return nil
			})
		},
	}
}

func newTargetsHashCmd() *cobra.Command {
	return &cobra.Command{
		Use:   "hash-token",
		Short: "Read a workspace's token from standard input and print the hash that the configuration holds",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			var token string
			if _, err := fmt.Fscan(cmd.InOrStdin(), &token); err != nil {
				return fmt.Errorf("read token: %w", err)
			}
			_, err := fmt.Fprintln(cmd.OutOrStdout(), targets.HashToken(token))
			return err
		},
	}
}
