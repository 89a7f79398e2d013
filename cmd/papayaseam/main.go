// Command papayaseam runs and operates the serving system.
//
// # Usage
//
//	papayaseam run --settings FILE
//	papayaseam ticket submit FILE
//	papayaseam status
//	papayaseam quickstart
package main

import (
	"os"

	"papayaseam/internal/commander"
)

func main() {
	os.Exit(commander.Main(os.Args, os.Stdout, os.Stderr))
}
