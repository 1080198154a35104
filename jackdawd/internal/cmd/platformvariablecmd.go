package cmd

import (
	"fmt"

	"github.com/spf13/cobra"

	"jackdawhinge/platform"
)

func newPlatformVariableCmd() *cobra.Command {
	return &cobra.Command{
		Use:   "platform-variable",
		Short: "Print the environment variable that holds the path of the platform's settings file",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			_, err := fmt.Fprintln(cmd.OutOrStdout(), platform.SettingsVariable)
			return err
		},
	}
}
