package planner

import (
	"fmt"
	"slices"

	"papayaseam/internal/messenger"
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
	byName    map[string]*Instance
	index     int
	assigned  int
	store     int // store is how many loads the weight store serves at full rate; 0 means any.
	downMs    int // downMs sums the time that wanted groups did not serve.
	idleMs    int // idleMs sums the time that healthy members of such groups idled.
	mostLoads int
	tickMs    int // tickMs is the time between two plans.
	timers    []timer
	slow      map[string]bool // slow names instances that hold their group back.
}

type timer struct {
	atMs   int
	change func()
}

// load is weights under way; left is the work that remains, in milliseconds at
// full rate.
type load struct {
	name string
	left float64
}

func newFleet(fabrics, each int, opts ...Option) *fleet {
	f := &fleet{planner: New(opts...), tickMs: 200, groups: map[string]messenger.GroupSpec{}, loading: map[string]load{}, byName: map[string]*Instance{}, slow: map[string]bool{}}
	for fabric := range fabrics {
		for i := range each {
			f.instances = append(f.instances, &Instance{
				Name: fmt.Sprintf("f%02d-i%02d", fabric, i), FabricDomain: fmt.Sprintf("f%02d", fabric),
				FailureDomain: fmt.Sprintf("d%d", fabric%3), ModelEngine: true, EndpointUp: true,
			})
			last := f.instances[len(f.instances)-1]
			f.byName[last.Name] = last
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
	return f.byName[name]
}

// ready reports whether all members of a group are up and loaded.
func (f *fleet) ready(name string) bool {
	group := f.groups[name]
	if !group.Active {
		return false
	}
	for rank, m := range group.Members {
		instance := f.instance(m.Instance)
		if !instance.EndpointUp || instance.SilenceMs > 0 || f.slow[m.Instance] || instance.LoadedWeights != messenger.LoadedName(group.Model, group.Version, rank) {
			return false
		}
	}
	return true
}

func (f *fleet) view() ViewMsg {
	msg := ViewMsg{NowMs: f.nowMs, Models: f.models, Services: f.services, ReadyEpochs: map[string]int{}}
	for _, instance := range f.instances {
		msg.Instances = append(msg.Instances, *instance)
	}
	for name, group := range f.groups {
		msg.Groups = append(msg.Groups, messenger.Object{Kind: "group", Name: name, Group: &group})
		if f.ready(name) {
			msg.ReadyEpochs[name] = group.Epoch
		}
	}
	return msg
}

// step lets loads go on for some time and plans once.
func (f *fleet) step(ms int) {
	f.nowMs += ms
	for _, instance := range f.instances {
		if instance.SilenceMs > 0 {
			instance.SilenceMs += ms
		}
	}
	f.fire()
	f.progress(ms)
	f.account(ms)
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
	want := messenger.LoadedName(group.Model, group.Version, rank)
	instance := f.instance(name)
	if l, loading := f.loading[name]; !instance.EndpointUp || instance.LoadedWeights == want || (loading && l.name == want) {
		return
	}
	instance.LoadedWeights = ""
	f.loading[name] = load{want, float64(group.LoadMs)}
}

// fire runs the timers that are due.
func (f *fleet) fire() {
	due := f.timers
	f.timers = nil
	for _, t := range due {
		if t.atMs > f.nowMs {
			f.timers = append(f.timers, t)
			continue
		}
		t.change()
	}
}

// progress lets the loads go on at the rate that the weight store gives.
func (f *fleet) progress(ms int) {
	f.mostLoads = max(f.mostLoads, len(f.loading))
	rate := 1.0
	if f.store > 0 && len(f.loading) > f.store {
		rate = float64(f.store) / float64(len(f.loading))
	}
	for name, l := range f.loading {
		instance := f.instance(name)
		if !instance.EndpointUp || instance.SilenceMs > 0 {
			continue
		}
		l.left -= float64(ms) * rate
		f.loading[name] = l
		if l.left <= 0 {
			instance.LoadedWeights = l.name
			delete(f.loading, name)
		}
	}
}

// account sums group downtime and the idle time of stranded members.
func (f *fleet) account(ms int) {
	for _, model := range f.models {
		for i := range model.Model.Groups {
			name := GroupName(model.Name, i)
			if f.ready(name) {
				continue
			}
			f.downMs += ms
			if !f.groups[name].Active {
				continue
			}
			for _, m := range f.groups[name].Members {
				if instance := f.instance(m.Instance); instance.EndpointUp && instance.SilenceMs == 0 {
					f.idleMs += ms
				}
			}
		}
	}
}

func (f *fleet) run(ms int) {
	for end := f.nowMs + ms; f.nowMs < end; {
		f.step(f.tickMs)
	}
}
