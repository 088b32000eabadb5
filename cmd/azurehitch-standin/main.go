// Command azurehitch-standin runs small stand-ins for the platform's services and for backend
// servers. They are not part of any deployed program.
package main

import (
	"os"

	"azurehitch/cmd/azurehitch-standin/cmds"
)

func main() {
	os.Exit(cmds.Run(os.Args, os.Stderr))
}
