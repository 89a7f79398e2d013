package reporter

import (
	"encoding/json"
	"fmt"
	"html/template"
	"io"
	"strings"
	"text/tabwriter"

	"github.com/cockroachdb/errors"
)

const (
	barWidth    = 120
	barHeight   = 12
	fullBarRate = 10
	padding     = 2
)

// WriteJSON writes the report for scripts.
func WriteJSON(w io.Writer, report Report) error {
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	return errors.Wrap(encoder.Encode(report), "write the report")
}

// WriteText writes the report for a terminal.
func WriteText(w io.Writer, report Report) error {
	if len(report.Rows) == 0 {
		_, err := fmt.Fprintln(w, "nothing counted yet; declare [objective NAME] sections in a ticket")
		return err
	}
	table := tabwriter.NewWriter(w, 0, 0, padding, ' ', 0)
	_, _ = fmt.Fprintln(table, "MEASURE\tTARGET\tORGANISATION\tOBJECTIVE\tBURN 5m\t1h\t6h\t3d\tBAD/ALL 3d\tBUDGET LEFT\tUSED UP IN")
	for _, r := range report.Rows {
		last := r.Burns[len(r.Burns)-1]
		_, _ = fmt.Fprintf(table, "%s\t%s\t%s\t%s", r.Measure, r.Target, anyOr(r.Organisation), objective(r))
		for _, burn := range r.Burns {
			_, _ = fmt.Fprintf(table, "\t%.2f", burn.Rate)
		}
		_, _ = fmt.Fprintf(table, "\t%.0f/%.0f\t%.1f%%\t%s\n", last.Bad, last.Total, 100*r.BudgetLeft, usedUp(r))
	}
	if err := table.Flush(); err != nil {
		return errors.Wrap(err, "write the report")
	}
	if len(report.Missing) > 0 {
		_, err := fmt.Fprintf(w, "PARTIAL: no counts from %s\n", strings.Join(report.Missing, ", "))
		return err
	}
	return nil
}

func anyOr(organisation string) string {
	if organisation == "" {
		return "(all)"
	}
	return organisation
}

func objective(r Row) string {
	if r.PromisedMs > 0 {
		return fmt.Sprintf("%g%% within %d ms", r.Percent, r.PromisedMs)
	}
	return fmt.Sprintf("%g%%", r.Percent)
}

func usedUp(r Row) string {
	switch {
	case r.BudgetLeft <= 0:
		return "used up"
	case r.HoursLeft < 0:
		return "-"
	}
	return fmt.Sprintf("%.1f h", r.HoursLeft)
}

var page = template.Must(template.New("burn").Funcs(template.FuncMap{
	"objective": objective, "usedUp": usedUp, "anyOr": anyOr, "bar": bar, "height": func() int { return barHeight }, "width": func() int { return barWidth },
	"percent": func(share float64) string { return fmt.Sprintf("%.1f%%", 100*share) },
	"rate":    func(rate float64) string { return fmt.Sprintf("%.2f", rate) },
}).Parse(`<!DOCTYPE html>
<html lang="en"><head><meta charset="utf-8"><title>Burn of service levels</title>
<style>body{font-family:sans-serif;margin:2em}table{border-collapse:collapse}td,th{padding:.3em .8em;text-align:left;border-bottom:1px solid #ccc}.bad{color:#a00}</style>
</head><body><h1>Burn of service levels</h1>
{{if .Missing}}<p class="bad">Partial: no counts from {{range .Missing}}{{.}} {{end}}</p>{{end}}
<table><tr><th>measure</th><th>target</th><th>organisation</th><th>objective</th>{{range (index .Rows 0).Burns}}<th>burn {{.Window}}</th>{{end}}<th>budget left</th><th>used up in</th></tr>
{{range .Rows}}<tr><td>{{.Measure}}</td><td>{{.Target}}</td><td>{{anyOr .Organisation}}</td><td>{{objective .}}</td>
{{range .Burns}}<td><svg width="{{width}}" height="{{height}}" role="img"><rect width="{{width}}" height="{{height}}" fill="#eee"/><rect width="{{bar .Rate}}" height="{{height}}" fill="{{if gt .Rate 1.0}}#a00{{else}}#284{{end}}"/></svg> {{rate .Rate}}</td>{{end}}
<td{{if le .BudgetLeft 0.0}} class="bad"{{end}}>{{percent .BudgetLeft}}</td><td>{{usedUp .}}</td></tr>
{{end}}</table></body></html>
`))

// bar is the length of a burn's bar; it is full at ten times the allowed rate.
func bar(rate float64) int { return int(min(rate/fullBarRate, 1) * barWidth) }

// WriteHTML writes the report as a page.
func WriteHTML(w io.Writer, report Report) error {
	if len(report.Rows) == 0 {
		report.Rows = []Row{{Measure: "nothing counted yet"}}
	}
	return errors.Wrap(page.Execute(w, report), "write the page")
}
