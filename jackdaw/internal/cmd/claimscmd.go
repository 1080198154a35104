package cmd

import (
	"errors"
	"fmt"
	"io"
	"net/url"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"jackdawhinge/common/report"
)

var errLogNotRead = errors.New("query claims: the host has not read the log of this key to its end")

func newClaimsCmd(g *globalFlags) *cobra.Command {
	var workspace, key string
	cmd := &cobra.Command{
		Use:   "claims",
		Short: "Show what the log holds of an idempotency key: who claimed it and what became of it",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			var claims report.Claims
			query := url.Values{"workspace": {workspace}, "key": {key}}
			if err := g.query(cmd.Context(), report.ClaimsPath, query, &claims); err != nil {
				return err
			}
			if !claims.Complete {
				return errLogNotRead
			}
			return g.print(cmd.OutOrStdout(), claims, func(w io.Writer) error { return printClaims(w, claims) })
		},
	}
	cmd.Flags().StringVar(&workspace, "workspace", "", "the workspace that sent the key")
	cmd.Flags().StringVar(&key, "key", "", "the idempotency key")
	return cmd
}

func printClaims(out io.Writer, claims report.Claims) error {
	if len(claims.Claims) == 0 {
		_, err := fmt.Fprintln(out, "the key is free: the log holds no claim of it")
		return err
	}
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	if _, err := fmt.Fprintln(w, "OFFSET\tCLAIM\tSTATE\tREAD"); err != nil {
		return err
	}
	for _, c := range claims.Claims {
		if _, err := fmt.Fprintf(w, "%d\t%s\t%s\t%s ago\n", c.Offset, c.ID, c.State, time.Duration(c.ReadAgo)); err != nil {
			return err
		}
	}
	return w.Flush()
}
