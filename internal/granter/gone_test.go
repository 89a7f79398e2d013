package granter

import (
	"testing"
	"time"

	"papayaseam/internal/messenger"

	"gotest.tools/v3/assert"
)

// newCompleteGroup returns a simulation in which the first of three instances
// leads a complete group, and that leader.
func newCompleteGroup(t *testing.T) (*simulation, *node) {
	s := newSimulation(t, 3)
	s.assign("a", 0, 1, 2)
	s.runFor(6 * time.Second)
	leader := s.nodes[0]
	assert.Assert(t, leader.machine.MayDispatch(s.clock(leader)))
	s.inFlight = nil
	return s, leader
}

// renewalTargets returns the members to which the effects send a renewal.
func renewalTargets(effects []Effect) []string {
	var names []string
	for _, effect := range effects {
		if renew, ok := effect.(RenewEffect); ok {
			names = append(names, renew.Member.Instance)
		}
	}
	return names
}

// TestClosedConnectionTriggersRenewal guards against waiting for the next regular
// renewal when a member's connection closes, and against sending one renewal per
// closed connection.
func TestClosedConnectionTriggersRenewal(t *testing.T) {
	s, leader := newCompleteGroup(t)
	now := s.clock(leader)
	assert.DeepEqual(t, renewalTargets(leader.machine.Update(now, ConnClosedMsg{Address: "i2"})), []string{"i2"})
	assert.Equal(t, len(renewalTargets(leader.machine.Update(now, ConnClosedMsg{Address: "i2"}))), 0, "a second renewal was sent within the retry delay")
	assert.Equal(t, len(renewalTargets(leader.machine.Update(now, ConnClosedMsg{Address: "elsewhere"}))), 0)
	assert.Assert(t, leader.machine.MayDispatch(now), "a closed connection alone must not end the grant")
}

// TestGroupStopsServingWhenMemberGoesDown guards against serving on an unexpired
// grant of a member whose process has stopped.
func TestGroupStopsServingWhenMemberGoesDown(t *testing.T) {
	s, leader := newCompleteGroup(t)
	now := s.clock(leader)
	leader.machine.Update(now, MemberDownMsg{Group: "a", Epoch: s.epoch - 1, Instance: "i2"})
	assert.Assert(t, leader.machine.MayDispatch(now), "a message of an earlier epoch ended the grant")
	var abort AbortEffect
	for _, effect := range leader.machine.Update(now, MemberDownMsg{Group: "a", Epoch: s.epoch, Instance: "i2"}) {
		if a, ok := effect.(AbortEffect); ok {
			abort = a
		}
	}
	assert.Equal(t, abort.Reason, ReasonIncomplete)
	assert.Assert(t, !leader.machine.MayDispatch(now))
	s.runFor(3 * time.Second)
	assert.Assert(t, leader.machine.MayDispatch(s.clock(leader)), "the group does not serve although the member answers again")
}

// TestAnswerFromDownMemberIsIgnored guards against a grant renewed by an answer
// that was in flight when the member's process stopped.
func TestAnswerFromDownMemberIsIgnored(t *testing.T) {
	s, leader := newCompleteGroup(t)
	now := s.clock(leader)
	s.update(leader, ConnClosedMsg{Address: "i2"})
	s.deliver(0)
	leader.machine.Update(now, MemberDownMsg{Group: "a", Epoch: s.epoch, Instance: "i2"})
	for len(s.inFlight) > 0 {
		s.deliver(0)
	}
	assert.Assert(t, !leader.machine.MayDispatch(now))
}

// noticeReasons returns the reasons of the notices that the effects send.
func noticeReasons(effects []Effect) []string {
	var reasons []string
	for _, effect := range effects {
		if withdraw, ok := effect.(WithdrawEffect); ok {
			reasons = append(reasons, withdraw.Notice.Reason)
		}
	}
	return reasons
}

// TestReturnedEndpointIsTold guards against a leader that takes a member's endpoint as
// crashed for good although the same incarnation has announced itself again.
func TestReturnedEndpointIsTold(t *testing.T) {
	for incarnation, want := range map[string][]string{"0": {ReasonEndpointReturned}, "1": nil} {
		s, leader := newCompleteGroup(t)
		member := s.nodes[1]
		now := s.clock(member)
		lost := member.machine.Update(now, EndpointMsg{})
		assert.DeepEqual(t, noticeReasons(lost), []string{ReasonEndpointDown})
		back := EndpointMsg{Endpoint: Endpoint{Up: true, Incarnation: incarnation}}
		assert.DeepEqual(t, noticeReasons(member.machine.Update(now, back)), want)
		assert.Equal(t, len(noticeReasons(member.machine.Update(now, back))), 0, "the notice was sent twice")
		leader.machine.Update(now, WithdrawMsg{Notice: messenger.WithdrawNotice{Group: "a", Epoch: s.epoch, Instance: "i1", Reason: ReasonEndpointReturned}})
		assert.Assert(t, leader.machine.MayDispatch(s.clock(leader)), "the notice of a return ended a grant")
	}
}
