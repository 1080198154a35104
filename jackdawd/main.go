// Command jackdawd is the daemon that each entry host runs.
package main

import (
	"os"

	"jackdawhinge/jackdawd/command"
)

func main() {
	os.Exit(command.Main())
}
