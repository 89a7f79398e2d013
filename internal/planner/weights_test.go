package planner

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
)

// office is how a deployment weighs a second of a group's downtime against a
// second of an accelerator that its group strands.
type office struct {
	name                string
	downtime, stranding int
}

var (
	harrowQuill = office{"harrow-quill", 48, 1}
	taisetsu    = office{"taisetsu", 16, 3}
)

func (o office) cost(f *fleet) int { return o.downtime*f.downMs/1000 + o.stranding*f.idleMs/1000 }

const waveStore = 16

// restartWave restarts engines of all groups in place, so that they lose their
// weights: two of each group of 16, one of each group of four. The weight store
// serves 16 of the 36 loads at full rate.
func restartWave(o office) *fleet {
	f := newFleet(4, 2*boundMembers+5*4, WithMaxLoads(waveStore), WithWeights(o.downtime, o.stranding))
	f.store = waveStore
	f.tickMs = 1000
	f.model("large", boundMembers, 8, 0, boundLoadMs)
	f.model("small", 4, 20, 0, boundLoadMs)
	f.run(1_200_000)
	f.downMs, f.idleMs, f.mostLoads = 0, 0, 0
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

// TestBoundsWeights compares what a restart of many engines costs each office
// under its own weights and under the other's: each is better served by its
// own. A single load that completes a group may exceed the weight store's bound
// by an eighth of it, not more.
func TestBoundsWeights(t *testing.T) {
	fleets := map[string]*fleet{}
	for _, o := range []office{harrowQuill, taisetsu} {
		f := restartWave(o)
		fleets[o.name] = f
		t.Logf("weights of %-12s downtime %5d s, stranded %6d s, most loads %d", o.name, f.downMs/1000, f.idleMs/1000, f.mostLoads)
		assert.Assert(t, f.mostLoads <= waveStore*9/8, "%d loads at once", f.mostLoads)
	}
	for _, o := range []office{harrowQuill, taisetsu} {
		line := ""
		for name, f := range fleets {
			line += fmt.Sprintf(" by %s %d", name, o.cost(f))
			assert.Assert(t, o.cost(fleets[o.name]) <= o.cost(f), "%s would be better served by the weights of %s", o.name, name)
		}
		t.Logf("cost to %s:%s", o.name, line)
	}
	assert.Assert(t, fleets[harrowQuill.name].downMs < fleets[taisetsu.name].downMs)
	assert.Assert(t, fleets[taisetsu.name].idleMs < fleets[harrowQuill.name].idleMs)
}
