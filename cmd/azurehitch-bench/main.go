// Command azurehitch-bench measures azurehitch: running processes, and the placement decisions
// of a pool on a virtual clock.
package main

import (
	"os"

	"azurehitch/cmd/azurehitch-bench/cmds"
)

func main() {
	os.Exit(cmds.Run(os.Args, os.Stdout, os.Stderr))
}
