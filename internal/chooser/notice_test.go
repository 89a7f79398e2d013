package chooser

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// picks returns the endpoints that are picked in many draws at one time.
func picks(c *Chooser, now time.Duration) map[string]bool {
	picked := map[string]bool{}
	for range 200 {
		if target, ok := c.Pick(Request{Service: "s", Model: "m", Now: now}); ok {
			picked[target.ID] = true
		}
	}
	return picked
}

// TestLeavingEndpointIsNotPickedWhateverTheViewSays guards against an entry that is cut
// off from control and sends on to an endpoint that has told it that it leaves.
func TestLeavingEndpointIsNotPickedWhateverTheViewSays(t *testing.T) {
	c := New("d0")
	c.Update(newFleet(3, idle))
	c.Update(NoticeMsg{Now: time.Minute, ID: "e1", BootTime: 1, Leaving: true})
	for _, later := range []time.Duration{0, time.Second, time.Hour} {
		c.Update(newFleet(3, idle))
		assert.DeepEqual(t, picks(c, time.Minute+later), map[string]bool{"e0": true, "e2": true})
	}
	c.Update(FleetMsg{Now: time.Minute})
	c.Update(newFleet(3, idle))
	assert.Assert(t, !picks(c, time.Minute)["e1"], "the endpoint was missing from one view")
}

// TestNextBootOfALeavingEndpointIsPicked guards against a new process at the old
// address, or under the old name, that is left alone for what an earlier one said.
func TestNextBootOfALeavingEndpointIsPicked(t *testing.T) {
	c := New("d0")
	c.Update(NoticeMsg{Now: time.Minute, ID: "e1", BootTime: 1, Leaving: true, StayAway: time.Hour})
	msg := newFleet(3, idle)
	msg.Endpoints[1].Born = 2
	c.Update(msg)
	assert.Assert(t, picks(c, time.Minute)["e1"])
	c.Update(NoticeMsg{Now: time.Minute, ID: "e1", BootTime: 2, StayAway: time.Second})
	c.Update(NoticeMsg{Now: time.Minute, ID: "e1", BootTime: 1, Leaving: true})
	assert.Assert(t, !picks(c, time.Minute)["e1"])
	assert.Assert(t, picks(c, time.Minute+3*time.Second)["e1"], "an answer of the earlier boot came late")
}

// TestEndpointIsLeftAloneForTheTimeItAsked guards against requests before the time is
// over, however long it is and also where the entry stood still meanwhile, and against an
// endpoint that is left alone longer.
func TestEndpointIsLeftAloneForTheTimeItAsked(t *testing.T) {
	for _, asked := range []time.Duration{200 * time.Millisecond, 3 * time.Second, 1000 * time.Hour} {
		c := New("d0")
		c.Update(newFleet(2, idle))
		c.Update(NoticeMsg{Now: time.Minute, ID: "e1", BootTime: 1, StayAway: asked})
		assert.Assert(t, !picks(c, time.Minute)["e1"])
		assert.Assert(t, !picks(c, time.Minute+asked-1)["e1"])
		assert.Assert(t, picks(c, time.Minute+asked+maxReturnSpread)["e1"], "the clock went on while the entry stood still")
		c.Update(NoticeMsg{Now: time.Minute, ID: "e1", BootTime: 1, StayAway: time.Millisecond})
		assert.Assert(t, !picks(c, time.Minute+asked-1)["e1"], "a later, shorter time does not end the first")
	}
}

// TestTimeAwayBeginsWithTheFirstWord guards against a log that counts from the latest of
// several answers, or from a time that is over.
func TestTimeAwayBeginsWithTheFirstWord(t *testing.T) {
	c := New("d0")
	target := Target{ID: "e0", BootTime: 1}
	say := func(at time.Duration) {
		c.Update(NoticeMsg{Now: at, ID: "e0", BootTime: 1, StayAway: 3 * time.Second})
	}
	_, ok := c.AwaySince(target, time.Minute)
	assert.Assert(t, !ok)
	for _, first := range []time.Duration{time.Minute, time.Hour} {
		say(first)
		say(first + time.Second)
		since, ok := c.AwaySince(target, first+2*time.Second)
		assert.Assert(t, ok)
		assert.Equal(t, since, first)
	}
}

// TestEntriesReturnAtDifferentTimes guards against all entries that come back to an
// endpoint in the same moment.
func TestEntriesReturnAtDifferentTimes(t *testing.T) {
	returns := map[time.Duration]bool{}
	for entry := range 20 {
		c := New("d0", WithSeed(uint64(entry)))
		c.Update(newFleet(1, idle))
		c.Update(NoticeMsg{Now: time.Minute, ID: "e0", BootTime: 1, StayAway: 4 * time.Second})
		wait, ok := c.ReturnIn("s", "m", time.Minute)
		assert.Assert(t, ok && wait >= 4*time.Second && wait <= 5*time.Second, "%s", wait)
		returns[wait.Round(10*time.Millisecond)] = true
	}
	assert.Assert(t, len(returns) > 10, "%d different times", len(returns))
}

// TestReturnIsToldOnlyIfNoEndpointWantsRequests guards against clients that are told to
// wait although an endpoint would serve them, or that wait for one that leaves.
func TestReturnIsToldOnlyIfNoEndpointWantsRequests(t *testing.T) {
	c := New("d0")
	c.Update(newFleet(2, idle))
	c.Update(NoticeMsg{Now: time.Minute, ID: "e0", BootTime: 1, StayAway: 4 * time.Second})
	_, ok := c.ReturnIn("s", "m", time.Minute)
	assert.Assert(t, !ok)
	c.Update(NoticeMsg{Now: time.Minute, ID: "e1", BootTime: 1, Leaving: true})
	wait, ok := c.ReturnIn("s", "m", time.Minute)
	assert.Assert(t, ok && wait >= 4*time.Second, "%s", wait)
	c.Update(NoticeMsg{Now: time.Minute, ID: "e0", BootTime: 1, Leaving: true})
	_, ok = c.ReturnIn("s", "m", time.Minute)
	assert.Assert(t, !ok, "all that serve it leave")
	assert.Equal(t, c.AwayCount(time.Minute), 2)
}

// TestNoticesAreBounded guards against a table that grows with every endpoint that ever
// left.
func TestNoticesAreBounded(t *testing.T) {
	c := New("d0")
	for i := range maxNotices + 100 {
		c.Update(NoticeMsg{Now: time.Duration(i), ID: fmt.Sprint(i), BootTime: 1, Leaving: true})
	}
	assert.Equal(t, len(c.notices), maxNotices)
	last := fmt.Sprint(maxNotices + 99)
	assert.Assert(t, c.StaysAway(Target{ID: last, BootTime: 1}, 0))
	assert.Assert(t, !c.StaysAway(Target{ID: "0", BootTime: 1}, 0))
}
