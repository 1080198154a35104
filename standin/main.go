// Command standin runs the stand-ins for the platform and the upstreams, for trying things out on one machine.
package main

import (
	"os"

	"jackdawhinge/standin/command"
)

func main() {
	os.Exit(command.Main())
}
