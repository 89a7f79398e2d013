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
	assert.Assert(t, !tr.Update(ReportMsg{Now: 2 * time.Second, ID: "a", BootTime: 4, Report: messenger.EndpointReport{Group: "g"}}))
	assert.Assert(t, tr.Update(ReportMsg{Now: 2 * time.Second, ID: "a", BootTime: 5, Report: messenger.EndpointReport{Group: "g"}}))
}

func TestLateAnnouncementDoesNotOverrideAReport(t *testing.T) {
	tr := New()
	tr.Update(announce("a", 5, 1, "x:1"))
	tr.Update(ReportMsg{Now: 2 * time.Second, ID: "a", BootTime: 5, Report: messenger.EndpointReport{Group: "new", Orders: 7}})
	late := announce("a", 5, 2, "x:1")
	late.Now = 2500 * time.Millisecond
	late.Report = &messenger.EndpointReport{Group: "old"}
	tr.Update(late)
	e, _ := tr.Endpoint("a")
	assert.Equal(t, e.Report.Group, "new")
	late.Now = 8 * time.Second
	late.Endpoint.Sequence = 3
	tr.Update(late)
	e, _ = tr.Endpoint("a")
	assert.Equal(t, e.Report.Group, "old")
	assert.Equal(t, e.Report.Orders, 7, "announcements do not count orders")
}

