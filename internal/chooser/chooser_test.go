package chooser

import (
	"fmt"
	"testing"
	"time"

	"papayaseam/internal/messenger"

	"gotest.tools/v3/assert"
)

func fleetOf(heads int, load func(i int) (active, queued int)) FleetMsg {
	msg := FleetMsg{Now: time.Minute, EntryCount: 4}
	for i := range heads {
		id := fmt.Sprintf("e%d", i)
		active, queued := load(i)
		msg.Endpoints = append(msg.Endpoints, messenger.EndpointView{Instance: id, Born: 1, Service: "s", Slots: 32, FailureDomain: fmt.Sprintf("d%d", i%2)})
		msg.Groups = append(msg.Groups, messenger.GroupView{
			Name: "g" + id, Epoch: i + 1, Service: "s", Model: "m", Members: []string{id}, Open: true, Active: active, Queued: queued,
		})
	}
	return msg
}

var want = Request{Service: "s", Model: "m", Now: time.Minute}

func idle(int) (int, int) { return 0, 0 }

func TestOnlyOpenGroupsOfTheModelArePicked(t *testing.T) {
	c := New("d0")
	msg := fleetOf(2, idle)
	msg.Groups[0].Open = false
	c.Update(msg)
	for range 20 {
		target, ok := c.Pick(want)
		assert.Assert(t, ok)
		assert.Equal(t, target.ID, "e1")
	}
	_, ok := c.Pick(Request{Service: "s", Model: "other", Now: time.Minute})
	assert.Assert(t, !ok)
}

func TestEndpointsWithoutAGroupTakeNoRequestForAModel(t *testing.T) {
	c := New("d0")
	msg := fleetOf(2, idle)
	msg.Groups = nil
	c.Update(msg)
	_, ok := c.Pick(want)
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

func TestFullOrWaitingGroupsTakeNoUsualRequest(t *testing.T) {
	c := New("d0")
	c.Update(fleetOf(2, func(i int) (int, int) { return 32 - 31*i, 0 }))
	for range 20 {
		target, _ := c.Pick(want)
		assert.Equal(t, target.ID, "e1")
	}
	c.Update(fleetOf(1, func(int) (int, int) { return 20, 3 }))
	_, ok := c.Pick(want)
	assert.Assert(t, !ok)
	begun := want
	begun.Urgency = Resumed
	_, ok = c.Pick(begun)
	assert.Assert(t, ok)
}

func TestAReportIsComparedWithTheOwnRequestsOfItsTime(t *testing.T) {
	c := New("d0")
	c.Update(fleetOf(1, idle))
	for range 10 {
		c.Update(AttemptStartedMsg{ID: "e0"})
	}
	// A report of the same moment knows nothing of them yet; all ten count.
	next := fleetOf(1, func(int) (int, int) { return 12, 0 })
	next.Now = time.Minute + 100*time.Millisecond
	c.Update(next)
	assert.Equal(t, c.Load("e0"), 22)
	next.Now = time.Minute + 700*time.Millisecond
	c.Update(next)
	assert.Equal(t, c.Load("e0"), 12, "by now they are part of the report")
}

func TestFailingEndpointRestsAndComesBack(t *testing.T) {
	c := New("d0")
	c.Update(fleetOf(1, idle))
	c.Update(AttemptStartedMsg{ID: "e0"})
	c.Update(AttemptEndedMsg{ID: "e0", Now: time.Minute, Outcome: Failed})
	_, ok := c.Pick(want)
	assert.Assert(t, !ok)
	later := want
	later.Now += time.Second
	_, ok = c.Pick(later)
	assert.Assert(t, ok)
}

// herd plays entries that share old reports and returns the most requests that
// any group was given in one report's time, of so many in all.
func herd(pick func(c *Chooser, i int) string, requests int) int {
	given := map[string]int{}
	for entry := range 8 {
		c := New(fmt.Sprintf("d%d", entry%2), WithSeed(uint64(entry)))
		c.Update(fleetOf(4, func(i int) (int, int) { return 10 + i, 0 }))
		for i := range requests / 8 {
			id := pick(c, i)
			given[id]++
			c.Update(AttemptStartedMsg{ID: id})
		}
	}
	most := 0
	for _, n := range given {
		most = max(most, n)
	}
	return most
}

// TestOldReportsMakeNoHerd compares the draw with two other ways, on entries
// that all hold the same report while 64 requests come: always the emptiest
// group, and one at random.
func TestOldReportsMakeNoHerd(t *testing.T) {
	const requests = 64
	drawn := herd(func(c *Chooser, _ int) string {
		target, _ := c.Pick(want)
		return target.ID
	}, requests)
	emptiest := herd(func(c *Chooser, _ int) string {
		best := ""
		for _, id := range c.order {
			if best == "" || c.Load(id) < c.Load(best) {
				best = id
			}
		}
		return best
	}, requests)
	random := herd(func(c *Chooser, i int) string { return c.order[(i*7+len(c.domain))%len(c.order)] }, requests)
	t.Logf("most given to one group of %d: drawn %d, emptiest %d, in turn %d", requests, drawn, emptiest, random)
	assert.Assert(t, drawn < emptiest, "drawn %d, emptiest %d", drawn, emptiest)
	assert.Assert(t, drawn <= requests/2)
}
