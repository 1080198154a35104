package command

import "jackdawhinge/jackdawd/internal/cmd"

// Main runs the command line and returns its exit code.
func Main() int {
	return cmd.Main()
}
