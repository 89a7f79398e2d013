package planner

import (
	"fmt"
	"slices"
	"testing"

	"papayaseam/internal/messenger"

	"gotest.tools/v3/assert"
)

// fleet is a small fake of instances that load for a while and then are ready.
type fleet struct {
	planner   *Planner
	nowMs     int
	instances []*Instance
	models    []messenger.Object
	services  []messenger.Object
	groups    map[string]messenger.GroupSpec
	loading   map[string]load
	index     int
	assigned  int
}

type load struct {
	name string
	end  int
}

func newFleet(fabrics, each int, opts ...Option) *fleet {
	f := &fleet{planner: New(opts...), groups: map[string]messenger.GroupSpec{}, loading: map[string]load{}}
	for fabric := range fabrics {
		for i := range each {
			f.instances = append(f.instances, &Instance{
				Name: fmt.Sprintf("f%02d-i%02d", fabric, i), FabricDomain: fmt.Sprintf("f%02d", fabric),
				FailureDomain: fmt.Sprintf("d%d", fabric%3), ModelEngine: true, EndpointUp: true,
			})
		}
	}
	return f
}

func (f *fleet) model(name string, members, groups, priority, loadMs int) {
	f.models = append(f.models, messenger.Object{Kind: "model", Name: name, Model: &messenger.ModelSpec{
		Version: "v1", Members: members, Groups: groups, Priority: priority, LoadMs: loadMs,
	}})
}

func (f *fleet) instance(name string) *Instance {
	for _, instance := range f.instances {
		if instance.Name == name {
			return instance
		}
	}
	return nil
}

// ready reports whether all members of a group are up and loaded.
func (f *fleet) ready(name string) bool {
	group := f.groups[name]
	if !group.Active {
		return false
	}
	for rank, m := range group.Members {
		instance := f.instance(m.Instance)
		if !instance.EndpointUp || instance.SilentMs > 0 || instance.Loaded != LoadedName(group.Model, group.Version, rank) {
			return false
		}
	}
	return true
}

func (f *fleet) view() ViewMsg {
	msg := ViewMsg{NowMs: f.nowMs, Models: f.models, Services: f.services, Ready: map[string]int{}}
	for _, instance := range f.instances {
		msg.Instances = append(msg.Instances, *instance)
	}
	for name, group := range f.groups {
		msg.Groups = append(msg.Groups, messenger.Object{Kind: "group", Name: name, Group: &group})
		if f.ready(name) {
			msg.Ready[name] = group.Epoch
		}
	}
	return msg
}

// step lets loads go on for some time and plans once.
func (f *fleet) step(ms int) {
	f.nowMs += ms
	for _, instance := range f.instances {
		if instance.SilentMs > 0 {
			instance.SilentMs += ms
		}
	}
	for name, l := range f.loading {
		instance := f.instance(name)
		if f.nowMs >= l.end && instance.EndpointUp && instance.SilentMs == 0 {
			instance.Loaded = l.name
			delete(f.loading, name)
		}
	}
	for _, assignment := range f.planner.Update(f.view()) {
		f.apply(assignment)
	}
	f.loadPermitted()
}

func (f *fleet) apply(assignment messenger.Assignment) {
	f.index++
	f.assigned++
	group := assignment.Group
	before := f.groups[assignment.Name]
	group.Epoch = before.Epoch
	if !slices.Equal(before.Members, group.Members) || before.Version != group.Version || before.Active != group.Active {
		group.Epoch = f.index
	}
	f.groups[assignment.Name] = group
}

// loadPermitted starts the loads that groups may do and lack.
func (f *fleet) loadPermitted() {
	for _, group := range f.groups {
		if !group.Active || !group.MayLoad || group.Model == "" {
			continue
		}
		for rank, m := range group.Members {
			f.load(group, m.Instance, rank)
		}
		for _, m := range group.Standbys {
			f.load(group, m.Instance, m.Rank)
		}
	}
}

func (f *fleet) load(group messenger.GroupSpec, name string, rank int) {
	want := LoadedName(group.Model, group.Version, rank)
	instance := f.instance(name)
	if l, loading := f.loading[name]; !instance.EndpointUp || instance.Loaded == want || (loading && l.name == want) {
		return
	}
	instance.Loaded = ""
	f.loading[name] = load{want, f.nowMs + group.LoadMs}
}

func (f *fleet) run(ms int) {
	for end := f.nowMs + ms; f.nowMs < end; {
		f.step(200)
	}
}

func TestGroupsAreWholeAndSpread(t *testing.T) {
	f := newFleet(6, 5)
	f.model("a", 4, 3, 0, 1000)
	f.run(3000)
	domains := map[string]bool{}
	for i := range 3 {
		name := GroupName("a", i)
		assert.Assert(t, f.ready(name))
		domains[f.groups[name].FailureDomain] = true
		for _, m := range f.groups[name].Members {
			assert.Equal(t, f.instance(m.Instance).FabricDomain, f.groups[name].FabricDomain)
		}
	}
	assert.Equal(t, len(domains), 3, "replicas are not spread over failure domains")
}

