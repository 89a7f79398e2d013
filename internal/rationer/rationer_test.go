package rationer

import (
	"fmt"
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// gate is the fraction of the mean below which users accept nothing.
const gate = 0.25

// mean returns the ratio of all that were counted.
func mean(outcomes map[string]*outcome) float64 {
	all := outcome{}
	for _, o := range outcomes {
		all.asked += o.asked
		all.served += o.served
	}
	return all.ratio()
}

// assertGate checks that no organisation and no kind starves, and that the largest tenth
// of a kind is served at least half as often as the kind.
func assertGate(t *testing.T, s *simulation) {
	t.Helper()
	for _, outcomes := range []map[string]*outcome{s.orgs, s.kinds} {
		for name, o := range outcomes {
			assert.Check(t, o.ratio() >= gate*mean(outcomes), "%s is served %.3f, all %.3f", name, o.ratio(), mean(outcomes))
		}
	}
	for name, o := range s.kinds {
		assert.Check(t, o.largeServed/max(o.large, 1) >= o.ratio()/2, "the largest of %s are served %.3f of %.3f", name, o.largeServed/max(o.large, 1), o.ratio())
	}
}

// smallest returns the lowest ratio of the small organisations.
func smallest(s *simulation) float64 {
	low := 1.0
	for name, o := range s.orgs {
		if name != "large" {
			low = min(low, o.ratio())
		}
	}
	return low
}

// TestCrowdingOrganisation is the load of one organisation that crowds out 23 others: it
// sends most of what is asked for, at one and a half to three times the capacity. The
// others ask for less than their share, and get it.
func TestCrowdingOrganisation(t *testing.T) {
	capacity := targetUtilization * simSlots / simTime.Seconds()
	for _, c := range []struct{ factor, large float64 }{{1.5, 0.6}, {2, 0.75}, {3, 0.8}} {
		sources := organisations(23, c.factor*capacity, c.large)
		open, rationed := simulate(sources, nil), simulate(sources, []int{0})
		t.Logf("%.1f times the capacity, %.2f of it one organisation: smallest %.3f, large %.3f; not rationed %.3f, %.3f; busy %.0f of %.0f", c.factor, c.large,
			smallest(rationed), rationed.orgs["large"].ratio(), smallest(open), open.orgs["large"].ratio(), rationed.busy, open.busy)
		assertGate(t, rationed)
		assert.Check(t, smallest(rationed) >= 0.9)
		assert.Check(t, rationed.busy >= 0.95*open.busy, "capacity stays unused")
	}
}

// TestLargestOrganisationDoesNotStarve is the load of organisations that all ask for more
// than their share, one of them for twenty times as much: of its equal share it would be
// served next to never.
func TestLargestOrganisationDoesNotStarve(t *testing.T) {
	s := simulate(organisations(11, 3*targetUtilization*simSlots/simTime.Seconds(), 0.65), []int{0})
	t.Logf("smallest %.3f, large %.3f", smallest(s), s.orgs["large"].ratio())
	assertGate(t, s)
}

// TestUnevenOrganisations is the load of 24 organisations of which each asks for less
// than the one before, at twice the capacity.
func TestUnevenOrganisations(t *testing.T) {
	capacity, total := targetUtilization*simSlots/simTime.Seconds(), 0.0
	for i := range 24 {
		total += math.Pow(0.8, float64(i))
	}
	var sources []source
	for i := range 24 {
		sources = append(sources, source{organisation: fmt.Sprintf("o%d", i), kind: "k0", model: "m", rate: 2 * capacity * math.Pow(0.8, float64(i)) / total})
	}
	s := simulate(sources, []int{0})
	assertGate(t, s)
	small := map[string]*outcome{}
	for i := 12; i < 24; i++ { // One alone sends too few requests for a bound.
		small[fmt.Sprint(i)] = s.orgs[fmt.Sprintf("o%d", i)]
	}
	assert.Check(t, mean(small) >= 0.9, "%.3f", mean(small))
}

// TestAnOverloadOfOneOrganisationIsNotShared guards against refusing what nobody else
// needs: a single organisation, or one whose neighbours rest, gets all slots.
func TestAnOverloadOfOneOrganisationIsNotShared(t *testing.T) {
	capacity := targetUtilization * simSlots / simTime.Seconds()
	for _, rest := range []float64{0, 0.02} {
		sources := organisations(4, 2*capacity, 1-rest)
		open, rationed := simulate(sources, nil), simulate(sources, []int{0})
		assert.Check(t, rationed.busy >= 0.97*open.busy, "%.0f of %.0f", rationed.busy, open.busy)
	}
}

// TestNothingIsRefusedWithoutShortage guards against refusals while slots are free:
// uneven organisations and three priorities at a little over half of the capacity.
func TestNothingIsRefusedWithoutShortage(t *testing.T) {
	sources := organisations(5, 0.55*simSlots/simTime.Seconds(), 0.7)
	for i := range sources {
		sources[i].priority = i % 3
	}
	s := simulate(sources, []int{0, 1, 2})
	assert.Equal(t, mean(s.kinds), 1.0)
	assert.Equal(t, s.unforced, 0)
}

// TestRepeatingClients is the load of clients that repeat at once: half of the requests
// come from an organisation whose clients repeat each of them twenty times within a
// second or so. Those that wait as they are told lose nothing to them.
func TestRepeatingClients(t *testing.T) {
	capacity := targetUtilization * simSlots / simTime.Seconds()
	sources := organisations(8, 1.6*capacity, 0.5)
	sources[0].impatient = true
	open, s := simulate(sources, nil), simulate(sources, []int{0})
	t.Logf("waiting %.3f, repeating %.3f; not rationed %.3f, %.3f", smallest(s), s.orgs["large"].ratio(), smallest(open), open.orgs["large"].ratio())
	assertGate(t, s)
	assert.Check(t, smallest(s) >= s.orgs["large"].ratio()-0.05)
}

// threeKinds returns three kinds of different priority with the same clients.
func threeKinds(rate float64, models ...string) []source {
	var sources []source
	for i := range 3 {
		for o := range 4 {
			sources = append(sources, source{organisation: fmt.Sprintf("o%d", o), kind: fmt.Sprintf("k%d", i), priority: i, model: models[i], rate: rate / 12})
		}
	}
	return sources
}

// assertOrder checks that a more urgent kind is served at least as often as a less
// urgent one, within 5 in 100.
func assertOrder(t *testing.T, s *simulation) {
	t.Helper()
	t.Logf("served: %.3f, %.3f, %.3f", s.kinds["k0"].ratio(), s.kinds["k1"].ratio(), s.kinds["k2"].ratio())
	for i := range 2 {
		more, less := s.kinds[fmt.Sprintf("k%d", i)].ratio(), s.kinds[fmt.Sprintf("k%d", i+1)].ratio()
		assert.Check(t, more >= less-0.05, "k%d is served %.3f, k%d %.3f", i, more, i+1, less)
	}
}

// TestThreePrioritiesOfOneModel is the load of three kinds that compete for one model, at
// up to four times its capacity.
func TestThreePrioritiesOfOneModel(t *testing.T) {
	capacity := targetUtilization * simSlots / simTime.Seconds()
	for _, factor := range []float64{1.1, 1.5, 2.5, 4} {
		s := simulate(threeKinds(factor*capacity, "m", "m", "m"), []int{0, 1, 2})
		assertOrder(t, s)
		assertGate(t, s)
	}
}

// TestThreePrioritiesOfTwoModels is the load of three kinds that compete for two models,
// whose instances are divided by the reported demand. The most urgent kind has a model
// to itself and more demand than the others together.
func TestThreePrioritiesOfTwoModels(t *testing.T) {
	capacity := 2 * targetUtilization * simSlots / simTime.Seconds()
	sources := threeKinds(1.5*capacity, "m", "n", "n")
	for i := range sources {
		if sources[i].model == "m" {
			sources[i].rate *= 1.5
		} else {
			sources[i].rate *= 0.75
		}
	}
	divide := func(s *simulation) {
		s.perform = func(s *simulation, now time.Duration) {
			if now%(4*time.Second) != 0 {
				return
			}
			// A placer that lags keeps more of the even division than the demand asks for.
			asked := s.demand["m"] / max(s.demand["m"]+s.demand["n"], 1)
			s.slots["m"] = math.Round(2 * simSlots * (0.3*0.5 + 0.7*asked))
			s.slots["n"] = 2*simSlots - s.slots["m"]
			clear(s.demand)
		}
	}
	s := simulate(sources, []int{0, 1, 2}, divide)
	assertOrder(t, s)
	assertGate(t, s)
}

// TestBurstsOfTheLeastUrgent is the load of bursts of the least urgent kind, at four times
// the capacity: the most urgent kind hardly notices them, and between the bursts
// everything is served.
func TestBurstsOfTheLeastUrgent(t *testing.T) {
	capacity := targetUtilization * simSlots / simTime.Seconds()
	sources := threeKinds(0.6*capacity, "m", "m", "m")
	for o := range 4 {
		sources = append(sources, source{organisation: fmt.Sprintf("o%d", o), kind: "k2", priority: 2, model: "m", rate: capacity, burst: func(at time.Duration) bool { return at%(10*time.Second) < 2*time.Second }})
	}
	open, s := simulate(sources, nil), simulate(sources, []int{0, 1, 2})
	t.Logf("the most urgent kind %.3f, not rationed %.3f", s.kinds["k0"].ratio(), open.kinds["k0"].ratio())
	assertOrder(t, s)
	assertGate(t, s)
	assert.Check(t, s.kinds["k0"].ratio() >= 0.97)
	assert.Check(t, s.busy >= 0.9*open.busy, "%.0f of %.0f", s.busy, open.busy)
}
