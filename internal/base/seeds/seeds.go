// Package seeds makes property tests repeatable: they draw from one fixed seed,
// or from that in the environment.
package seeds

import (
	"flag"
	"os"
)

// Variable is the environment variable that holds another seed.
const Variable = "HYSSOPSPINDLE_SEED"

const fixed = "20261203"

// Value returns the seed in use.
func Value() string {
	if seed := os.Getenv(Variable); seed != "" {
		return seed
	}
	return fixed
}

// Fix sets the seed of the property tests of a package; it is to be called from
// an init function of its tests.
func Fix() {
	if err := flag.Set("rapid.seed", Value()); err != nil {
		panic(err)
	}
}
