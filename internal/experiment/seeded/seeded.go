// Package seeded makes property tests deterministic: they start from a fixed seed, which rapid prints with a failure.
// The flag -rapid.seed selects another one.
package seeded

import (
	"flag"
	"os"
	"testing"
)

// Main is a package's TestMain: it runs the given number of checks for each property, from the fixed seed.
func Main(m *testing.M, checks string) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": "20261201", "rapid.checks": checks} {
		given := false
		flag.Visit(func(f *flag.Flag) { given = given || f.Name == name })
		if !given {
			if err := flag.Set(name, value); err != nil {
				panic(err)
			}
		}
	}
	os.Exit(m.Run())
}
