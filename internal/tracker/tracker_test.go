package tracker

import (
	"fmt"
	"testing"
	"time"

	"papayaseam/internal/messenger"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

func view(id string, bootTime, sequence int, address string) messenger.EndpointView {
	return messenger.EndpointView{Instance: id, Born: bootTime, Sequence: sequence, Address: address, Service: "s"}
}

func announce(id string, bootTime, sequence int, address string) AnnounceMsg {
	return AnnounceMsg{Now: time.Second, Endpoint: view(id, bootTime, sequence, address)}
}

func TestDuplicatedAndDelayedAnnouncementsAreIgnored(t *testing.T) {
	tr := New()
	assert.Assert(t, tr.Update(announce("a", 5, 2, "x:1")))
	assert.Assert(t, !tr.Update(announce("a", 5, 2, "x:1")))
	assert.Assert(t, !tr.Update(announce("a", 5, 1, "y:1")))
	assert.Assert(t, !tr.Update(announce("a", 4, 9, "y:1")), "the announcement is from an earlier boot")
	e, _ := tr.Endpoint("a")
	assert.Equal(t, e.View.Address, "x:1")
}

func TestLaterBootClaimsTheAddress(t *testing.T) {
	tr := New()
	tr.Update(announce("a", 5, 1, "x:1"))
	assert.Assert(t, tr.Update(announce("b", 6, 1, "x:1")))
	_, known := tr.Endpoint("a")
	assert.Assert(t, !known)
	assert.Assert(t, !tr.Update(announce("a", 5, 2, "x:1")), "the announcement is from the replaced boot")
}

func TestReportsOfAnotherBootAreIgnored(t *testing.T) {
	tr := New()
	tr.Update(announce("a", 5, 1, "x:1"))
	assert.Assert(t, !tr.Update(ReportMsg{Now: 2 * time.Second, ID: "a", BootTime: 4, Report: messenger.EndpointReport{Group: "g"}}))
	assert.Assert(t, tr.Update(ReportMsg{Now: 2 * time.Second, ID: "a", BootTime: 5, Report: messenger.EndpointReport{Group: "g"}}))
}

func TestDelayedAnnouncementDoesNotOverrideAReport(t *testing.T) {
	tr := New()
	tr.Update(announce("a", 5, 1, "x:1"))
	tr.Update(ReportMsg{Now: 2 * time.Second, ID: "a", BootTime: 5, Report: messenger.EndpointReport{Group: "new", Orders: 7}})
	delayed := announce("a", 5, 2, "x:1")
	delayed.Now = 2500 * time.Millisecond
	delayed.Report = &messenger.EndpointReport{Group: "old"}
	tr.Update(delayed)
	e, _ := tr.Endpoint("a")
	assert.Equal(t, e.Report.Group, "new")
	delayed.Now = 8 * time.Second
	delayed.Endpoint.Sequence = 3
	tr.Update(delayed)
	e, _ = tr.Endpoint("a")
	assert.Equal(t, e.Report.Group, "old")
	assert.Equal(t, e.Report.Orders, 7, "announcements carry no count of orders")
}

func TestLeavingBootStaysLeaving(t *testing.T) {
	tr := New()
	tr.Update(announce("a", 5, 1, "x:1"))
	assert.Assert(t, tr.Update(LeaveMsg{ID: "a", BootTime: 5}))
	tr.Update(announce("a", 5, 2, "x:1"))
	e, _ := tr.Endpoint("a")
	assert.Assert(t, e.View.Leaving)
	assert.Assert(t, tr.Update(announce("a", 6, 1, "x:1")), "the next boot is not leaving")
	e, _ = tr.Endpoint("a")
	assert.Assert(t, !e.View.Leaving)
}

func TestSilentEndpointsExpire(t *testing.T) {
	tr := New()
	tr.Update(announce("a", 5, 1, "x:1"))
	tr.Update(CallFailedMsg{CalledAt: 2 * time.Second, ID: "a", BootTime: 5})
	e, _ := tr.Endpoint("a")
	assert.Equal(t, e.FailingSince, 2*time.Second)
	assert.Assert(t, !tr.Update(ExpireMsg{Now: 5 * time.Second, MaxSilence: 10 * time.Second}))
	assert.Assert(t, tr.Update(ExpireMsg{Now: 12 * time.Second, MaxSilence: 10 * time.Second}))
	assert.Equal(t, len(tr.Endpoints()), 0)
}

// TestAnnouncementHistories delivers announcements of many boots delayed,
// duplicated and out of order. It guards against two endpoints with the same
// address and against an earlier boot replacing a later one.
func TestAnnouncementHistories(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tr := New()
		latestBoots := map[string]int{}
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			id := fmt.Sprintf("e%d", rapid.IntRange(0, 3).Draw(t, "id"))
			bootTime := rapid.IntRange(1, 5).Draw(t, "born")
			switch rapid.IntRange(0, 4).Draw(t, "action") {
			case 0:
				tr.Update(LeaveMsg{ID: id, BootTime: bootTime})
			default:
				tr.Update(announce(id, bootTime, rapid.IntRange(1, 9).Draw(t, "sequence"), fmt.Sprintf("x:%d", rapid.IntRange(0, 2).Draw(t, "address"))))
			}
			addresses := map[string]string{}
			for _, e := range tr.Endpoints() {
				if other, used := addresses[e.View.Address]; used {
					t.Fatalf("%s and %s have the same address", other, e.View.Instance)
				}
				addresses[e.View.Address] = e.View.Instance
				if e.View.Born < latestBoots[e.View.Instance] {
					t.Fatalf("an earlier boot of %s replaced a later one", e.View.Instance)
				}
				latestBoots[e.View.Instance] = e.View.Born
			}
		}
	})
}

