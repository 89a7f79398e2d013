package director

import (
	"encoding/json"
	"testing"
	"time"

	"papayaseam/internal/messenger"

	"gotest.tools/v3/assert"
)

// TestServedSharesOfAllEntries guards against shares that mix services, that last
// beyond their windows, or that an impossible number distorts.
func TestServedSharesOfAllEntries(t *testing.T) {
	var m servedMeter
	at := time.Minute
	for _, report := range []messenger.DemandReport{
		{Service: "writers", Model: "large", Asked: 30, Sent: 10},
		{Service: "writers", Model: "small", Asked: 10, Sent: 10},
		{Service: "painters", Model: "m", Asked: 8, Sent: 9},
		{Service: "painters", Model: "m", Asked: -1000, Sent: 5},
		{Service: "painters", Model: "m", Asked: 1 << 40, Sent: 5},
		{Service: "desk", WorkMs: 500},
	} {
		m.add(at, report)
	}
	want := []messenger.ServedShare{{Service: "painters", Fraction: 1}, {Service: "writers", Fraction: 0.5}}
	assert.DeepEqual(t, m.shares(at), want)
	at += demandWindow + time.Millisecond
	assert.DeepEqual(t, m.shares(at), want)
	m.add(at, messenger.DemandReport{Service: "writers", Model: "large", Asked: 40})
	assert.DeepEqual(t, m.shares(at)[1], messenger.ServedShare{Service: "writers", Fraction: 0.25})
	assert.Equal(t, len(m.shares(at+3*demandWindow)), 0)
}

// TestNothingOfServedSharesIsSentWhereNothingIsRationed guards against longer messages in
// deployments without priorities.
func TestNothingOfServedSharesIsSentWhereNothingIsRationed(t *testing.T) {
	var m servedMeter
	m.add(time.Second, messenger.DemandReport{Service: "writers", Model: "m", WorkMs: 2})
	data, err := json.Marshal(messenger.Confirmation{Confirmed: true, Served: m.shares(time.Second)})
	assert.NilError(t, err)
	assert.Equal(t, string(data), `{"confirmed":true}`)
	data, err = json.Marshal(messenger.DemandReport{Service: "writers", Model: "m", WorkMs: 2})
	assert.NilError(t, err)
	assert.Equal(t, string(data), `{"model":"m","service":"writers","work-ms":2}`)
}

// TestCountsReachTheLeaderThroughARelay guards against a relay that drops or repeats the
// counts of its entries, also where a digest is lost.
func TestCountsReachTheLeaderThroughARelay(t *testing.T) {
	relay := &Director{collector: newCollector(), fleet: newFleet()}
	report := messenger.DemandReport{Service: "writers", Model: "m", WorkMs: 7, Asked: 3, Sent: 2}
	relay.addDemand([]messenger.DemandReport{report})
	relay.addDemand([]messenger.DemandReport{report})
	lost := relay.drainDigest()
	assert.DeepEqual(t, lost.Demand, []messenger.DemandReport{{Service: "writers", Model: "m", WorkMs: 14, Asked: 6, Sent: 4}})
	assert.Equal(t, len(relay.drainDigest().Demand), 0)
	relay.requeueDigest(lost)
	assert.DeepEqual(t, relay.drainDigest().Demand, lost.Demand)
}
