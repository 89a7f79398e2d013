package tracker

import (
	"fmt"
	"testing"
	"time"

	"papayaseam/internal/messenger"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

func view(id string, born, sequence int, address string) messenger.EndpointView {
	return messenger.EndpointView{Instance: id, Born: born, Sequence: sequence, Address: address, Service: "s"}
}

func announce(id string, born, sequence int, address string) AnnounceMsg {
	return AnnounceMsg{Now: time.Second, Endpoint: view(id, born, sequence, address)}
}

func TestDoubledAndLateAnnouncementsChangeNothing(t *testing.T) {
	tr := New()
	assert.Assert(t, tr.Update(announce("a", 5, 2, "x:1")))
	assert.Assert(t, !tr.Update(announce("a", 5, 2, "x:1")))
	assert.Assert(t, !tr.Update(announce("a", 5, 1, "y:1")))
	assert.Assert(t, !tr.Update(announce("a", 4, 9, "y:1")), "an earlier boot")
	e, _ := tr.Endpoint("a")
	assert.Equal(t, e.View.Address, "x:1")
}

func TestLaterBootTakesTheAddress(t *testing.T) {
	tr := New()
	tr.Update(announce("a", 5, 1, "x:1"))
	assert.Assert(t, tr.Update(announce("b", 6, 1, "x:1")))
	_, stands := tr.Endpoint("a")
	assert.Assert(t, !stands)
	assert.Assert(t, !tr.Update(announce("a", 5, 2, "x:1")), "a late word of the earlier boot")
}

func TestReportsOfAnotherBootAreNotTaken(t *testing.T) {
	tr := New()
	tr.Update(announce("a", 5, 1, "x:1"))
	assert.Assert(t, !tr.Update(ReportMsg{Now: 2 * time.Second, ID: "a", Born: 4, Report: messenger.EndpointReport{Group: "g"}}))
	assert.Assert(t, tr.Update(ReportMsg{Now: 2 * time.Second, ID: "a", Born: 5, Report: messenger.EndpointReport{Group: "g"}}))
}

func TestLateAnnouncementDoesNotOverrideAReport(t *testing.T) {
	tr := New()
	tr.Update(announce("a", 5, 1, "x:1"))
	tr.Update(ReportMsg{Now: 2 * time.Second, ID: "a", Born: 5, Report: messenger.EndpointReport{Group: "new", Orders: 7}})
	late := announce("a", 5, 2, "x:1")
	late.Now = 2500 * time.Millisecond
	late.Report = &messenger.EndpointReport{Group: "old"}
	tr.Update(late)
	e, _ := tr.Endpoint("a")
	assert.Equal(t, e.Report.Group, "new")
	late.Now = 4 * time.Second
	late.Endpoint.Sequence = 3
	tr.Update(late)
	e, _ = tr.Endpoint("a")
	assert.Equal(t, e.Report.Group, "old")
	assert.Equal(t, e.Report.Orders, 7, "announcements do not count orders")
}

func TestLeavingBootNeverBecomesReadyAgain(t *testing.T) {
	tr := New()
	tr.Update(announce("a", 5, 1, "x:1"))
	assert.Assert(t, tr.Update(LeaveMsg{ID: "a", Born: 5}))
	tr.Update(announce("a", 5, 2, "x:1"))
	e, _ := tr.Endpoint("a")
	assert.Assert(t, e.View.Leaving)
	assert.Assert(t, tr.Update(announce("a", 6, 1, "x:1")), "the next boot is another matter")
	e, _ = tr.Endpoint("a")
	assert.Assert(t, !e.View.Leaving)
}

func TestSilentEndpointsAreForgotten(t *testing.T) {
	tr := New()
	tr.Update(announce("a", 5, 1, "x:1"))
	tr.Update(FailedMsg{Began: 2 * time.Second, ID: "a", Born: 5})
	e, _ := tr.Endpoint("a")
	assert.Equal(t, e.Failing, 2*time.Second)
	assert.Assert(t, !tr.Update(ForgetMsg{Now: 5 * time.Second, After: 10 * time.Second}))
	assert.Assert(t, tr.Update(ForgetMsg{Now: 12 * time.Second, After: 10 * time.Second}))
	assert.Equal(t, len(tr.Endpoints()), 0)
}

// TestAnnouncementHistories delivers the words of many boots late, doubled and
// out of order: no address is ever held twice, and no boot is followed by an
// earlier one.
func TestAnnouncementHistories(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tr := New()
		newest := map[string]int{}
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			id := fmt.Sprintf("e%d", rapid.IntRange(0, 3).Draw(t, "id"))
			born := rapid.IntRange(1, 5).Draw(t, "born")
			switch rapid.IntRange(0, 4).Draw(t, "action") {
			case 0:
				tr.Update(LeaveMsg{ID: id, Born: born})
			default:
				tr.Update(announce(id, born, rapid.IntRange(1, 9).Draw(t, "sequence"), fmt.Sprintf("x:%d", rapid.IntRange(0, 2).Draw(t, "address"))))
			}
			addresses := map[string]string{}
			for _, e := range tr.Endpoints() {
				if other, held := addresses[e.View.Address]; held {
					t.Fatalf("%s and %s hold one address", other, e.View.Instance)
				}
				addresses[e.View.Address] = e.View.Instance
				if e.View.Born < newest[e.View.Instance] {
					t.Fatalf("%s went back to an earlier boot", e.View.Instance)
				}
				newest[e.View.Instance] = e.View.Born
			}
		}
	})
}