// announceMembership returns an announcement of endpoint a with a membership.
func announceMembership(sequence int, at time.Duration, group string, epoch int, state string) AnnounceMsg {
	msg := announce("a", 5, sequence, "x:1")
	msg.Now = at
	msg.Report = &messenger.EndpointReport{Group: group, Epoch: epoch, State: state}
	return msg
}

// reportMembership returns a report of endpoint a with a membership.
func reportMembership(at time.Duration, group string, epoch int, state string) ReportMsg {
	return ReportMsg{Now: at, ID: "a", BootTime: 5, Report: messenger.EndpointReport{Group: group, Epoch: epoch, State: state, Orders: 3}}
}

// TestAnnouncedChangeOverridesADelayedReport guards against losing an announced
// membership to a report that was made before the change but arrives after it.
func TestAnnouncedChangeOverridesADelayedReport(t *testing.T) {
	tr := New()
	tr.Update(announceMembership(1, time.Second, "g", 7, "joining"))
	tr.Update(reportMembership(1100*time.Millisecond, "g", 7, "joining"))
	assert.Assert(t, tr.Update(announceMembership(2, 1200*time.Millisecond, "g", 7, "ready")), "the announced state applies at once")
	tr.Update(reportMembership(1300*time.Millisecond, "g", 7, "joining"))
	e, _ := tr.Endpoint("a")
	assert.Equal(t, e.Report.State, "ready", "the report was made before the change")
	assert.Assert(t, tr.Update(announceMembership(3, 1400*time.Millisecond, "", 0, "")), "the endpoint left the group")
	tr.Update(reportMembership(1500*time.Millisecond, "g", 7, "ready"))
	e, _ = tr.Endpoint("a")
	assert.Equal(t, e.Report.Group, "")
	tr.Update(reportMembership(3*time.Second, "g", 7, "ready"))
	e, _ = tr.Endpoint("a")
	assert.Equal(t, e.Report.Group, "g", "a later report applies")
}

// TestAnnouncementFromBeforeAMembershipDoesNotEndIt guards against announcements
// that were sent before an endpoint joined its group and arrive after a report of
// the membership.
func TestAnnouncementFromBeforeAMembershipDoesNotEndIt(t *testing.T) {
	tr := New()
	tr.Update(announceMembership(1, time.Second, "", 0, ""))
	tr.Update(reportMembership(2*time.Second, "g", 7, "open"))
	tr.Update(announceMembership(2, 2100*time.Millisecond, "", 0, ""))
	tr.Update(announceMembership(3, 4*time.Second, "f", 6, "ready"))
	e, _ := tr.Endpoint("a")
	assert.Equal(t, e.Report.Group, "g", "both announcements were sent before the endpoint joined")
	assert.Equal(t, e.Report.State, "open")
}

