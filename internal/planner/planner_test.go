package planner

import (
	"fmt"
	"testing"

	"papayaseam/internal/messenger"

	"gotest.tools/v3/assert"
)

// Guards against groups that span fabric domains and replicas that share a failure
// domain although others have room.
func TestGroupsStayInOneFabricDomainAndSpreadOverFailureDomains(t *testing.T) {
	f := newFleet(6, 5)
	f.addModel("a", 4, 3, 0, 1000)
	f.run(3000)
	domains := map[string]bool{}
	for i := range 3 {
		name := GroupName("a", i)
		assert.Assert(t, f.isReady(name))
		domains[f.groups[name].FailureDomain] = true
		for _, m := range f.groups[name].Members {
			assert.Equal(t, f.instance(m.Instance).FabricDomain, f.groups[name].FabricDomain)
		}
	}
	assert.Equal(t, len(domains), 3, "replicas are not spread over failure domains")
}

// Guards against waiting for the silence timeout although the side process has
// reported the endpoint as down.
func TestCrashedEndpointIsReplacedBySpareAtOnce(t *testing.T) {
	f := newFleet(1, 5)
	f.addModel("a", 4, 1, 0, 1000)
	f.run(3000)
	crashed := f.groups["a-0"].Members[2].Instance
	f.instance(crashed).EndpointUp = false
	f.run(400)
	assert.Assert(t, f.groups["a-0"].Members[2].Instance != crashed)
	f.run(1200)
	assert.Assert(t, f.isReady("a-0"))
}

// Guards against replacing an unreachable member before the time that its
// replacement would take to load, and against never replacing it.
func TestSilentMemberIsReplacedAfterLoadTime(t *testing.T) {
	f := newFleet(1, 5, WithSilenceTimeout(3000, 60_000))
	f.addModel("a", 4, 1, 0, 10_000)
	f.run(12_000)
	silent := f.groups["a-0"].Members[1].Instance
	f.instance(silent).SilenceMs = 1
	f.run(9000)
	assert.Equal(t, f.groups["a-0"].Members[1].Instance, silent, "replaced before the load time had passed")
	f.run(6000)
	assert.Assert(t, f.groups["a-0"].Members[1].Instance != silent)
}

// Guards against two incomplete groups that both stay down although the members of
// one could complete the other.
func TestBrokenGroupIsDissolvedToCompleteAnother(t *testing.T) {
	f := newFleet(1, 8)
	f.addModel("a", 4, 2, 0, 1000)
	f.run(3000)
	f.instance(f.groups["a-0"].Members[0].Instance).EndpointUp = false
	f.instance(f.groups["a-1"].Members[3].Instance).EndpointUp = false
	f.run(3000)
	serving := 0
	for i := range 2 {
		if f.isReady(GroupName("a", i)) {
			serving++
		}
	}
	assert.Equal(t, serving, 1, "one of the two incomplete groups must be completed")
}

// Guards against the only spare going to a group of lower priority.
func TestHigherPriorityModelIsRepairedFirst(t *testing.T) {
	f := newFleet(1, 5)
	f.addModel("low", 2, 1, 0, 1000)
	f.addModel("high", 2, 1, 5, 1000)
	f.run(3000)
	f.instance(f.groups["low-0"].Members[0].Instance).EndpointUp = false
	f.instance(f.groups["high-0"].Members[0].Instance).EndpointUp = false
	f.run(3000)
	assert.Assert(t, f.isReady("high-0"))
}

// Guards against a replacement that fails while it loads and is not replaced itself.
func TestReplacementLostDuringRepairIsReplaced(t *testing.T) {
	f := newFleet(1, 6)
	f.addModel("a", 4, 1, 0, 2000)
	f.run(4000)
	f.instance(f.groups["a-0"].Members[0].Instance).EndpointUp = false
	f.run(1000)
	f.instance(f.groups["a-0"].Members[0].Instance).EndpointUp = false
	f.run(4000)
	assert.Assert(t, f.isReady("a-0"))
}

// Guards against an interruption while a straggler is replaced: its group serves
// until the standby has loaded, and again right after the promotion.
func TestStragglerIsReplacedOnlyAfterItsReplacementHasLoaded(t *testing.T) {
	f := newFleet(1, 5)
	f.addModel("a", 4, 1, 0, 5000)
	f.run(7000)
	straggler := f.groups["a-0"].Members[1].Instance
	f.instance(straggler).Straggling = true
	for end := f.nowMs + 8000; f.nowMs < end; f.step(200) {
		assert.Assert(t, f.isReady("a-0"), "the group did not serve at %d ms", f.nowMs)
	}
	assert.Assert(t, f.groups["a-0"].Members[1].Instance != straggler)
	assert.Equal(t, len(f.groups["a-0"].Standbys), 0)
}

// Guards against a version change that takes down more than one group of a model.
func TestVersionRolloutUpdatesOneGroupAtATime(t *testing.T) {
	f := newFleet(3, 4)
	f.addModel("a", 4, 3, 0, 2000)
	f.run(4000)
	f.models[0].Model.Version = "v2"
	for end := f.nowMs + 12_000; f.nowMs < end; f.step(200) {
		serving := 0
		for i := range 3 {
			if f.isReady(GroupName("a", i)) {
				serving++
			}
		}
		assert.Assert(t, serving >= 2, "%d of 3 groups serve at %d ms", serving, f.nowMs)
	}
	for i := range 3 {
		assert.Equal(t, f.groups[GroupName("a", i)].Version, "v2")
		assert.Assert(t, f.isReady(GroupName("a", i)))
	}
}

// Guards against an overload of the weight store when all instances return without
// weights at the same time.
func TestRecoveringFleetStaysWithinLoadLimit(t *testing.T) {
	f := newFleet(8, 4, WithMaxLoads(8))
	f.addModel("a", 4, 8, 0, 3000)
	f.run(20_000)
	for _, instance := range f.instances {
		instance.EndpointUp = false
		instance.LoadedWeights = ""
	}
	f.run(4000)
	for _, instance := range f.instances {
		instance.EndpointUp = true
	}
	for end := f.nowMs + 40_000; f.nowMs < end; f.step(200) {
		assert.Assert(t, len(f.loading) <= 8, "%d loads at once", len(f.loading))
	}
	for i := range 8 {
		assert.Assert(t, f.isReady(GroupName("a", i)))
	}
}

// Guards against service endpoints without a group, and against groups whose
// endpoint is leaving.
func TestEachServiceEndpointGetsItsOwnGroup(t *testing.T) {
	f := newFleet(1, 2)
	for _, instance := range f.instances {
		instance.ModelEngine = false
		instance.Service = "orders"
	}
	f.services = []messenger.Object{{Kind: "service", Name: "orders", Service: &messenger.ServiceSpec{Parallel: 4}}}
	f.run(400)
	assert.Equal(t, len(f.groups), 2)
	f.instances[0].Leaving = true
	f.run(400)
	assert.Assert(t, !f.groups[ServiceGroupName("orders", f.instances[0].Name)].Active)
}

func BenchmarkUpdate(b *testing.B) {
	for _, instances := range []int{212, 425, 850, 1700} {
		b.Run(fmt.Sprintf("instances-%d", instances), func(b *testing.B) {
			f := newFleet(instances/17, 17)
			f.addModel("a", 16, instances/17, 0, 1000)
			f.planIntervalMs = 1000
			f.run(30_000)
			view := f.view()
			b.ReportAllocs()
			b.ResetTimer()
			for range b.N {
				f.planner.Update(view)
			}
		})
	}
}
