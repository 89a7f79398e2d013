package bounds

import (
	"flag"
	"os"
	"path/filepath"
	"testing"

	"papayaseam/internal/plotter"

	"gotest.tools/v3/assert"
)

var plots = flag.String("plots", "", "folder to write the plots of docs/MEASUREMENTS.md to")

// draw writes a plot of the test's own figures where a folder was given.
func draw(t *testing.T, name string, plot plotter.Plot) {
	t.Helper()
	if *plots == "" {
		return
	}
	svg, err := plotter.Lines(plot)
	assert.NilError(t, err)
	assert.NilError(t, os.WriteFile(filepath.Join(*plots, name+".svg"), svg, 0o600))
}
