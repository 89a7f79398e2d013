package chooser

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"papayaseam/internal/messenger"

	"github.com/cespare/xxhash/v2"
	"gotest.tools/v3/assert"
)

const phaseOutTime = 2 * time.Second

// evacuation returns the message that a failure domain is evacuated from a time on.
func evacuation(now time.Duration, domains ...string) EvacuationMsg {
	return EvacuationMsg{Now: now, Domains: domains, PhaseOutEnd: now + phaseOutTime}
}

// shareTo returns the share of many draws at one time that go to a failure domain of
// newFleet.
func shareTo(c *Chooser, domain int, now time.Duration) float64 {
	const draws = 2000
	n := 0
	for range draws {
		target, ok := c.Pick(Request{Service: "s", Model: "m", Now: now})
		var i int
		_, _ = fmt.Sscanf(target.ID, "e%d", &i)
		if ok && i%2 == domain {
			n++
		}
	}
	return float64(n) / draws
}

// TestEvacuatedDomainGetsNothingFromTheEndOfThePhaseOut guards against any request, of
// whatever urgency, to an evacuated failure domain, also where it is the entry's own and
// where the other one is full.
func TestEvacuatedDomainGetsNothingFromTheEndOfThePhaseOut(t *testing.T) {
	for _, full := range []bool{false, true} {
		c := New("d0", WithName("entry"))
		c.Update(newFleet(8, func(i int) (int, int) {
			if full && i%2 == 1 {
				return 64, 8
			}
			return 0, 0
		}))
		c.Update(evacuation(time.Minute, "d0"))
		for _, urgency := range []Urgency{Normal, Overdue, Resumed} {
			for _, later := range []time.Duration{phaseOutTime, phaseOutTime + 1, time.Hour} {
				target, ok := c.Pick(Request{Service: "s", Model: "m", Now: time.Minute + later, Urgency: urgency})
				assert.Equal(t, ok, !full)
				assert.Assert(t, !ok || slices.Contains([]string{"e1", "e3", "e5", "e7"}, target.ID), target.ID)
			}
		}
	}
}

// TestRequestsToAnEvacuatedDomainEndGradually guards against a third of all traffic that
// arrives at the other failure domains in one step, also from entries that prefer the
// groups of their own, evacuated one.
func TestRequestsToAnEvacuatedDomainEndGradually(t *testing.T) {
	for _, own := range []string{"d0", "d1"} {
		c := New(own, WithName("entry"))
		c.Update(newFleet(16, idle))
		before := shareTo(c, 0, time.Minute)
		c.Update(evacuation(time.Minute, "d0"))
		for tenth := range 11 {
			at := time.Minute + phaseOutTime*time.Duration(tenth)/10
			want := before * float64(10-tenth) / 10
			got := shareTo(c, 0, at)
			assert.Assert(t, got > want-0.06 && got < want+0.06, "entry in %s, %d tenths: %.3f, want %.3f", own, tenth, got, want)
		}
	}
}

// TestPhaseOutRefusesNothing guards against requests that are refused during the phase-out
// although an endpoint of the evacuated failure domain still takes them.
func TestPhaseOutRefusesNothing(t *testing.T) {
	c := New("d1")
	c.Update(newFleet(2, func(i int) (int, int) { return 40 * i, 0 }))
	c.Update(evacuation(time.Minute, "d0"))
	for range 200 {
		_, ok := c.Pick(Request{Service: "s", Model: "m", Now: time.Minute + phaseOutTime - 1})
		assert.Assert(t, ok)
	}
	_, ok := c.Pick(Request{Service: "s", Model: "m", Now: time.Minute + phaseOutTime})
	assert.Assert(t, !ok)
}

// TestRepeatedEvacuationDoesNotExtendThePhaseOut guards against a phase-out that begins
// anew because another failure domain is evacuated, or revoked, in the meantime.
func TestRepeatedEvacuationDoesNotExtendThePhaseOut(t *testing.T) {
	c := New("d2")
	c.Update(newFleet(4, idle))
	c.Update(evacuation(time.Minute, "d0"))
	c.Update(evacuation(time.Minute+phaseOutTime/2, "d0", "d1"))
	assert.Equal(t, shareTo(c, 0, time.Minute+phaseOutTime), 0.0)
	assert.Assert(t, shareTo(c, 1, time.Minute+phaseOutTime) > 0)
	_, ok := c.Pick(Request{Service: "s", Model: "m", Now: time.Minute + 2*phaseOutTime})
	assert.Assert(t, !ok)
}

// TestRevokedDomainGetsRequestsAtOnce guards against groups that stay idle after the end of
// an evacuation.
func TestRevokedDomainGetsRequestsAtOnce(t *testing.T) {
	c, untouched := New("d0", WithName("entry")), New("d0", WithName("entry"))
	c.Update(newFleet(8, idle))
	untouched.Update(newFleet(8, idle))
	c.Update(EvacuationMsg{Now: time.Minute, Domains: []string{"d0"}})
	assert.Equal(t, shareTo(c, 0, time.Minute), 0.0, "without a phase-out nothing is sent")
	c.Update(EvacuationMsg{Now: time.Minute + time.Second})
	after, want := shareTo(c, 0, time.Minute+time.Second), shareTo(untouched, 0, time.Minute+time.Second)
	assert.Assert(t, after > want-0.05 && after < want+0.05, "%.3f, before %.3f", after, want)
}