func TestLeavingBootNeverBecomesReadyAgain(t *testing.T) {
	tr := New()
	tr.Update(announce("a", 5, 1, "x:1"))
	assert.Assert(t, tr.Update(LeaveMsg{ID: "a", BootTime: 5}))
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
	tr.Update(CallFailedMsg{CalledAt: 2 * time.Second, ID: "a", BootTime: 5})
	e, _ := tr.Endpoint("a")
	assert.Equal(t, e.FailingSince, 2*time.Second)
	assert.Assert(t, !tr.Update(ExpireMsg{Now: 5 * time.Second, MaxSilence: 10 * time.Second}))
	assert.Assert(t, tr.Update(ExpireMsg{Now: 12 * time.Second, MaxSilence: 10 * time.Second}))
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
				tr.Update(LeaveMsg{ID: id, BootTime: born})
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

// told returns an announcement of a membership.
func told(sequence int, at time.Duration, group string, epoch int, state string) AnnounceMsg {
	msg := announce("a", 5, sequence, "x:1")
	msg.Now = at
	msg.Report = &messenger.EndpointReport{Group: group, Epoch: epoch, State: state}
	return msg
}

func asked(at time.Duration, group string, epoch int, state string) ReportMsg {
	return ReportMsg{Now: at, ID: "a", BootTime: 5, Report: messenger.EndpointReport{Group: group, Epoch: epoch, State: state, Orders: 3}}
}

func TestAnnouncedChangeGoesBeforeALaggingReport(t *testing.T) {
	tr := New()
	tr.Update(told(1, time.Second, "g", 7, "joining"))
	tr.Update(asked(1100*time.Millisecond, "g", 7, "joining"))
	assert.Assert(t, tr.Update(told(2, 1200*time.Millisecond, "g", 7, "ready")), "taken at once")
	tr.Update(asked(1300*time.Millisecond, "g", 7, "joining"))
	e, _ := tr.Endpoint("a")
	assert.Equal(t, e.Report.State, "ready", "the report is of before the change")
	assert.Assert(t, tr.Update(told(3, 1400*time.Millisecond, "", 0, "")), "it has left")
	tr.Update(asked(1500*time.Millisecond, "g", 7, "ready"))
	e, _ = tr.Endpoint("a")
	assert.Equal(t, e.Report.Group, "")
	tr.Update(asked(3*time.Second, "g", 7, "ready"))
	e, _ = tr.Endpoint("a")
	assert.Equal(t, e.Report.Group, "g", "a report of a while later stands")
}

func TestLateAnnouncementFromBeforeAMembershipDoesNotEndIt(t *testing.T) {
	tr := New()
	tr.Update(told(1, time.Second, "", 0, ""))
	tr.Update(asked(2*time.Second, "g", 7, "open"))
	tr.Update(told(2, 2100*time.Millisecond, "", 0, ""))
	tr.Update(told(3, 4*time.Second, "f", 6, "ready"))
	e, _ := tr.Endpoint("a")
	assert.Equal(t, e.Report.Group, "g", "they were sent before it joined")
	assert.Equal(t, e.Report.State, "open")
}

func TestBegunOrdersCountAheadOfReports(t *testing.T) {
	tr := New()
	tr.Update(told(1, time.Second, "", 0, ""))
	tr.Update(asked(time.Second, "g", 7, "ready"))
	tr.Update(OrderStartedMsg{Now: 1100 * time.Millisecond, ID: "a", BootTime: 5})
	tr.Update(OrderStartedMsg{Now: 1100 * time.Millisecond, ID: "a", BootTime: 4})
	tr.Update(asked(1200*time.Millisecond, "g", 7, "ready"))
	e, _ := tr.Endpoint("a")
	assert.Equal(t, e.Report.Orders, 4)
	tr.Update(asked(3*time.Second, "g", 7, "ready"))
	e, _ = tr.Endpoint("a")
	assert.Equal(t, e.Report.Orders, 3, "a report of a while later stands")
}

// TestMembershipHistories lets one endpoint join and leave groups while its
// announcements come late, doubled or never and its reports lag: the table
// never shows that it left a membership that it is still in, nor a state that
// the membership had not reached.
func TestMembershipHistories(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const lag, latest = 200 * time.Millisecond, 3 * time.Second
		tr := New()
		past := []membership{{}}
		since := []time.Duration{0}
		var sent []AnnounceMsg
		var now time.Duration
		sequence, epoch := 0, 0
		tell := func(now time.Duration, m membership) {
			sequence++
			sent = append(sent, told(sequence, now, m.group, m.epoch, m.state))
		}
		tell(0, past[0])
		tr.Update(sent[0])
		for range rapid.IntRange(1, 120).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(1, 400).Draw(t, "ms")) * time.Millisecond
			current := past[len(past)-1]
			switch rapid.IntRange(0, 3).Draw(t, "action") {
			case 0:
				current = nextMembership(t, current, &epoch)
				past, since = append(past, current), append(since, now)
				tell(now, current)
			case 1:
				tell(now, current)
			case 2:
				i := len(past) - 1
				for i > 0 && since[i] > now-lag {
					i--
				}
				tr.Update(asked(now, past[i].group, past[i].epoch, past[i].state))
			case 3:
				late := sent[rapid.IntRange(0, len(sent)-1).Draw(t, "which")]
				if now-late.Now > latest {
					continue
				}
				late.Now = now
				before, _ := tr.Endpoint("a")
				tr.Update(late)
				after, _ := tr.Endpoint("a")
				was, is := membershipOf(before.Report), membershipOf(after.Report)
				if was.epoch != 0 && is.epoch < was.epoch && past[len(past)-1].epoch == was.epoch {
					t.Fatalf("an announcement ended %v, which stands", was)
				}
				if is != was && is.epoch != 0 && !reached(past, is) {
					t.Fatalf("the table shows %v, which never was", is)
				}
			}
		}
	})
}

func nextMembership(t *rapid.T, m membership, epoch *int) membership {
	switch {
	case m.epoch == 0 || rapid.IntRange(0, 5).Draw(t, "join") == 0:
		*epoch++
		return membership{fmt.Sprintf("g%d", *epoch), *epoch, "joining"}
	case rapid.IntRange(0, 3).Draw(t, "leave") == 0:
		return membership{}
	case m.state == "joining":
		m.state = "ready"
	case m.state == "ready":
		m.state = "open"
	case m.state == "open":
		m.state = "closing"
	default:
		m.state = "ready"
	}
	return m
}

func reached(past []membership, m membership) bool {
	for _, p := range past {
		if p == m {
			return true
		}
	}
	return false
}
