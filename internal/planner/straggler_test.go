package planner

import (
	"testing"

	"gotest.tools/v3/assert"
)

func TestStragglerIsFoundByComparison(t *testing.T) {
	f := newFleet(1, 5)
	f.model("a", 4, 1, 0, 2000)
	f.run(4000)
	for _, instance := range f.instances {
		instance.StepMs = 30
	}
	slow := f.groups["a-0"].Members[2].Instance
	f.instance(slow).StepMs = 60
	f.run(5000)
	assert.Equal(t, f.groups["a-0"].Members[2].Instance, slow, "taken for a straggler too soon")
	f.run(10_000)
	assert.Assert(t, f.groups["a-0"].Members[2].Instance != slow)
	assert.Assert(t, f.ready("a-0"))
}

func TestSlowModelHasNoStragglers(t *testing.T) {
	f := newFleet(1, 5)
	f.model("a", 4, 1, 0, 2000)
	f.run(4000)
	for i, instance := range f.instances {
		instance.StepMs = 200 + i
	}
	before := f.assigned
	f.run(20_000)
	assert.Equal(t, f.assigned, before)
}

func TestFreeStragglerIsNotTaken(t *testing.T) {
	f := newFleet(1, 6)
	f.model("a", 4, 1, 0, 2000)
	f.run(4000)
	for _, instance := range f.instances {
		instance.StepMs = 30
	}
	slow := f.groups["a-0"].Members[0].Instance
	f.instance(slow).StepMs = 90
	f.run(20_000)
	f.instance(f.groups["a-0"].Members[1].Instance).EndpointUp = false
	f.run(4000)
	for _, m := range f.groups["a-0"].Members {
		assert.Assert(t, m.Instance != slow, "the straggler came back as a replacement")
	}
}
