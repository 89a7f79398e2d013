package chooser

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const (
	overloadStep = 10 * time.Millisecond
	overloadRun  = 60 * time.Second
	serviceTime  = 1200 * time.Millisecond
	comesBack    = 1500 * time.Millisecond
	overloadBy   = 1.4
)

// overload drives one group of 32 places with more requests than it can serve;
// who is refused comes back once, late. It returns the requests that began at
// once at their first try, against what the group can serve.
func overload(share float64) float64 {
	c := New("d0", WithSeed(7), WithOverdueShare(share))
	random := rand.New(rand.NewPCG(3, 3))
	perStep := overloadBy * 32 / float64(serviceTime) * float64(overloadStep)
	ends, returns := map[time.Duration]int{}, map[time.Duration]int{}
	timely := 0
	begin := func(now time.Duration, urgency Urgency) bool {
		want := Request{Service: "s", Model: "m", Now: now, Urgency: urgency}
		target, ok := c.Pick(want)
		if ok {
			c.Update(AttemptStartedMsg{ID: target.ID})
			ends[now+serviceTime]++
		}
		return ok
	}
	fleet := fleetOf(1, idle)
	fleet.EntryCount = 1
	c.Update(fleet)
	for now := time.Duration(0); now < overloadRun; now += overloadStep {
		for range ends[now] {
			c.Update(AttemptEndedMsg{ID: "e0", Now: now})
		}
		for range returns[now] {
			begin(now, Overdue)
		}
		for n := perStep; n > 0; n-- {
			if random.Float64() >= n {
				break
			}
			if begin(now, Normal) {
				timely++
			} else {
				returns[now+comesBack]++
			}
		}
	}
	capacity := 32 * float64(overloadRun) / float64(serviceTime)
	return float64(timely) / capacity
}

// TestLateRequestsMakeNoOthersLate is for an overload that feeds itself: those
// who were refused come back late, take the places, and the next ones are
// refused for them.
func TestLateRequestsMakeNoOthersLate(t *testing.T) {
	chosen, asUsual, waiting := overload(defaultPatientShare), overload(0.875), overload(1.25)
	t.Logf("begun in time, of the capacity: %.3f; late ones as usual ones %.3f; late ones may wait %.3f", chosen, asUsual, waiting)
	assert.Assert(t, chosen >= 0.8)
	assert.Assert(t, chosen > asUsual)
	assert.Assert(t, asUsual > waiting)
}
