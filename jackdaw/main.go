// Command jackdaw is the operators' command line.
package main

import (
	"os"

	"jackdawhinge/jackdaw/internal/cmd"
)

func main() {
	os.Exit(cmd.Main())
}
