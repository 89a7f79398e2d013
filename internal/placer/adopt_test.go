package placer

import (
	"testing"
	"time"

	"papayaseam/internal/messenger"
	"papayaseam/internal/tracker"

	"gotest.tools/v3/assert"
)

// TestHeadThatAppearsLaterIsNoLaterBoot guards against members that are given away since a
// new leader, which knows their group from the view, hears of the head only after it has
// adopted the group, and takes its boot for a later one.
func TestHeadThatAppearsLaterIsNoLaterBoot(t *testing.T) {
	msg := planWithOpenGroup()
	head := msg.Endpoints[0]
	msg.Endpoints = msg.Endpoints[1:]
	msg.KnownGroups = []messenger.GroupView{{Name: "small/1", Service: "s", Model: "small", Epoch: 1, Members: []string{"e0", "e1"}, Open: true}}
	p := New(2)
	assert.DeepEqual(t, joiningInstances(p.Update(msg)), []string(nil))
	msg.Endpoints = append(msg.Endpoints, head)
	for range 4 {
		msg.Now += time.Second
		assert.DeepEqual(t, joiningInstances(p.Update(msg)), []string(nil))
	}
	assert.Equal(t, len(p.Groups()), 1, "the group of a head that serves was released")
}

// TestHeadThatAppearsElsewhereHasLeft holds the other side: a head that appears outside of
// its adopted group has ended or left, and its members are free.
func TestHeadThatAppearsElsewhereHasLeft(t *testing.T) {
	msg := planWithOpenGroup()
	head := msg.Endpoints[0]
	head.Report.Group, head.Report.Epoch, head.Report.State = "", 0, ""
	msg.Endpoints = msg.Endpoints[1:]
	msg.KnownGroups = []messenger.GroupView{{Name: "small/1", Service: "s", Model: "small", Epoch: 1, Members: []string{"e0", "e1"}, Open: true}}
	p := New(2)
	p.Update(msg)
	msg.Endpoints = append(msg.Endpoints, head)
	msg.Now += time.Second
	p.Update(msg)
	assert.Assert(t, p.groups["small/1"] == nil, "%+v", p.groups["small/1"])
}

// TestLateAnnouncementAtANewLeaderFreesNoMember guards against members that are given away
// on an announcement of their head from before it joined. It arrives late at a new leader,
// which knows no sequence of the head and is cut off from it.
func TestLateAnnouncementAtANewLeaderFreesNoMember(t *testing.T) {
	msg := planWithOpenGroup()
	msg.KnownGroups = []messenger.GroupView{{Name: "small/1", Service: "s", Model: "small", Epoch: 1, Members: []string{"e0", "e1"}, Open: true}}
	tr := tracker.New()
	for _, e := range msg.Endpoints {
		e.View.Address, e.View.Sequence = e.View.Instance+":1", -1
		tr.Update(tracker.AnnounceMsg{Now: time.Second, Endpoint: e.View})
		if e.View.Instance == "e0" {
			tr.Update(tracker.CallFailedMsg{CalledAt: time.Second, ID: "e0", BootTime: 1, Refused: true})
			continue
		}
		tr.Update(tracker.ReportMsg{Now: time.Second, ID: e.View.Instance, BootTime: 1, Report: e.Report})
	}
	head, _ := tr.Endpoint("e0")
	head.View.Sequence = 7
	tr.Update(tracker.AnnounceMsg{Now: msg.Now, Endpoint: head.View, Report: &messenger.EndpointReport{FabricDomain: "d"}})
	msg.Endpoints = tr.Endpoints()
	p := New(2)
	orders := p.Update(msg)
	assert.DeepEqual(t, p.Releases(), []Release(nil))
	assert.DeepEqual(t, joiningInstances(orders), []string(nil))
}
