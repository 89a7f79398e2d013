// Package seeder sets a fixed seed for the property tests of package rapid, so that
// every run draws the same inputs and has the same result.
//
// # Usage
//
//	func TestMain(m *testing.M) { seeder.Main(m) }
//
// To test with other inputs, pass -rapid.seed=N and -rapid.checks=N on the command
// line.
package seeder

import (
	"flag"
	"os"
	"testing"
)

const (
	seedFlag    = "rapid.seed"
	defaultSeed = "20261204"
)

// Main runs the tests of a package with the fixed seed, unless the command line sets
// another one, and exits the process.
func Main(m *testing.M) {
	flag.Parse()
	if option := flag.Lookup(seedFlag); option != nil && option.Value.String() == option.DefValue {
		if err := flag.Set(seedFlag, defaultSeed); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}
