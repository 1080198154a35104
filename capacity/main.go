// Command capacity works out what the fleet needs at a given size from measured slopes.
package main

import (
	"os"

	"jackdawhinge/capacity/internal/cmd"
)

func main() {
	os.Exit(cmd.Main())
}
