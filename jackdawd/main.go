// Command jackdawd is the daemon that each entry host runs.
package main

import (
	"os"

	"jackdawhinge/jackdawd/internal/cmd"
)

func main() {
	os.Exit(cmd.Main())
}
