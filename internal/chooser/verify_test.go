package chooser

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// brokenFleet is a chooser with two endpoints of which e0 has broken.
func brokenFleet() *Chooser {
	c := New("d0")
	c.Update(newFleet(2, idle))
	c.Update(BrokenMsg{Now: time.Minute, ID: "e0", BootTime: 1})
	return c
}

var (
	onlyOther = map[string]bool{"e1": true}
	both      = map[string]bool{"e0": true, "e1": true}
)

func check(c *Chooser, from, to time.Duration, answered bool, cold time.Duration) {
	c.Update(CheckedMsg{StartedAt: from, Now: to, ID: "e0", BootTime: 1, Answered: answered, Cold: cold})
}

// TestBrokenEndpointGetsNothingUntilItIsChecked guards against a flood on an endpoint that
// was restarted, by an entry that does not know it yet, or does not reach control at all.
func TestBrokenEndpointGetsNothingUntilItIsChecked(t *testing.T) {
	c := brokenFleet()
	assert.DeepEqual(t, picks(c, time.Minute+time.Hour), onlyOther)
	c.Update(newFleet(2, idle))
	assert.DeepEqual(t, picks(c, time.Minute+time.Hour), onlyOther)
	check(c, time.Minute, time.Minute, false, 0)
	assert.DeepEqual(t, picks(c, time.Minute+time.Hour), onlyOther)
	check(c, time.Minute, time.Minute, true, 0)
	assert.DeepEqual(t, picks(c, time.Minute), both)
}

// TestCheckedEndpointIsColdForTheTimeItTells guards against an endpoint that was restarted
// and is taken for warm because it answers, and against one that is held back for good.
func TestCheckedEndpointIsColdForTheTimeItTells(t *testing.T) {
	c := brokenFleet()
	check(c, time.Minute, time.Minute+time.Second, true, 3*time.Second)
	assert.DeepEqual(t, picks(c, time.Minute+3900*time.Millisecond), onlyOther)
	assert.DeepEqual(t, picks(c, time.Minute+4*time.Second), both)
	assert.Assert(t, !c.HoldsShare(Target{ID: "e0", BootTime: 1}, time.Minute+2*time.Second))
	assert.Assert(t, c.HoldsShare(Target{ID: "e0", BootTime: 1}, time.Minute+4*time.Second))
}

// TestViewOfAColdEndpointAllowsTheShare guards against an endpoint that gets nothing of
// its rate once control knows that it is cold, because it has told this entry too.
func TestViewOfAColdEndpointAllowsTheShare(t *testing.T) {
	c := brokenFleet()
	check(c, time.Minute, time.Minute, true, 3*time.Second)
	c.Update(newColdFleet(2, 1))
	c.Update(ShareMsg{Now: time.Minute, Until: time.Minute + time.Second, Shares: []ColdShare{{"s", "d0", 32}}})
	assert.DeepEqual(t, picks(c, time.Minute+500*time.Millisecond), both)
}

// TestCheckBeforeTheLastBreakProvesNothing guards against an answer of the process that
// ended just afterwards.
func TestCheckBeforeTheLastBreakProvesNothing(t *testing.T) {
	c := brokenFleet()
	c.Update(BrokenMsg{Now: time.Minute + 100*time.Millisecond, ID: "e0", BootTime: 1})
	check(c, time.Minute+50*time.Millisecond, time.Minute+200*time.Millisecond, true, 0)
	assert.DeepEqual(t, picks(c, time.Minute+time.Hour), onlyOther)
	check(c, time.Minute+100*time.Millisecond, time.Minute+200*time.Millisecond, true, 0)
	assert.DeepEqual(t, picks(c, time.Minute+time.Second), both)
}

// TestChecksAreDueUntilOneIsAnswered guards against an endpoint that is forgotten after a
// check that failed, and against checks without a pause between them.
func TestChecksAreDueUntilOneIsAnswered(t *testing.T) {
	c := brokenFleet()
	var due []time.Duration
	for now := time.Minute; now < time.Minute+2*time.Second; now += 10 * time.Millisecond {
		if target, service, ok := c.DueCheck(now); ok {
			assert.Equal(t, target.ID+service, "e0s")
			due = append(due, now-time.Minute)
			check(c, now, now, false, 0)
		}
	}
	assert.DeepEqual(t, due, []time.Duration{0, 50 * time.Millisecond, 150 * time.Millisecond, 350 * time.Millisecond, 750 * time.Millisecond, 1550 * time.Millisecond})
	_, _, ok := c.DueCheck(time.Minute + 10*time.Second)
	assert.Assert(t, ok)
	_, _, ok = c.DueCheck(time.Minute + 10*time.Second)
	assert.Assert(t, !ok, "a check is under way")
	check(c, time.Minute+10*time.Second, time.Minute+10*time.Second, true, 0)
	_, _, ok = c.DueCheck(time.Hour)
	assert.Assert(t, !ok)
}

// TestNextBootIsNotHeldForAnEarlierOne guards against an endpoint that gets nothing although
// control has told of its next boot, and against checks of endpoints that are gone.
func TestNextBootIsNotHeldForAnEarlierOne(t *testing.T) {
	c := brokenFleet()
	next := newFleet(2, idle)
	next.Endpoints[0].Born = 2
	c.Update(next)
	assert.DeepEqual(t, picks(c, time.Minute), both)
	c.Update(BrokenMsg{Now: time.Minute, ID: "e0", BootTime: 2})
	c.Update(FleetMsg{Now: time.Minute})
	assert.Equal(t, len(c.cold.verifications), 0)
	_, _, ok := c.DueCheck(time.Hour)
	assert.Assert(t, !ok)
}

// TestEndpointsInEvacuatedDomainsAreNotChecked guards against health checks to the servers
// of a failure domain to which nothing must be sent, and against an endpoint that stays
// unchecked after the evacuation was revoked.
func TestEndpointsInEvacuatedDomainsAreNotChecked(t *testing.T) {
	c := brokenFleet()
	c.Update(evacuation(time.Minute, "d0"))
	_, _, due := c.DueCheck(time.Minute + phaseOutTime)
	assert.Assert(t, !due)
	c.Update(EvacuationMsg{Now: time.Minute + time.Hour})
	target, _, due := c.DueCheck(time.Minute + time.Hour)
	assert.Assert(t, due)
	assert.Equal(t, target.ID, "e0")
}

// TestUnreachableEndpointsDoNotDelayOtherChecksForGood guards against an endpoint that is
// never checked, and so gets nothing, while an entry is cut off from a whole failure domain:
// more endpoints are due again than can be checked at once.
func TestUnreachableEndpointsDoNotDelayOtherChecksForGood(t *testing.T) {
	const endpoints, atOnce, took = 150, 16, 300 * time.Millisecond
	c := New("d0")
	c.Update(newFleet(endpoints, idle))
	for i := range endpoints {
		c.Update(BrokenMsg{Now: time.Minute, ID: fmt.Sprint("e", i), BootTime: 1})
	}
	checked := map[string]bool{}
	for now := time.Minute; now < time.Minute+10*time.Second; now += took {
		for range atOnce {
			target, _, ok := c.DueCheck(now)
			if !ok {
				break
			}
			checked[target.ID] = true
			c.Update(CheckedMsg{StartedAt: now, Now: now + took, ID: target.ID, BootTime: 1})
		}
	}
	assert.Equal(t, len(checked), endpoints)
}