func TestStartedOrdersCountBeforeReportsIncludeThem(t *testing.T) {
	tr := New()
	tr.Update(announceMembership(1, time.Second, "", 0, ""))
	tr.Update(reportMembership(time.Second, "g", 7, "ready"))
	tr.Update(OrderStartedMsg{Now: 1100 * time.Millisecond, ID: "a", BootTime: 5})
	tr.Update(OrderStartedMsg{Now: 1100 * time.Millisecond, ID: "a", BootTime: 4})
	tr.Update(reportMembership(1200*time.Millisecond, "g", 7, "ready"))
	e, _ := tr.Endpoint("a")
	assert.Equal(t, e.Report.Orders, 4)
	tr.Update(reportMembership(3*time.Second, "g", 7, "ready"))
	e, _ = tr.Endpoint("a")
	assert.Equal(t, e.Report.Orders, 3, "a later report applies")
}

// TestMembershipHistories lets an endpoint join and leave groups while its
// announcements are delayed, duplicated or lost and its reports are stale. It
// guards against a table that ends a current membership, or shows one that the
// endpoint never had.
func TestMembershipHistories(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const reportAge, maxTransit = 200 * time.Millisecond, 3 * time.Second
		tr := New()
		memberships := []membership{{}}
		startTimes := []time.Duration{0}
		var sent []AnnounceMsg
		var now time.Duration
		sequence, epoch := 0, 0
		send := func(now time.Duration, m membership) {
			sequence++
			sent = append(sent, announceMembership(sequence, now, m.group, m.epoch, m.state))
		}
		send(0, memberships[0])
		tr.Update(sent[0])
		for range rapid.IntRange(1, 120).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(1, 400).Draw(t, "ms")) * time.Millisecond
			current := memberships[len(memberships)-1]
			switch rapid.IntRange(0, 3).Draw(t, "action") {
			case 0:
				current = nextMembership(t, current, &epoch)
				memberships, startTimes = append(memberships, current), append(startTimes, now)
				send(now, current)
			case 1:
				send(now, current)
			case 2:
				i := len(memberships) - 1
				for i > 0 && startTimes[i] > now-reportAge {
					i--
				}
				tr.Update(reportMembership(now, memberships[i].group, memberships[i].epoch, memberships[i].state))
			case 3:
				delayed := sent[rapid.IntRange(0, len(sent)-1).Draw(t, "which")]
				if now-delayed.Now > maxTransit {
					continue
				}
				delayed.Now = now
				before, _ := tr.Endpoint("a")
				tr.Update(delayed)
				after, _ := tr.Endpoint("a")
				previous, updated := membershipOf(before.Report), membershipOf(after.Report)
				if previous.epoch != 0 && updated.epoch < previous.epoch && memberships[len(memberships)-1].epoch == previous.epoch {
					t.Fatalf("a delayed announcement ended the current membership %v", previous)
				}
				if updated != previous && updated.epoch != 0 && !contains(memberships, updated) {
					t.Fatalf("the table shows the membership %v, which the endpoint never had", updated)
				}
			}
		}
	})
}

// nextMembership draws the membership that follows m: a new group, no group, or
// the next state in the same group.
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

func contains(memberships []membership, m membership) bool {
	for _, other := range memberships {
		if other == m {
			return true
		}
	}
	return false
}

// TestOnlyALaterBootEndsABoot guards against a boot that counts as ended since its address
// refused calls, as it does behind a cut.
func TestOnlyALaterBootEndsABoot(t *testing.T) {
	tr := New()
	announce := func(sequence int) {
		tr.Update(AnnounceMsg{Now: time.Second, Endpoint: messenger.EndpointView{Instance: "i-1", Born: 5, Address: "a:1", Sequence: sequence}})
	}
	announce(1)
	refused := CallFailedMsg{CalledAt: 2 * time.Second, ID: "i-1", BootTime: 5, Refused: true}
	assert.Assert(t, tr.Update(refused), "the first refusal was not reported as a change")
	refused.CalledAt += time.Second
	assert.Assert(t, !tr.Update(refused))
	e, _ := tr.Endpoint("i-1")
	assert.Assert(t, !e.BootEnded && e.RefusedSince == 2*time.Second, "%+v", e)
	announce(2)
	e, _ = tr.Endpoint("i-1")
	assert.Equal(t, e.RefusedSince, time.Duration(0), "an endpoint that was heard from still counts as refusing")
	assert.Assert(t, tr.Update(LaterBootMsg{ID: "i-1", BootTime: 5}))
	announce(3)
	e, _ = tr.Endpoint("i-1")
	assert.Assert(t, e.BootEnded, "a late announcement revived a boot that was replaced")
}

