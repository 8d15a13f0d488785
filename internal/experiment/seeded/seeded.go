// Package seeded makes property tests give the same verdict every time: they begin from one seed, which rapid prints
// with a failure, and -rapid.seed names another.
package seeded

import (
	"flag"
	"os"
	"testing"
)

// Main is a package's TestMain: so many histories for each property, from the one seed.
func Main(m *testing.M, histories string) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": "20261201", "rapid.checks": histories} {
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
