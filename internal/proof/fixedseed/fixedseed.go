// Package fixedseed makes property tests draw the same cases in each run.
//
// # Usage
//
//	import _ "azurehitch/internal/proof/fixedseed"
//
// The environment variable AZUREHITCH_SEED replaces the seed.
package fixedseed

import (
	"flag"
	"os"

	// The flags that are set below are registered by rapid.
	_ "pgregory.net/rapid"
)

const defaultSeed = "20261204"

func init() {
	seed := os.Getenv("AZUREHITCH_SEED")
	if seed == "" {
		seed = defaultSeed
	}
	if err := flag.Set("rapid.seed", seed); err != nil {
		panic(err)
	}
	if err := flag.Set("rapid.nofailfile", "true"); err != nil {
		panic(err)
	}
}
