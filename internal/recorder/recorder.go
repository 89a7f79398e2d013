// Package recorder keeps the counts that error budget burn rates are computed from:
// for each objective the total and the bad amount per minute, for a bounded time.
// Every process keeps its own.
//
// # Usage
//
//	r := recorder.New()
//	r.Add(now, recorder.Series{Measure: recorder.MeasureRequests, Target: "verse-8b", Percent: 95}, 1, 0)
//	history := r.History(now, "entry-1")
//
// A history gives the age of each minute and not its time, so that processes need
// no synchronised clocks.
package recorder

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"papayaseam/internal/messenger"
)

// The measures that an objective can be set for.
const (
	MeasureRequests = "requests"       // MeasureRequests counts requests.
	MeasureDowntime = "group-downtime" // MeasureDowntime counts milliseconds of the groups that should run.
	MeasureStranded = "stranded"       // MeasureStranded counts milliseconds of accelerators.
)

// RetentionMinutes is the number of minutes with counts kept for each series.
const RetentionMinutes = 3 * 24 * 60

// Series identifies an objective, with the values that were in force when its
// counts were recorded.
type Series struct {
	Measure      string
	Target       string
	Organisation string
	Percent      float64
	PromisedMs   int
}

// bucket holds the counts of one minute.
type bucket struct{ total, bad float64 }

// Recorder holds the counts. It is safe for concurrent use.
type Recorder struct {
	mu     sync.Mutex
	series map[Series]map[int]bucket // series maps each series to its buckets by minute of the clock.
}

// New returns a Recorder without counts.
func New() *Recorder { return &Recorder{series: map[Series]map[int]bucket{}} }

// Add adds to the counts of the minute that contains now.
func (r *Recorder) Add(now time.Duration, series Series, total, bad float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	minutes, ok := r.series[series]
	if !ok {
		minutes = map[int]bucket{}
		r.series[series] = minutes
	}
	minute := int(now / time.Minute)
	previous := minutes[minute]
	minutes[minute] = bucket{previous.total + total, previous.bad + bad}
	if len(minutes) > RetentionMinutes {
		delete(minutes, slices.Min(minuteKeys(minutes)))
	}
}

// minuteKeys returns the minutes that have a bucket, in no particular order.
func minuteKeys(minutes map[int]bucket) []int {
	minuteList := make([]int, 0, len(minutes))
	for minute := range minutes {
		minuteList = append(minuteList, minute)
	}
	return minuteList
}

// History returns all counts under the name of the process. The age of a bucket is
// in minutes before now.
func (r *Recorder) History(now time.Duration, process string) messenger.BurnHistory {
	r.mu.Lock()
	defer r.mu.Unlock()
	history := messenger.BurnHistory{Process: process}
	for series, minutes := range r.series {
		sorted := minuteKeys(minutes)
		slices.Sort(sorted)
		encoded := messenger.BurnSeries{
			Measure: series.Measure, Target: series.Target, Organisation: series.Organisation,
			Percent: series.Percent, PromisedMs: series.PromisedMs,
		}
		for _, minute := range sorted {
			b := minutes[minute]
			encoded.Buckets = append(encoded.Buckets, messenger.BurnBucket{AgeMinutes: int(now/time.Minute) - minute, Total: b.total, Bad: b.bad})
		}
		history.Series = append(history.Series, encoded)
	}
	slices.SortFunc(history.Series, compareSeries)
	return history
}

// compareSeries orders series by all fields of their identity.
func compareSeries(a, b messenger.BurnSeries) int {
	return cmp.Or(
		cmp.Compare(a.Measure, b.Measure), cmp.Compare(a.Target, b.Target), cmp.Compare(a.Organisation, b.Organisation),
		cmp.Compare(a.Percent, b.Percent), cmp.Compare(a.PromisedMs, b.PromisedMs),
	)
}
