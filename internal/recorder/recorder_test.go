package recorder

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestHistorySumsEachMinuteAndGivesItsAge guards against counts that land in the
// wrong minute or are lost when a minute gets several.
func TestHistorySumsEachMinuteAndGivesItsAge(t *testing.T) {
	r := New()
	series := Series{Measure: MeasureRequests, Target: "m", Percent: 99}
	r.Add(10*time.Second, series, 1, 0)
	r.Add(30*time.Second, series, 1, 1)
	r.Add(5*time.Minute, series, 1, 0)
	history := r.History(6*time.Minute, "e")
	buckets := history.Series[0].Buckets
	assert.Equal(t, len(buckets), 2)
	assert.Equal(t, buckets[0].AgeMinutes, 6)
	assert.Equal(t, buckets[0].Total, 2.0)
	assert.Equal(t, buckets[0].Bad, 1.0)
	assert.Equal(t, buckets[1].AgeMinutes, 1)
}

// TestOldMinutesAreDropped guards against memory use that grows with uptime.
func TestOldMinutesAreDropped(t *testing.T) {
	r := New()
	series := Series{Target: "m"}
	for minute := range RetentionMinutes + 10 {
		r.Add(time.Duration(minute)*time.Minute, series, 1, 0)
	}
	assert.Equal(t, len(r.History(0, "e").Series[0].Buckets), RetentionMinutes)
}
