package chooser

import (
	"fmt"
	"testing"
	"time"

	"papayaseam/internal/messenger"

	"gotest.tools/v3/assert"
)

// newFleet returns a fleet of open groups with one member of 32 slots each, in
// two failure domains; load gives the reported load of group i.
func newFleet(groups int, load func(i int) (active, queued int)) FleetMsg {
	msg := FleetMsg{Now: time.Minute, EntryCount: 4}
	for i := range groups {
		id := fmt.Sprintf("e%d", i)
		active, queued := load(i)
		msg.Endpoints = append(msg.Endpoints, messenger.EndpointView{Instance: id, Born: 1, Service: "s", Slots: 32, FailureDomain: fmt.Sprintf("d%d", i%2)})
		msg.Groups = append(msg.Groups, messenger.GroupView{
			Name: "g" + id, Epoch: i + 1, Service: "s", Model: "m", Members: []string{id}, Open: true, Active: active, Queued: queued,
		})
	}
	return msg
}

var request = Request{Service: "s", Model: "m", Now: time.Minute}

func idle(int) (int, int) { return 0, 0 }

func TestOnlyOpenGroupsOfTheModelArePicked(t *testing.T) {
	c := New("d0")
	msg := newFleet(2, idle)
	msg.Groups[0].Open = false
	c.Update(msg)
	for range 20 {
		target, ok := c.Pick(request)
		assert.Assert(t, ok)
		assert.Equal(t, target.ID, "e1")
	}
	_, ok := c.Pick(Request{Service: "s", Model: "other", Now: time.Minute})
	assert.Assert(t, !ok)
}

func TestEndpointsWithoutAGroupTakeNoRequestForAModel(t *testing.T) {
	c := New("d0")
	msg := newFleet(2, idle)
	msg.Groups = nil
	c.Update(msg)
	_, ok := c.Pick(request)
	assert.Assert(t, !ok)
}

func TestLeavingPlainEndpointsAreNotPicked(t *testing.T) {
	c := New("d0")
	c.Update(FleetMsg{Endpoints: []messenger.EndpointView{
		{Instance: "a", Service: "desk", Slots: 4, Leaving: true}, {Instance: "b", Service: "desk", Slots: 4},
	}})
	for range 20 {
		target, ok := c.Pick(Request{Service: "desk"})
		assert.Assert(t, ok)
		assert.Equal(t, target.ID, "b")
	}
}

func TestFullOrQueueingGroupsTakeNoNormalRequest(t *testing.T) {
	c := New("d0")
	c.Update(newFleet(2, func(i int) (int, int) { return 32 - 31*i, 0 }))
	for range 20 {
		target, _ := c.Pick(request)
		assert.Equal(t, target.ID, "e1")
	}
	c.Update(newFleet(1, func(int) (int, int) { return 20, 3 }))
	_, ok := c.Pick(request)
	assert.Assert(t, !ok)
	resumed := request
	resumed.Urgency = Resumed
	_, ok = c.Pick(resumed)
	assert.Assert(t, ok)
}

// TestReportIsComparedWithRequestsInFlightAtItsTime guards against counting this
// entry's own requests twice, or not at all: a report is older than its arrival
// and includes only the requests that were in flight when it was made.
func TestReportIsComparedWithRequestsInFlightAtItsTime(t *testing.T) {
	c := New("d0")
	c.Update(newFleet(1, idle))
	for range 10 {
		c.Update(AttemptStartedMsg{ID: "e0"})
	}
	// This report was made before the ten requests started, so all of them count.
	next := newFleet(1, func(int) (int, int) { return 12, 0 })
	next.Now = time.Minute + 100*time.Millisecond
	c.Update(next)
	assert.Equal(t, c.Load("e0"), 22)
	next.Now = time.Minute + 700*time.Millisecond
	c.Update(next)
	assert.Equal(t, c.Load("e0"), 12, "the report now includes the ten requests")
}

func TestFailingEndpointIsPickedAgainAfterBackoff(t *testing.T) {
	c := New("d0")
	c.Update(newFleet(1, idle))
	c.Update(AttemptStartedMsg{ID: "e0"})
	c.Update(AttemptEndedMsg{ID: "e0", Now: time.Minute, Outcome: Failed})
	_, ok := c.Pick(request)
	assert.Assert(t, !ok)
	later := request
	later.Now += time.Second
	_, ok = c.Pick(later)
	assert.Assert(t, ok)
}

// maxSentToOneGroup simulates entries that all act on the same stale reports. It
// spreads the requests with pick and returns the most that any group received.
func maxSentToOneGroup(pick func(c *Chooser, i int) string, requests int) int {
	sent := map[string]int{}
	for entry := range 8 {
		c := New(fmt.Sprintf("d%d", entry%2), WithSeed(uint64(entry)))
		c.Update(newFleet(4, func(i int) (int, int) { return 10 + i, 0 }))
		for i := range requests / 8 {
			id := pick(c, i)
			sent[id]++
			c.Update(AttemptStartedMsg{ID: id})
		}
	}
	most := 0
	for _, n := range sent {
		most = max(most, n)
	}
	return most
}

// TestStaleReportsCauseNoHerding guards against entries with the same stale
// reports overloading one group. It compares the weighted random pick with
// picking the emptiest group and with picking the groups in turn.
func TestStaleReportsCauseNoHerding(t *testing.T) {
	const requests = 64
	weighted := maxSentToOneGroup(func(c *Chooser, _ int) string {
		target, _ := c.Pick(request)
		return target.ID
	}, requests)
	emptiest := maxSentToOneGroup(func(c *Chooser, _ int) string {
		best := ""
		for _, id := range c.ids {
			if best == "" || c.Load(id) < c.Load(best) {
				best = id
			}
		}
		return best
	}, requests)
	inTurn := maxSentToOneGroup(func(c *Chooser, i int) string { return c.ids[(i*7+len(c.domain))%len(c.ids)] }, requests)
	t.Logf("most of %d requests sent to one group: weighted random %d, emptiest first %d, in turn %d", requests, weighted, emptiest, inTurn)
	assert.Assert(t, weighted < emptiest, "weighted random %d, emptiest first %d", weighted, emptiest)
	assert.Assert(t, weighted <= requests/2)
}
