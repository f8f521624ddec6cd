// Package seeds makes property tests reproducible: they use a fixed seed, or one from
// the environment.
package seeds

import (
	"flag"
	"os"
)

// EnvVariable is the name of the environment variable that overrides the default seed.
const EnvVariable = "HYSSOPSPINDLE_SEED"

const defaultSeed = "20261203"

// Value returns the seed in use.
func Value() string {
	if seed := os.Getenv(EnvVariable); seed != "" {
		return seed
	}
	return defaultSeed
}

// Fix sets the seed of a package's property tests; it must be called from an init
// function of the tests.
func Fix() {
	if err := flag.Set("rapid.seed", Value()); err != nil {
		panic(err)
	}
}
