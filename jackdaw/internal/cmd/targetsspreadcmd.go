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

// spread is what targets spread reports.
type spread struct {
	Revision int64 `json:"revision"`
	publish.Spread
}

func newTargetsSpreadCmd(c *config) *cobra.Command {
	return &cobra.Command{
		Use:   "spread",
		Short: "Show on how many entry hosts the newest revision is in force, and which lag",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			found, err := c.spread(cmd.Context())
			if err != nil {
				return err
			}
			return c.print(cmd.OutOrStdout(), found, func(w io.Writer) error {
				_, err := fmt.Fprintf(w, "revision %d is in force on %d hosts, %d lag: %s\n",
					found.Revision, found.InForce, len(found.Lagging), strings.Join(found.Lagging, ", "))
				return err
			})
		},
	}
}

// spread asks every live entry host once.
func (c *config) spread(ctx context.Context) (spread, error) {
	s, err := c.settings()
	if err != nil {
		return spread{}, err
	}
	state, err := c.configuration(ctx)
	if err != nil {
		return spread{}, err
	}
	client := peers.NewClient(s.FleetSecret)
	defer client.Close()
	found, err := publish.QueryInForce(ctx, roster.NewClient(s.HostList), client, state.Revision)
	return spread{Revision: state.Revision, Spread: found}, err
}
