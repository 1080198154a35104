// Command soak runs real entry hosts as processes, injects faults from outside
// them, and checks what callers and upstreams see.
package main

import (
	"os"

	"jackdawhinge/soak/internal/cmd"
)

func main() {
	os.Exit(cmd.Main())
}
