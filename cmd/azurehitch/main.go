// Command azurehitch is the daemon of the serving system and its operators' tool.
package main

import (
	"os"

	"azurehitch/cmd/azurehitch/cmds"
)

func main() {
	os.Exit(cmds.Run(os.Args, os.Stdout, os.Stderr))
}
