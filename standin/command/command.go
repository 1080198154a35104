package command

import "jackdawhinge/standin/internal/cmd"

// Main runs the command line and returns its exit code.
func Main() int {
	return cmd.Main()
}
