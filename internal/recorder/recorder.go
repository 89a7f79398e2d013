// Package recorder counts in each process what the burn report needs: good and
// bad by objective, minute by minute, for a bounded time.
//
// # Usage
//
//	r := recorder.New()
//	r.Note(now, recorder.Series{Measure: recorder.MeasureRequests, Target: "verse-8b", Percent: 95}, 1, 0)
//	history := r.History(now, "entry-1")
//
// Minutes are told by their age, so that no two processes need the same clock.
package recorder

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"papayaseam/internal/messenger"
)

// Measures that an objective can be about.
const (
	MeasureRequests = "requests"       // MeasureRequests counts requests.
	MeasureDowntime = "group-downtime" // MeasureDowntime counts milliseconds of wanted groups.
	MeasureStranded = "stranded"       // MeasureStranded counts milliseconds of accelerators.
)

// RetentionMinutes is how long the counts are kept.
const RetentionMinutes = 3 * 24 * 60

// Series names one objective as it was judged.
type Series struct {
	Measure      string
	Target       string
	Organisation string
	Percent      float64
	PromisedMs   int
}

type bucket struct{ total, bad float64 }

// Recorder holds the counts. It is safe for concurrent use.
type Recorder struct {
	mu     sync.Mutex
	series map[Series]map[int]bucket
}

// New returns a recorder without counts.
func New() *Recorder { return &Recorder{series: map[Series]map[int]bucket{}} }

// Add adds to the minute of a moment.
func (r *Recorder) Add(now time.Duration, series Series, total, bad float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	minutes, ok := r.series[series]
	if !ok {
		minutes = map[int]bucket{}
		r.series[series] = minutes
	}
	minute := int(now / time.Minute)
	b := minutes[minute]
	minutes[minute] = bucket{b.total + total, b.bad + bad}
	if len(minutes) > RetentionMinutes {
		delete(minutes, slices.Min(keys(minutes)))
	}
}

func keys(minutes map[int]bucket) []int {
	list := make([]int, 0, len(minutes))
	for minute := range minutes {
		list = append(list, minute)
	}
	return list
}

// History returns all counts with their age.
func (r *Recorder) History(now time.Duration, process string) messenger.BurnHistory {
	r.mu.Lock()
	defer r.mu.Unlock()
	history := messenger.BurnHistory{Process: process}
	for series, minutes := range r.series {
		list := keys(minutes)
		slices.Sort(list)
		out := messenger.BurnSeries{
			Measure: series.Measure, Target: series.Target, Organisation: series.Organisation,
			Percent: series.Percent, PromisedMs: series.PromisedMs,
		}
		for _, minute := range list {
			b := minutes[minute]
			out.Buckets = append(out.Buckets, messenger.BurnBucket{AgeMinutes: int(now/time.Minute) - minute, Total: b.total, Bad: b.bad})
		}
		history.Series = append(history.Series, out)
	}
	slices.SortFunc(history.Series, compareSeries)
	return history
}

func compareSeries(a, b messenger.BurnSeries) int {
	return cmp.Or(
		cmp.Compare(a.Measure, b.Measure), cmp.Compare(a.Target, b.Target), cmp.Compare(a.Organisation, b.Organisation),
		cmp.Compare(a.Percent, b.Percent), cmp.Compare(a.PromisedMs, b.PromisedMs),
	)
}
