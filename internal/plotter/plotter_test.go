package plotter_test

import (
	"testing"

	"papayaseam/internal/plotter"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"
)

func TestLines(t *testing.T) {
	svg, err := plotter.Lines(plotter.Plot{
		Title: "First token, 95 in 100 (ms)", X: []string{"0 s", "1 s"},
		Series: []plotter.Series{{Name: "ours", Values: []float64{310, 420}}, {Name: "random", Values: []float64{900, 910}}},
	})
	assert.NilError(t, err)
	golden.Assert(t, string(svg), "lines.svg")
}

func TestPlotWithoutFiguresIsRefused(t *testing.T) {
	for name, plot := range map[string]plotter.Plot{
		"nothing":    {},
		"no series":  {X: []string{"a"}},
		"one is off": {X: []string{"a", "b"}, Series: []plotter.Series{{Name: "s", Values: []float64{1}}}},
	} {
		_, err := plotter.Lines(plot)
		assert.Assert(t, errors.Is(err, plotter.ErrNoFigures), name)
	}
}
