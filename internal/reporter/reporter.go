// Package reporter works out the burn of service-level objectives from the
// counts of all processes, and writes it as text, JSON or an HTML page.
//
// # Usage
//
//	report := reporter.Build(histories, missing)
//	err := reporter.WriteText(os.Stdout, report)
//
// The burn in a window is the share of bad counts divided by the share that the
// objective allows: 1 uses the budget up exactly in its period, 10 in a tenth
// of it. The budget is that of the longest window.
package reporter

import (
	"cmp"
	"slices"

	"papayaseam/internal/messenger"
)

// Window is a period over which the burn is worked out.
type Window struct {
	Name    string
	Minutes int
}

// Windows are the reported periods, the shortest first; the last one is the
// period of the budget.
var Windows = []Window{{"5m", 5}, {"1h", 60}, {"6h", 360}, {"3d", 4320}}

// rateWindow is the window whose burn tells when the budget is used up.
const rateWindow = 1

// Burn is the burn of one objective in one window.
type Burn struct {
	Window string  `json:"window"`
	Total  float64 `json:"total"`
	Bad    float64 `json:"bad"`
	Rate   float64 `json:"rate"`
}

// Row is one objective of the report.
type Row struct {
	Measure      string  `json:"measure"`
	Target       string  `json:"target"`
	Organisation string  `json:"organisation"`
	Percent      float64 `json:"percent"`
	PromisedMs   int     `json:"promised-ms"`
	Burns        []Burn  `json:"burns"`
	BudgetLeft   float64 `json:"budget-left"`   // BudgetLeft is the share of the budget not used, below 0 when overdrawn.
	HoursLeft    float64 `json:"hours-left"`    // HoursLeft is the time until the budget is used up, or -1 where it is not being used up.
	Observed     int     `json:"observed-mins"` // Observed is the number of minutes with counts.
}

// Report is the whole report, the worst objective first.
type Report struct {
	Rows      []Row    `json:"rows"`
	Processes []string `json:"processes"`
	Missing   []string `json:"missing"`
}

type key struct {
	measure, target, organisation string
	percent                       float64
	promisedMs                    int
}

// Build merges the counts of all processes. Missing names the processes whose
// counts could not be had, so that a partial report is seen to be one.
func Build(histories []messenger.BurnHistory, missing []string) Report {
	merged := map[key]map[int]messenger.BurnBucket{}
	report := Report{Missing: slices.Sorted(slices.Values(missing))}
	for _, history := range histories {
		report.Processes = append(report.Processes, history.Process)
		for _, series := range history.Series {
			merge(merged, series)
		}
	}
	slices.Sort(report.Processes)
	for k, buckets := range merged {
		report.Rows = append(report.Rows, row(k, buckets))
	}
	slices.SortFunc(report.Rows, worstFirst)
	return report
}

func merge(merged map[key]map[int]messenger.BurnBucket, series messenger.BurnSeries) {
	k := key{series.Measure, series.Target, series.Organisation, series.Percent, series.PromisedMs}
	if merged[k] == nil {
		merged[k] = map[int]messenger.BurnBucket{}
	}
	for _, b := range series.Buckets {
		sum := merged[k][b.AgeMinutes]
		merged[k][b.AgeMinutes] = messenger.BurnBucket{AgeMinutes: b.AgeMinutes, Total: sum.Total + b.Total, Bad: sum.Bad + b.Bad}
	}
}

func row(k key, buckets map[int]messenger.BurnBucket) Row {
	r := Row{Measure: k.measure, Target: k.target, Organisation: k.organisation, Percent: k.percent, PromisedMs: k.promisedMs, Observed: len(buckets), HoursLeft: -1}
	allowed := 1 - k.percent/100
	for _, window := range Windows {
		burn := Burn{Window: window.Name}
		for age, b := range buckets {
			if age < window.Minutes {
				burn.Total += b.Total
				burn.Bad += b.Bad
			}
		}
		if burn.Total > 0 && allowed > 0 {
			burn.Rate = burn.Bad / burn.Total / allowed
		}
		r.Burns = append(r.Burns, burn)
	}
	period := r.Burns[len(r.Burns)-1]
	r.BudgetLeft = 1 - period.Rate
	rate := r.Burns[rateWindow].Rate
	if rate > 0 {
		r.HoursLeft = max(0, r.BudgetLeft) * float64(Windows[len(Windows)-1].Minutes) / 60 / rate
	}
	return r
}

func worstFirst(a, b Row) int {
	return cmp.Or(
		cmp.Compare(a.BudgetLeft, b.BudgetLeft), cmp.Compare(b.Burns[rateWindow].Rate, a.Burns[rateWindow].Rate),
		cmp.Compare(a.Measure, b.Measure), cmp.Compare(a.Target, b.Target), cmp.Compare(a.Organisation, b.Organisation),
		cmp.Compare(a.Percent, b.Percent), cmp.Compare(a.PromisedMs, b.PromisedMs),
	)
}
