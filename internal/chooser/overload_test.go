package chooser

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const (
	overloadStep     = 10 * time.Millisecond
	overloadDuration = 60 * time.Second
	serviceTime      = 1200 * time.Millisecond
	// retryDelay is when a refused client sends its request again.
	retryDelay = 1500 * time.Millisecond
	// overloadFactor is the offered load as a multiple of the group's capacity.
	overloadFactor = 1.4
)

// simulateOverload offers one group of 32 slots more requests than it can serve.
// A refused request is sent once more, as an overdue one. It returns the number
// of requests that started on their first attempt, as a fraction of those that
// the group can serve.
func simulateOverload(overdueShare float64) float64 {
	c := New("d0", WithSeed(7), WithOverdueShare(overdueShare))
	random := rand.New(rand.NewPCG(3, 3))
	arrivalsPerStep := overloadFactor * 32 / float64(serviceTime) * float64(overloadStep)
	completions, retries := map[time.Duration]int{}, map[time.Duration]int{}
	startedInTime := 0
	start := func(now time.Duration, urgency Urgency) bool {
		request := Request{Service: "s", Model: "m", Now: now, Urgency: urgency}
		target, ok := c.Pick(request)
		if ok {
			c.Update(AttemptStartedMsg{ID: target.ID})
			completions[now+serviceTime]++
		}
		return ok
	}
	fleet := newFleet(1, idle)
	fleet.EntryCount = 1
	c.Update(fleet)
	for now := time.Duration(0); now < overloadDuration; now += overloadStep {
		for range completions[now] {
			c.Update(AttemptEndedMsg{ID: "e0", Now: now})
		}
		for range retries[now] {
			start(now, Overdue)
		}
		for n := arrivalsPerStep; n > 0; n-- {
			if random.Float64() >= n {
				break
			}
			if start(now, Normal) {
				startedInTime++
			} else {
				retries[now+retryDelay]++
			}
		}
	}
	capacity := 32 * float64(overloadDuration) / float64(serviceTime)
	return float64(startedInTime) / capacity
}

// TestOverdueRequestsDoNotDelayNormalOnes guards against an overload that
// sustains itself: refused requests come back late, take the slots, and cause the
// next requests to be refused.
func TestOverdueRequestsDoNotDelayNormalOnes(t *testing.T) {
	limited, asNormal, queueing := simulateOverload(defaultOverdueShare), simulateOverload(0.875), simulateOverload(1.25)
	t.Logf("started in time, as a fraction of the capacity: %.3f; overdue requests treated as normal %.3f; overdue requests may queue %.3f", limited, asNormal, queueing)
	assert.Assert(t, limited >= 0.8)
	assert.Assert(t, limited > asNormal)
	assert.Assert(t, asNormal > queueing)
}

// burstShare is the share of the slots of a group that a burst of normal requests
// finds free, however many overdue requests came before it.
const burstShare = 2.0 / 3

// TestBurstFindsSlotsAfterOverdueRequests has the clients that were refused while
// groups were lost come back all at once, just before a burst of first requests.
func TestBurstFindsSlotsAfterOverdueRequests(t *testing.T) {
	c := New("d0", WithSeed(7))
	fleet := newFleet(1, idle)
	fleet.EntryCount = 1
	c.Update(fleet)
	admitted := map[Urgency]int{}
	for _, urgency := range []Urgency{Overdue, Normal} {
		for range fleet.Endpoints[0].Slots {
			target, ok := c.Pick(Request{Service: "s", Model: "m", Now: time.Minute, Urgency: urgency})
			if ok {
				c.Update(AttemptStartedMsg{ID: target.ID})
				admitted[urgency]++
			}
		}
	}
	assert.Assert(t, admitted[Overdue] > 0)
	assert.Assert(t, float64(admitted[Normal]) >= burstShare*float64(fleet.Endpoints[0].Slots), "%d normal requests after %d overdue ones", admitted[Normal], admitted[Overdue])
}
