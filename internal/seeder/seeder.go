// Package seeder fixes the seed of random histories, so that the tests give the
// same verdict every time.
//
// # Usage
//
//	func TestMain(m *testing.M) { seeder.Main(m) }
//
// Other histories are drawn with -rapid.seed=N and -rapid.checks=N on the
// command line.
package seeder

import (
	"flag"
	"os"
	"testing"
)

const (
	seedFlag = "rapid.seed"
	seed     = "20261204"
)

// Main runs the tests of a package under the fixed seed, unless the command
// line names another one.
func Main(m *testing.M) {
	flag.Parse()
	if given := flag.Lookup(seedFlag); given != nil && given.Value.String() == given.DefValue {
		if err := flag.Set(seedFlag, seed); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}
