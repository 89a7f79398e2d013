package planner

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
)

// organisation holds the costs that an organisation assigns to one second of a
// group's downtime and to one second of a stranded accelerator.
type organisation struct {
	name               string
	downtime, stranded int
}

var (
	harrowQuill = organisation{"harrow-quill", 48, 1}
	taisetsu    = organisation{"taisetsu", 16, 3}
)

// cost returns the weighted cost of a simulated fleet.
func (o organisation) cost(f *fleet) int {
	return o.downtime*f.downtimeMs/1000 + o.stranded*f.strandedMs/1000
}

// restartStoreLoads is the number of loads that the weight store serves at full rate.
const restartStoreLoads = 16

// restartEngines restarts engines of all groups in place, which discards their
// weights: two in each group of 16 and one in each group of four. The weight store
// serves 16 of the 36 loads at full rate.
func restartEngines(o organisation) *fleet {
	f := newFleet(4, 2*membersPerGroup+5*4, WithMaxLoads(restartStoreLoads), WithWeights(o.downtime, o.stranded))
	f.storeLoadLimit = restartStoreLoads
	f.planIntervalMs = 1000
	f.addModel("large", membersPerGroup, 8, 0, weightLoadMs)
	f.addModel("small", 4, 20, 0, weightLoadMs)
	f.run(1_200_000)
	f.downtimeMs, f.strandedMs, f.peakLoads = 0, 0, 0
	for i := range 8 {
		f.instance(f.member(GroupName("large", i), 3)).LoadedWeights = ""
		f.instance(f.member(GroupName("large", i), 9)).LoadedWeights = ""
	}
	for i := range 20 {
		f.instance(f.member(GroupName("small", i), 1)).LoadedWeights = ""
	}
	f.run(400_000)
	return f
}

// TestBoundsWeights guards against weights that have no effect on the load order.
// After a restart of many engines, each organisation's cost is lowest under its own
// weights. Single loads that complete a group exceed the limit of the weight store
// by an eighth at most.
func TestBoundsWeights(t *testing.T) {
	fleets := map[string]*fleet{}
	for _, o := range []organisation{harrowQuill, taisetsu} {
		f := restartEngines(o)
		fleets[o.name] = f
		t.Logf("weights of %-12s downtime %5d s, stranded %6d s, most loads %d", o.name, f.downtimeMs/1000, f.strandedMs/1000, f.peakLoads)
		assert.Assert(t, f.peakLoads <= restartStoreLoads*9/8, "%d loads at once", f.peakLoads)
	}
	for _, o := range []organisation{harrowQuill, taisetsu} {
		summary := ""
		for name, f := range fleets {
			summary += fmt.Sprintf(" by %s %d", name, o.cost(f))
			assert.Assert(t, o.cost(fleets[o.name]) <= o.cost(f), "the cost to %s is lower with the weights of %s", o.name, name)
		}
		t.Logf("cost to %s:%s", o.name, summary)
	}
	assert.Assert(t, fleets[harrowQuill.name].downtimeMs < fleets[taisetsu.name].downtimeMs)
	assert.Assert(t, fleets[taisetsu.name].strandedMs < fleets[harrowQuill.name].strandedMs)
}
