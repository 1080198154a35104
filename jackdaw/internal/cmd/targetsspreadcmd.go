package cmd

import (
	"context"
	"fmt"
	"io"
	"strings"

	"github.com/spf13/cobra"

	"jackdawhinge/common/peers"
	"jackdawhinge/common/roster"
	"jackdawhinge/jackdaw/internal/publish"
)

// spread is the output of targets spread.
type spread struct {
	Revision int64 `json:"revision"`
	publish.Spread
}

func newTargetsSpreadCmd(g *globalFlags) *cobra.Command {
	return &cobra.Command{
		Use:   "spread",
		Short: "Show on how many entry hosts the newest revision is in force, and which lag",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			rollout, err := g.queryRollout(cmd.Context())
			if err != nil {
				return err
			}
			return g.print(cmd.OutOrStdout(), rollout, func(w io.Writer) error {
				_, err := fmt.Fprintf(w, "revision %d is in force on %d hosts, %d lag: %s\n",
					rollout.Revision, rollout.InForce, len(rollout.Lagging), strings.Join(rollout.Lagging, ", "))
				return err
			})
		},
	}
}

// queryRollout queries every live entry host once for the newest revision in the log.
func (g *globalFlags) queryRollout(ctx context.Context) (spread, error) {
	s, err := g.logServiceSettings()
	if err != nil {
		return spread{}, err
	}
	state, err := g.readConfiguration(ctx)
	if err != nil {
		return spread{}, err
	}
	client := peers.NewClient(s.FleetSecret)
	defer client.Close()
	status, err := publish.QueryInForce(ctx, roster.NewClient(s.HostList), client, state.Revision)
	return spread{Revision: state.Revision, Spread: status}, err
}
