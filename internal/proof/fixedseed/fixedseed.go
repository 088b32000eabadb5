// Package fixedseed fixes the seed of property tests, so that each run draws the same cases.
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

	// rapid registers the flags that init sets.
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
