package planner

import (
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against a slow member that is kept although others of its model are twice
// as fast, and against replacing it on a short slowdown.
func TestStragglerIsDetectedAgainstMedian(t *testing.T) {
	f := newFleet(1, 5)
	f.addModel("a", 4, 1, 0, 2000)
	f.run(4000)
	for _, instance := range f.instances {
		instance.StepMs = 30
	}
	straggler := f.groups["a-0"].Members[2].Instance
	f.instance(straggler).StepMs = 60
	f.run(5000)
	assert.Equal(t, f.groups["a-0"].Members[2].Instance, straggler, "replaced as a straggler too early")
	f.run(10_000)
	assert.Assert(t, f.groups["a-0"].Members[2].Instance != straggler)
	assert.Assert(t, f.isReady("a-0"))
}

// Guards against replacements in a model whose members are all equally slow.
func TestSlowModelHasNoStragglers(t *testing.T) {
	f := newFleet(1, 5)
	f.addModel("a", 4, 1, 0, 2000)
	f.run(4000)
	for i, instance := range f.instances {
		instance.StepMs = 200 + i
	}
	previous := f.assignmentCount
	f.run(20_000)
	assert.Equal(t, f.assignmentCount, previous)
}

// Guards against reusing a straggler as a replacement after it was removed from its
// group.
func TestFreeStragglerIsNotUsedAsReplacement(t *testing.T) {
	f := newFleet(1, 6)
	f.addModel("a", 4, 1, 0, 2000)
	f.run(4000)
	for _, instance := range f.instances {
		instance.StepMs = 30
	}
	straggler := f.groups["a-0"].Members[0].Instance
	f.instance(straggler).StepMs = 90
	f.run(20_000)
	f.instance(f.groups["a-0"].Members[1].Instance).EndpointUp = false
	f.run(4000)
	for _, m := range f.groups["a-0"].Members {
		assert.Assert(t, m.Instance != straggler, "the straggler was used as a replacement")
	}
}
