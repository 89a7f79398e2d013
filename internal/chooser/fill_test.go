package chooser

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// admitAll sends a request to a group of 32 slots until there is no place, and returns
// how many were sent.
func admitAll(c *Chooser, fill float64) int {
	for n := 0; ; n++ {
		target, ok := c.Pick(Request{Service: "s", Model: "m", Now: time.Minute, Fill: fill})
		if !ok {
			return n
		}
		c.Update(AttemptStartedMsg{ID: target.ID})
	}
}

// TestLimitedRequestsLeaveTheirPartOfTheSlots guards against less urgent requests that
// take all slots just before urgent ones arrive.
func TestLimitedRequestsLeaveTheirPartOfTheSlots(t *testing.T) {
	newChooser := func() *Chooser {
		c := New("d0", WithSeed(7))
		fleet := newFleet(1, idle)
		fleet.EntryCount = 1
		c.Update(fleet)
		return c
	}
	c := newChooser()
	assert.Equal(t, admitAll(c, 0.75), 21)
	assert.Equal(t, admitAll(c, 0), 7)
	assert.Equal(t, admitAll(newChooser(), 1), 28)
}

// TestFillDoesNotLimitPlainEndpoints guards against refusals by a service without models,
// whose endpoints have no slots that more urgent requests could lack.
func TestFillDoesNotLimitPlainEndpoints(t *testing.T) {
	c := New("d0")
	msg := newFleet(1, idle)
	msg.Groups = nil
	c.Update(msg)
	for range 40 {
		target, ok := c.Pick(Request{Service: "s", Now: time.Minute, Fill: 0.5})
		assert.Assert(t, ok)
		c.Update(AttemptStartedMsg{ID: target.ID})
	}
}
