package cmd

import (
	"fmt"

	"github.com/spf13/cobra"

	"jackdawhinge/jackdawd/internal/settings"
)

func newCheckSettingsCmd() *cobra.Command {
	return &cobra.Command{
		Use:   "check-settings FILE",
		Short: "Check a settings file and name the field that is wrong",
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			s, err := settings.Read(args[0])
			if err != nil {
				return err
			}
			_, err = fmt.Fprintf(cmd.OutOrStdout(), "%s: the settings of host %s are right\n", args[0], s.Name)
			return err
		},
	}
}
