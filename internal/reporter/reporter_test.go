package reporter

import (
	"bytes"
	"testing"

	"papayaseam/internal/messenger"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"
)

// outage is worked out by hand: 1000 requests an hour ago with 50 late, and an
// outage of 20 of 100 in the last minutes, at two entries.
func outage() []messenger.BurnHistory {
	series := func(target, organisation string, percent float64, buckets ...messenger.BurnBucket) messenger.BurnSeries {
		return messenger.BurnSeries{Measure: "requests", Target: target, Organisation: organisation, Percent: percent, PromisedMs: 740, Buckets: buckets}
	}
	return []messenger.BurnHistory{
		{Process: "entry-1", Series: []messenger.BurnSeries{
			series("verse-8b", "chart-desk", 95, messenger.BurnBucket{AgeMinutes: 100, Total: 1000, Bad: 50}, messenger.BurnBucket{AgeMinutes: 2, Total: 60, Bad: 15}),
			series("orders", "", 99, messenger.BurnBucket{AgeMinutes: 30, Total: 200}),
		}},
		{Process: "entry-2", Series: []messenger.BurnSeries{
			series("verse-8b", "chart-desk", 95, messenger.BurnBucket{AgeMinutes: 2, Total: 40, Bad: 5}),
		}},
		{Process: "control-1", Series: []messenger.BurnSeries{
			{Measure: "group-downtime", Target: "verse-8b", Percent: 99.5, Buckets: []messenger.BurnBucket{{AgeMinutes: 2, Total: 180_000, Bad: 9_000}, {AgeMinutes: 3, Total: 180_000}}},
		}},
	}
}

func TestBurnIsAsWorkedOutByHand(t *testing.T) {
	report := Build(outage(), nil)
	var verses Row
	for _, r := range report.Rows {
		if r.Target == "verse-8b" && r.Measure == "requests" {
			verses = r
		}
	}
	near := func(got, want float64) {
		assert.Assert(t, got > want-1e-9 && got < want+1e-9, "%v is not %v", got, want)
	}
	near(verses.Burns[0].Rate, 0.2/0.05)
	near(verses.Burns[1].Rate, 0.2/0.05)
	near(verses.Burns[2].Rate, 70.0/1100/0.05)
	near(verses.BudgetLeft, 1-70.0/1100/0.05)
}

func TestReportAsText(t *testing.T) {
	var out bytes.Buffer
	assert.NilError(t, WriteText(&out, Build(outage(), []string{"entry-3"})))
	golden.Assert(t, out.String(), "burn.txt")
}

func TestReportAsJSON(t *testing.T) {
	var out bytes.Buffer
	assert.NilError(t, WriteJSON(&out, Build(outage(), nil)))
	golden.Assert(t, out.String(), "burn.json")
}

func TestReportAsPage(t *testing.T) {
	var out bytes.Buffer
	assert.NilError(t, WriteHTML(&out, Build(outage(), nil)))
	golden.Assert(t, out.String(), "burn.html")
}

func TestEmptyReportNamesTheRemedy(t *testing.T) {
	var out bytes.Buffer
	assert.NilError(t, WriteText(&out, Build(nil, nil)))
	golden.Assert(t, out.String(), "empty.txt")
	assert.NilError(t, WriteHTML(&out, Build(nil, nil)))
}
