package granter

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// leading returns a world in which the first of three instances leads a
// complete group.
func leading(t *testing.T) (*world, *node) {
	w := newWorld(t, 3)
	w.assign("a", 0, 1, 2)
	w.settle(6 * time.Second)
	leader := w.nodes[0]
	assert.Assert(t, leader.machine.MayDispatch(w.clock(leader)))
	w.letters = nil
	return w, leader
}

// renewals returns the members that a renewal goes to.
func renewals(effects []Effect) []string {
	var names []string
	for _, effect := range effects {
		if renew, ok := effect.(RenewEffect); ok {
			names = append(names, renew.Member.Instance)
		}
	}
	return names
}

func TestClosedConnectionOfAMemberIsFollowedUpAtOnce(t *testing.T) {
	w, leader := leading(t)
	now := w.clock(leader)
	assert.DeepEqual(t, renewals(leader.machine.Update(now, ConnClosedMsg{Address: "i2"})), []string{"i2"})
	assert.Equal(t, len(renewals(leader.machine.Update(now, ConnClosedMsg{Address: "i2"}))), 0, "asked twice at a time")
	assert.Equal(t, len(renewals(leader.machine.Update(now, ConnClosedMsg{Address: "elsewhere"}))), 0)
	assert.Assert(t, leader.machine.MayDispatch(now), "a closed connection alone proves nothing")
}

func TestGroupOfAGoneMemberBreaksAtOnce(t *testing.T) {
	w, leader := leading(t)
	now := w.clock(leader)
	leader.machine.Update(now, MemberDownMsg{Group: "a", Epoch: w.epoch - 1, Instance: "i2"})
	assert.Assert(t, leader.machine.MayDispatch(now), "the news is of an earlier epoch")
	var cut AbortEffect
	for _, effect := range leader.machine.Update(now, MemberDownMsg{Group: "a", Epoch: w.epoch, Instance: "i2"}) {
		if c, ok := effect.(AbortEffect); ok {
			cut = c
		}
	}
	assert.Equal(t, cut.Reason, ReasonIncomplete)
	assert.Assert(t, !leader.machine.MayDispatch(now))
	w.settle(3 * time.Second)
	assert.Assert(t, leader.machine.MayDispatch(w.clock(leader)), "the member answers again")
}

// TestAnswerOfAGoneMemberCountsNoMore delivers an answer that was under way
// when the member's process ended.
func TestAnswerOfAGoneMemberCountsNoMore(t *testing.T) {
	w, leader := leading(t)
	now := w.clock(leader)
	w.update(leader, ConnClosedMsg{Address: "i2"})
	w.deliver(0)
	leader.machine.Update(now, MemberDownMsg{Group: "a", Epoch: w.epoch, Instance: "i2"})
	for len(w.letters) > 0 {
		w.deliver(0)
	}
	assert.Assert(t, !leader.machine.MayDispatch(now))
}
