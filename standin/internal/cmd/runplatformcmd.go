package cmd

import (
	"github.com/spf13/cobra"

	"jackdawhinge/platform/standin"
)

func newRunPlatformCmd() *cobra.Command {
	return &cobra.Command{
		Use:   "run-platform FLEET",
		Short: "Run stand-ins for the users' platform, its store and runners, until interrupted",
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			spec, err := standin.ReadFleet(args[0])
			if err != nil {
				return err
			}
			return standin.RunFleet(cmd.Context(), spec)
		},
	}
}
