package apportioner

import (
	"math"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// TestLevelsAreMaxMin guards against a level that leaves capacity unused while a demand
// is not met, that exceeds the capacity, or that takes from a demand below its share.
func TestLevelsAreMaxMin(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		demands := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) Demand {
			return Demand{Weight: rapid.IntRange(0, 5).Draw(t, "weight"), Work: rapid.Float64Range(0, 100).Draw(t, "work")}
		}), 0, 30).Draw(t, "demands")
		capacity := rapid.Float64Range(0, 500).Draw(t, "capacity")
		total := 0.0
		for _, d := range demands {
			total += d.Work
		}
		level := Level(capacity, demands)
		served := 0.0
		for _, d := range demands {
			served += min(d.Work, level*float64(max(1, d.Weight)))
		}
		assert.Assert(t, math.Abs(served-min(total, capacity)) < 1e-6, "served %v of %v, capacity %v", served, total, capacity)
		assert.Equal(t, math.IsInf(level, 1), total <= capacity || len(demands) == 0 || served >= total)
	})
}

// TestEarlierDemandsTakePrecedenceAboveTheFloor guards against late demands that starve
// and against early ones that are served less often.
func TestEarlierDemandsTakePrecedenceAboveTheFloor(t *testing.T) {
	served := Ordered(0.5, 0.4, []float64{10, 30, 60})
	assert.DeepEqual(t, served, []float64{10, 28, 12})
	assert.DeepEqual(t, Ordered(1, 0.4, []float64{10, 0, 60}), []float64{10, 0, 60})
	rapid.Check(t, func(t *rapid.T) {
		demands := rapid.SliceOfN(rapid.Float64Range(0, 100), 1, 6).Draw(t, "demands")
		fraction, total, sum, last := rapid.Float64Range(0, 1).Draw(t, "fraction"), 0.0, 0.0, 1.0
		for i, s := range Ordered(fraction, 0.4, demands) {
			total, sum = total+demands[i], sum+s
			assert.Assert(t, s <= demands[i]+1e-9 && s >= 0.4*fraction*demands[i]-1e-9)
			if demands[i] > 0 {
				assert.Assert(t, s/demands[i] <= last+1e-9)
				last = s / demands[i]
			}
		}
		assert.Assert(t, math.Abs(sum-total*fraction) < 1e-6)
	})
}

// TestClockOfAQueueDoesNotLimitWithoutOne shows why an entry advances its clock by the
// level: the clock that follows the starts of a queue follows the organisation that
// crowds out the others, since an entry never has to choose between two that wait.
func TestClockOfAQueueDoesNotLimitWithoutOne(t *testing.T) {
	const steps, level = 1000, 1.0
	followed, advanced := Clock{}, Clock{}
	var a, b Account
	admittedFollowing, admittedAdvancing := 0, 0
	for range steps {
		for range 3 { // The organisation asks for three times the level.
			if followed.CatchUp(&a); followed.Lead(&a) <= 1 {
				followed.Start(&a, 1)
				admittedFollowing++
			}
			if advanced.CatchUp(&b); advanced.Lead(&b) <= 1 {
				b.Charge(1)
				admittedAdvancing++
			}
		}
		advanced.Advance(level)
	}
	assert.Equal(t, admittedFollowing, 3*steps)
	assert.Assert(t, admittedAdvancing <= steps+2, "%d admitted", admittedAdvancing)
}

// TestIdleAccountGainsNoCredit guards against an organisation that was idle and then
// crowds out the others for as long.
func TestIdleAccountGainsNoCredit(t *testing.T) {
	var clock Clock
	var idle, busy Account
	for range 100 {
		clock.Start(&busy, 1)
	}
	clock.CatchUp(&idle)
	assert.Equal(t, idle.VirtualTime(), clock.Now())
	clock.Advance(-5)
	assert.Equal(t, clock.Now(), 99.0)
	busy.Charge(10)
	clock.Forgive(&busy)
	assert.Equal(t, clock.Lead(&busy), 0.0)
}