func TestCrashedEndpointIsReplacedFromASpareAtOnce(t *testing.T) {
	f := newFleet(1, 5)
	f.model("a", 4, 1, 0, 1000)
	f.run(3000)
	lost := f.groups["a-0"].Members[2].Instance
	f.instance(lost).EndpointUp = false
	f.run(400)
	assert.Assert(t, f.groups["a-0"].Members[2].Instance != lost)
	f.run(1200)
	assert.Assert(t, f.ready("a-0"))
}

func TestSilentMemberIsWaitedForAsLongAsALoad(t *testing.T) {
	f := newFleet(1, 5, WithPatience(3000, 60_000))
	f.model("a", 4, 1, 0, 10_000)
	f.run(12_000)
	paused := f.groups["a-0"].Members[1].Instance
	f.instance(paused).SilentMs = 1
	f.run(9000)
	assert.Equal(t, f.groups["a-0"].Members[1].Instance, paused, "given up before a replacement could pay")
	f.run(6000)
	assert.Assert(t, f.groups["a-0"].Members[1].Instance != paused)
}

func TestBrokenGroupsWithoutSparesCompleteEachOther(t *testing.T) {
	f := newFleet(1, 8)
	f.model("a", 4, 2, 0, 1000)
	f.run(3000)
	f.instance(f.groups["a-0"].Members[0].Instance).EndpointUp = false
	f.instance(f.groups["a-1"].Members[3].Instance).EndpointUp = false
	f.run(3000)
	serving := 0
	for i := range 2 {
		if f.ready(GroupName("a", i)) {
			serving++
		}
	}
	assert.Equal(t, serving, 1, "two broken groups must yield one whole one")
}

func TestMoreImportantModelIsRepairedFirst(t *testing.T) {
	f := newFleet(1, 5)
	f.model("low", 2, 1, 0, 1000)
	f.model("high", 2, 1, 5, 1000)
	f.run(3000)
	f.instance(f.groups["low-0"].Members[0].Instance).EndpointUp = false
	f.instance(f.groups["high-0"].Members[0].Instance).EndpointUp = false
	f.run(3000)
	assert.Assert(t, f.ready("high-0"))
}

func TestSecondLossAfterARepairIsRepairedAgain(t *testing.T) {
	f := newFleet(1, 6)
	f.model("a", 4, 1, 0, 2000)
	f.run(4000)
	f.instance(f.groups["a-0"].Members[0].Instance).EndpointUp = false
	f.run(1000)
	f.instance(f.groups["a-0"].Members[0].Instance).EndpointUp = false
	f.run(4000)
	assert.Assert(t, f.ready("a-0"))
}

func TestStragglerIsReplacedOnlyAfterItsReplacementHasLoaded(t *testing.T) {
	f := newFleet(1, 5)
	f.model("a", 4, 1, 0, 5000)
	f.run(7000)
	slow := f.groups["a-0"].Members[1].Instance
	f.instance(slow).Straggling = true
	for end := f.nowMs + 8000; f.nowMs < end; f.step(200) {
		assert.Assert(t, f.ready("a-0"), "the group stood still at %d ms", f.nowMs)
	}
	assert.Assert(t, f.groups["a-0"].Members[1].Instance != slow)
	assert.Equal(t, len(f.groups["a-0"].Standbys), 0)
}

func TestVersionsRollOneGroupAtATime(t *testing.T) {
	f := newFleet(3, 4)
	f.model("a", 4, 3, 0, 2000)
	f.run(4000)
	f.models[0].Model.Version = "v2"
	for end := f.nowMs + 12_000; f.nowMs < end; f.step(200) {
		serving := 0
		for i := range 3 {
			if f.ready(GroupName("a", i)) {
				serving++
			}
		}
		assert.Assert(t, serving >= 2, "%d of 3 groups serve at %d ms", serving, f.nowMs)
	}
	for i := range 3 {
		assert.Equal(t, f.groups[GroupName("a", i)].Version, "v2")
		assert.Assert(t, f.ready(GroupName("a", i)))
	}
}

func TestReturningDomainLoadsWithinTheBound(t *testing.T) {
	f := newFleet(8, 4, WithMaxLoads(8))
	f.model("a", 4, 8, 0, 3000)
	f.run(20_000)
	for _, instance := range f.instances {
		instance.EndpointUp = false
		instance.Loaded = ""
	}
	f.run(4000)
	for _, instance := range f.instances {
		instance.EndpointUp = true
	}
	for end := f.nowMs + 40_000; f.nowMs < end; f.step(200) {
		assert.Assert(t, len(f.loading) <= 8, "%d loads at once", len(f.loading))
	}
	for i := range 8 {
		assert.Assert(t, f.ready(GroupName("a", i)))
	}
}

func TestEveryServiceEndpointHasAGroupOfItsOwn(t *testing.T) {
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
	assert.Assert(t, !f.groups[ServiceGroup("orders", f.instances[0].Name)].Active)
}

func BenchmarkUpdate(b *testing.B) {
	for _, instances := range []int{212, 425, 850, 1700} {
		b.Run(fmt.Sprintf("instances-%d", instances), func(b *testing.B) {
			f := newFleet(instances/17, 17)
			f.model("a", 16, instances/17, 0, 1000)
			f.run(60_000)
			view := f.view()
			b.ReportAllocs()
			b.ResetTimer()
			for range b.N {
				f.planner.Update(view)
			}
		})
	}
}
