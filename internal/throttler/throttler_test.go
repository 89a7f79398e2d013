package throttler

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const objective = 400 * time.Millisecond

func recordFirstEvent(t *Throttler, latency time.Duration) {
	t.Update(FirstEventMsg{Model: "m", Latency: latency, Objective: objective})
}

func TestAdmittedFractionFallsWhenLateAndRecoversWhenTimely(t *testing.T) {
	th := New()
	assert.Equal(t, th.AdmittedFraction("m"), 1.0)
	for range 100 {
		recordFirstEvent(th, time.Second)
	}
	assert.Equal(t, th.AdmittedFraction("m"), minAdmittedFraction)
	for range 100 {
		recordFirstEvent(th, 100*time.Millisecond)
	}
	assert.Equal(t, th.AdmittedFraction("m"), 1.0)
	assert.Equal(t, th.AdmittedFraction("another"), 1.0)
}

func TestEveryRequestIsAdmittedAtLowUtilization(t *testing.T) {
	th := New()
	for range 100 {
		recordFirstEvent(th, time.Second)
	}
	assert.Assert(t, th.Admits("m", 0.3, 0.99))
	assert.Assert(t, !th.Admits("m", 0.9, 0.99))
	assert.Assert(t, th.Admits("m", 0.9, 0.1))
}

// TestOverloadLeavesAboutAQuarterLate simulates a queue at 1.5 times its
// capacity, whose latency grows with the requests admitted beyond capacity.
func TestOverloadLeavesAboutAQuarterLate(t *testing.T) {
	th := New()
	queue, late, n := 0.0, 0, 0
	for i := range 4000 {
		admitted := th.AdmittedFraction("m")
		queue = max(0, queue+1.5*admitted-1)
		latency := 150*time.Millisecond + time.Duration(queue*float64(40*time.Millisecond))
		recordFirstEvent(th, latency)
		if i > 1000 {
			n++
			if latency > objective {
				late++
			}
		}
	}
	assert.Assert(t, float64(late)/float64(n) < 0.4, "%d of %d late", late, n)
}
