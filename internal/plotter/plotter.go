// Package plotter draws measured figures as SVG.
//
// # Usage
//
//	svg, err := plotter.Lines(plotter.Plot{
//		Title:  "First token, 95 in 100 (ms)",
//		X:      []string{"0 s", "1 s"},
//		Series: []plotter.Series{{Name: "ours", Values: []float64{310, 420}}},
//	})
package plotter

import (
	"github.com/cockroachdb/errors"
	"github.com/go-analyze/charts"
)

const (
	width  = 640 // pixels
	height = 360 // pixels
)

// ErrNoFigures means that a plot has nothing to show, or a series that does not
// have one value for each place of the x axis; give it as many of both.
var ErrNoFigures = errors.New("the plot has no figures, or not one for each place of its x axis; give as many of both")

// Series is one line of a plot, with a value for each place of the x axis.
type Series struct {
	Name   string
	Values []float64
}

// Plot is a set of lines over one x axis.
type Plot struct {
	Title  string // Title names what is shown, with its unit.
	X      []string
	Series []Series
}

// Lines returns the plot as SVG; errors are ErrNoFigures or the library's.
func Lines(plot Plot) ([]byte, error) {
	if len(plot.X) == 0 || len(plot.Series) == 0 {
		return nil, ErrNoFigures
	}
	var names []string
	var values [][]float64
	for _, series := range plot.Series {
		if len(series.Values) != len(plot.X) {
			return nil, errors.Wrapf(ErrNoFigures, "series %s", series.Name)
		}
		names = append(names, series.Name)
		values = append(values, series.Values)
	}
	painter, err := charts.LineRender(values,
		charts.SVGOutputOptionFunc(),
		charts.DimensionsOptionFunc(width, height),
		charts.TitleOptionFunc(charts.TitleOption{Text: plot.Title}),
		charts.XAxisLabelsOptionFunc(plot.X),
		charts.YAxisOptionFunc(charts.YAxisOption{Min: charts.Ptr(0.0)}),
		charts.LegendOptionFunc(charts.LegendOption{SeriesNames: names, Offset: charts.OffsetStr{Left: charts.PositionCenter, Top: charts.PositionBottom}}),
	)
	if err != nil {
		return nil, errors.Wrap(err, "draw the plot")
	}
	svg, err := painter.Bytes()
	return svg, errors.Wrap(err, "write the plot")
}