// TestEvacuationHoldsForEndpointsThatAppearLater guards against an endpoint of an evacuated
// failure domain that starts anew, or that the view first lacked.
func TestEvacuationHoldsForEndpointsThatAppearLater(t *testing.T) {
	c := New("d1")
	c.Update(EvacuationMsg{Now: time.Minute, Domains: []string{"d0"}})
	c.Update(newFleet(4, idle))
	assert.Equal(t, shareTo(c, 0, time.Minute), 0.0)
	assert.Equal(t, shareTo(c, 1, time.Minute), 1.0)
}

// TestServiceInEvacuatedDomainsOnlyIsToldApart guards against clients of a plain service
// that wait for a free place, and against slots of evacuated endpoints that count as free.
func TestServiceInEvacuatedDomainsOnlyIsToldApart(t *testing.T) {
	c := New("d1")
	c.Update(FleetMsg{Now: time.Minute, Endpoints: []messenger.EndpointView{
		{Instance: "a", Service: "desk", Slots: 4, FailureDomain: "d0"}, {Instance: "b", Service: "desk", Slots: 4, FailureDomain: "d1"},
	}})
	c.Update(AttemptStartedMsg{ID: "b"})
	assert.Equal(t, c.Utilization("desk", ""), 1.0/8)
	c.Update(EvacuationMsg{Now: time.Minute, Domains: []string{"d0"}})
	assert.Equal(t, c.Utilization("desk", ""), 1.0/4)
	assert.Assert(t, !c.Evacuated("desk", ""))
	c.Update(NoticeMsg{Now: time.Minute, ID: "b", StayAway: time.Second})
	_, ok := c.ReturnIn("desk", "", time.Minute)
	assert.Assert(t, ok, "the evacuated endpoint counts as one that wants requests")
	c.Update(EvacuationMsg{Now: time.Minute, Domains: []string{"d0", "d1"}})
	assert.Assert(t, c.Evacuated("desk", ""))
	assert.Assert(t, !c.Evacuated("nobody", ""))
	_, ok = c.Pick(Request{Service: "desk", Now: time.Minute})
	assert.Assert(t, !ok)
}

// picksBefore is the digest of the picks below on the code from before evacuations.
const picksBefore = 2629000860504524834

// TestPicksWithoutAnEvacuationAreUnchanged guards against other decisions in deployments
// that never evacuate a failure domain. A revoked evacuation leaves no trace either.
func TestPicksWithoutAnEvacuationAreUnchanged(t *testing.T) {
	for _, revoked := range []bool{false, true} {
		c := New("d0", WithSeed(7), WithName("entry"))
		if revoked {
			c.Update(EvacuationMsg{Now: time.Second, Domains: []string{"d0"}})
			c.Update(EvacuationMsg{Now: 2 * time.Second})
		}
		assert.Equal(t, digestOfPicks(c), uint64(picksBefore))
	}
}

// digestOfPicks returns a digest of many picks under changing loads.
func digestOfPicks(c *Chooser) uint64 {
	digest := xxhash.New()
	for i := range 500 {
		c.Update(newFleet(9, func(j int) (int, int) { return (7*i + 5*j) % 34, i * j % 40 / 38 }))
		for _, urgency := range []Urgency{Normal, Overdue, Resumed} {
			target, ok := c.Pick(Request{Service: "s", Model: "m", Now: time.Minute, Urgency: urgency})
			_, _ = fmt.Fprintln(digest, target, ok)
			if ok && i%3 == 0 {
				c.Update(AttemptStartedMsg{ID: target.ID})
			}
		}
		if i%10 == 9 {
			c.Update(NoticeMsg{Now: time.Minute, ID: fmt.Sprint("e", i%9), BootTime: 1, StayAway: time.Duration(i) * time.Millisecond})
		}
		for id := range c.inFlight {
			for i%10 == 9 && c.inFlight[id] > 0 {
				c.Update(AttemptEndedMsg{ID: id, Now: time.Minute, Outcome: Served})
			}
		}
	}
	return digest.Sum64()
}

// BenchmarkPick measures a draw among 100 groups, about those of one model on 300 machines.
func BenchmarkPick(b *testing.B) {
	for _, c := range []struct {
		name    string
		domains []string
		at      time.Duration
	}{
		{"none", nil, time.Minute},
		{"phasing-out", []string{"d0"}, time.Minute + phaseOutTime/2},
		{"closed", []string{"d0"}, time.Minute + phaseOutTime},
	} {
		b.Run(c.name, func(b *testing.B) {
			chooser := New("d0", WithName("entry"))
			chooser.Update(newFleet(100, idle))
			chooser.Update(evacuation(time.Minute, c.domains...))
			for b.Loop() {
				chooser.Pick(Request{Service: "s", Model: "m", Now: c.at})
			}
		})
	}
}
