package tracker

import (
	"testing"
	"time"

	"papayaseam/internal/messenger"

	"gotest.tools/v3/assert"
)

// TestOvertakenReportIsIgnored guards against a head that counts as gone from its group,
// since the answer to an earlier call arrives after that to a later one. The probe of an
// endpoint and the call after an order may overtake each other.
func TestOvertakenReportIsIgnored(t *testing.T) {
	tr := New()
	tr.Update(AnnounceMsg{Now: time.Second, Endpoint: view("i-1", 5, 1, "a:1")})
	tr.Update(ReportMsg{Now: 2 * time.Second, ID: "i-1", BootTime: 5, Report: messenger.EndpointReport{Group: "large/7", Epoch: 7, State: "ready", Orders: 4}})
	tr.Update(ReportMsg{Now: 2*time.Second + 50*time.Millisecond, ID: "i-1", BootTime: 5, Report: messenger.EndpointReport{Orders: 3}})
	e, _ := tr.Endpoint("i-1")
	assert.Equal(t, e.Report.Group, "large/7")
	assert.Equal(t, e.Report.Orders, 4)
}