// TestAnsweredLeaveEndsTheMembership guards against reports that were under way when an
// order to leave was answered, and would put the endpoint back into its group.
func TestAnsweredLeaveEndsTheMembership(t *testing.T) {
	tr := New()
	member := messenger.EndpointReport{Group: "large/7", Epoch: 7, Rank: 1, State: "ready"}
	tr.Update(AnnounceMsg{Now: time.Second, Endpoint: messenger.EndpointView{Instance: "i-1", Born: 5, Address: "a:1", Sequence: 1}, Report: &member})
	assert.Assert(t, !tr.Update(LeftMsg{Now: 2 * time.Second, ID: "i-1", BootTime: 5, Group: "large/6", Epoch: 6}))
	assert.Assert(t, tr.Update(LeftMsg{Now: 2 * time.Second, ID: "i-1", BootTime: 5, Group: "large/7", Epoch: 7}))
	tr.Update(ReportMsg{Now: 2*time.Second + 100*time.Millisecond, ID: "i-1", BootTime: 5, Report: member})
	e, _ := tr.Endpoint("i-1")
	assert.Equal(t, e.Report.Group, "")
	joined := messenger.EndpointReport{Group: "small/9", Epoch: 9, State: "joining"}
	tr.Update(ReportMsg{Now: 2*time.Second + 200*time.Millisecond, ID: "i-1", BootTime: 5, Report: joined})
	e, _ = tr.Endpoint("i-1")
	assert.Equal(t, e.Report.Group, "small/9")
}

// TestOrderToLeaveCountsOnce guards against orders that endpoints reject, since the count
// of accepted orders that they were decided on lacks an order to leave or has it twice.
func TestOrderToLeaveCountsOnce(t *testing.T) {
	member := messenger.EndpointReport{Group: "large/7", Epoch: 7, State: "ready", Orders: 3}
	announced := AnnounceMsg{Now: 3 * time.Second, Endpoint: view("i-1", 5, 2, "a:1"), Report: &messenger.EndpointReport{}}
	answered := LeftMsg{Now: 3 * time.Second, ID: "i-1", BootTime: 5, Group: "large/7", Epoch: 7}
	late := ReportMsg{Now: 3*time.Second + 100*time.Millisecond, ID: "i-1", BootTime: 5, Report: messenger.EndpointReport{Orders: 3}}
	counted := ReportMsg{Now: 3*time.Second + 300*time.Millisecond, ID: "i-1", BootTime: 5, Report: messenger.EndpointReport{Orders: 4}}
	for name, msgs := range map[string][]Msg{
		"answered": {answered}, "announced": {announced}, "announced first": {announced, answered}, "answered first": {answered, announced},
		"reported late": {answered, late}, "reported": {announced, answered, late, counted},
	} {
		tr := New()
		tr.Update(AnnounceMsg{Now: time.Second, Endpoint: view("i-1", 5, 1, "a:1"), Report: &member})
		tr.Update(ReportMsg{Now: 2 * time.Second, ID: "i-1", BootTime: 5, Report: member})
		tr.Update(LeaveSentMsg{ID: "i-1", BootTime: 5, Group: "large/7", Epoch: 7})
		for _, msg := range msgs {
			tr.Update(msg)
		}
		e, _ := tr.Endpoint("i-1")
		assert.Equal(t, e.Report.Orders, 4, name)
		assert.Equal(t, e.Report.Group, "", name)
	}
}

// TestAnnouncementWithoutBootProvesNoLaterBoot guards against a head that counts as ended
// since its first announcement, from another writer, lacked the boot that its answer has.
func TestAnnouncementWithoutBootProvesNoLaterBoot(t *testing.T) {
	tr := New()
	tr.Update(AnnounceMsg{Now: time.Second, Endpoint: view("i-1", 0, 1, "a:1"), Report: &messenger.EndpointReport{Group: "small/9", Epoch: 9, State: "open"}})
	tr.Update(LaterBootMsg{ID: "i-1", BootTime: 0})
	e, _ := tr.Endpoint("i-1")
	assert.Assert(t, !e.BootEnded)
}

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
